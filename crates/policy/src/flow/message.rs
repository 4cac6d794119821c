//! Messages between the flow machines of two VMs.
//!
//! Packets carry the records: an opening packet and the first later packet of a flow that needs a
//! record at the backup travel through the backup, so that the record costs no message of its own
//! and is there before the upstream sees the packet.

use model::name::Name;
use serde::{Deserialize, Serialize};
use wire::blob::Blob;

/// A message between the flow machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet on its way to the flow's home.
    Primary {
        /// How many VMs have passed it on because their views name another home.
        hops: u8,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// A packet through the backup, which records the flow and sends the packet on.
    Backup {
        /// Upstream that the flow is on.
        upstream: Name,
        /// Whether the home waits for [`Message::Held`].
        confirm: bool,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// The backup holds records of these flows: the low halves of their fingerprints.
    RecordsBackedUp(Vec<u32>),
    /// An opening or closing packet on its way to the upstream's steward.
    Dispatcher {
        /// Upstream that the flow is on.
        upstream: Name,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// An opening packet back to the home: the upstream can't take the flow, every live VM knows
    /// its mark, and the home may choose another.
    Refused {
        /// The upstream.
        upstream: Name,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// A packet of a flow that the home has no record of, to a VM that may have one.
    RecordLookup {
        /// How far the home is with asking.
        lookup: RecordLookup,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// The packet of [`Message::Trace`] back to the home.
    RecordLookupReply {
        /// How far the home is with asking.
        lookup: RecordLookup,
        /// Upstream that the flow is on, where there is a record.
        found: Option<Name>,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Records that a home or backup hands to a VM that became responsible.
    RecordBatch {
        /// Number of the batch, for its acknowledgement.
        batch: u32,
        /// Service of the flows.
        service: Name,
        /// Upstream of the flows.
        upstream: Name,
        /// Fingerprints of the flows.
        fingerprints: Vec<u64>,
    },
    /// A batch of [`Message::RecordBatch`] arrived.
    RecordBatchAck {
        /// Number of the batch.
        batch: u32,
    },
    /// The sender has copied all records that the crash of this VM made necessary to copy; where it
    /// names itself, it has handed everything over and stops.
    HandoverDone(Name),
    /// A step of a mark, repeated until each live VM answered.
    Exclusion(Exclusion),
    /// The step of a mark is done at the sender.
    ExclusionAck(Exclusion),
    /// Buckets in which the sender holds records that differ from the table, whole.
    Pins {
        /// Grows with each change.
        version: u64,
        /// Bits by service.
        pins: Vec<(Name, Blob)>,
    },
    /// The sender applies the pins of this version.
    PinsAck {
        /// The version.
        version: u64,
    },
    /// Asks for all that bars direct forwarding.
    SyncRequest {
        /// For how long the sender has remembered every record, in milliseconds.
        history_ms: u64,
    },
    /// All that bars direct forwarding, as far as the sender knows.
    SyncState(SyncState),
    /// How many flows the sender is home of, for a steward that took over.
    FlowCounts {
        /// Service of the upstreams.
        service: Name,
        /// Flows by upstream.
        flows: Vec<(Name, u32)>,
    },
    /// How many flows have ended without a closing packet, for the steward.
    ExpiredFlows {
        /// Service of the upstreams.
        service: Name,
        /// Flows by upstream.
        flows: Vec<(Name, u32)>,
    },
}

/// How far a home is with asking for a record.
///
/// The home keeps nothing meanwhile; where its list of VMs to ask has changed, it starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordLookup {
    /// Number of the home's view.
    pub view_number: u64,
    /// VMs to ask.
    pub candidate_count: u8,
    /// Position of the VM that is asked.
    pub position: u8,
    /// Whether a VM that was asked knows that all VMs with the record may have crashed.
    pub may_be_lost: bool,
}

/// A mark of an upstream that can't take new flows: later packets of its buckets go through homes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// Service of the upstream.
    pub service: Name,
    /// The upstream.
    pub upstream: Name,
    /// Grows with each mark of the upstream.
    pub epoch: u64,
    /// What is to be done, or was done.
    pub step: ExclusionStep,
}

/// Steps in the life of a mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ExclusionStep {
    /// Later packets of the upstream's buckets go through homes from now on.
    Set,
    /// Flows that homes placed elsewhere have ended, or their buckets are pinned everywhere.
    AwaitPins,
    /// The mark ends.
    Lift,
}

/// All that bars direct forwarding, as far as one VM knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncState {
    /// Marks that it applies.
    pub exclusions: Vec<Exclusion>,
    /// Its own pins.
    pub pins: Vec<(Name, Blob)>,
    /// Failure domains that it can't reach.
    pub unreachable_domains: Vec<Name>,
    /// For how long it has remembered every record, in milliseconds.
    pub history_ms: u64,
}
