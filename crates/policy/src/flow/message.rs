//! Messages between the flow states of two VMs.
//!
//! Packets carry the records: the opening packet and the first later packet of a flow that needs a
//! record travel through the backup. The record thus costs no message of its own, and the backup
//! stores the record before the upstream receives the packet.

use model::name::Name;
use serde::{Deserialize, Serialize};
use wire::blob::Blob;

/// A message between the flow states of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Relays a packet to the flow's primary.
    Primary {
        /// Number of VMs that have relayed the packet. A VM relays again if its view names another
        /// primary.
        hops: u8,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Relays a packet through the backup, which records the flow and forwards the packet.
    Backup {
        /// Upstream of the flow.
        upstream: Name,
        /// Whether the primary waits for [`Message::RecordsBackedUp`].
        confirm: bool,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Confirms that the backup holds records of the flows with these low halves of fingerprints.
    RecordsBackedUp(Vec<u32>),
    /// Relays an opening or closing packet to the upstream's dispatcher.
    Dispatcher {
        /// Upstream of the flow.
        upstream: Name,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Returns an opening packet to the primary: the upstream can't accept the flow, every live VM
    /// applies the exclusion of the upstream, and the primary may choose another upstream.
    Refused {
        /// Upstream that refused the flow.
        upstream: Name,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Sends a packet of a flow without a record at the primary to a VM that may have the record.
    RecordLookup {
        /// Progress of the lookup.
        lookup: RecordLookup,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Returns the packet of [`Message::RecordLookup`] to the primary.
    RecordLookupReply {
        /// Progress of the lookup.
        lookup: RecordLookup,
        /// Upstream of the flow, if the sender has a record.
        found: Option<Name>,
        /// The caller's IP packet.
        bytes: Blob,
    },
    /// Copies records from a primary or backup to a VM that became responsible for the flows.
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
    /// Acknowledges a [`Message::RecordBatch`].
    RecordBatchAck {
        /// Number of the batch.
        batch: u32,
    },
    /// Reports that the sender has copied all records that had to be copied because the named VM
    /// crashed. A sender that names itself has handed over all its records and stops.
    HandoverDone(Name),
    /// Requests a step of an exclusion, repeated until each live VM has acknowledged the step.
    Exclusion(Exclusion),
    /// Acknowledges that the sender has done the step of an exclusion.
    ExclusionAck(Exclusion),
    /// Sends the full set of buckets in which the sender holds records that differ from the table.
    Pins {
        /// Version of the pins, which grows with each change.
        version: u64,
        /// Pinned buckets as a bit set, by service.
        pins: Vec<(Name, Blob)>,
    },
    /// Acknowledges that the sender applies the pins of a version.
    PinsAck {
        /// Version of the pins.
        version: u64,
    },
    /// Requests everything that bars direct forwarding.
    SyncRequest {
        /// Time for which the sender has kept every record, in milliseconds.
        history_ms: u64,
    },
    /// Answers [`Message::SyncRequest`] with everything that bars direct forwarding.
    SyncState(SyncState),
    /// Sends the number of flows of which the sender is primary to a dispatcher that took over.
    FlowCounts {
        /// Service of the upstreams.
        service: Name,
        /// Number of flows by upstream.
        flows: Vec<(Name, u32)>,
    },
    /// Reports to the dispatcher the number of flows that expired without a closing packet.
    ExpiredFlows {
        /// Service of the upstreams.
        service: Name,
        /// Number of flows by upstream.
        flows: Vec<(Name, u32)>,
    },
}

/// Progress of a primary's lookup of a record.
///
/// The primary keeps no state during a lookup. If the list of VMs to ask has changed, the primary
/// starts the lookup again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordLookup {
    /// Number of the primary's view.
    pub view_number: u64,
    /// Number of VMs to ask.
    pub candidate_count: u8,
    /// Position of the VM that is asked.
    pub position: u8,
    /// Whether a VM that was asked knows that all VMs with the record may have crashed.
    pub may_be_lost: bool,
}

/// An exclusion of an upstream from new flows. Later packets of the upstream's buckets go through
/// primaries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// Service of the upstream.
    pub service: Name,
    /// Name of the upstream.
    pub upstream: Name,
    /// Number that grows with each exclusion of the upstream.
    pub epoch: u64,
    /// Step to do, or step that was done.
    pub step: ExclusionStep,
}

/// Steps of an exclusion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ExclusionStep {
    /// Later packets of the upstream's buckets go through primaries from now on.
    Set,
    /// The receiver acknowledges once the flows that were placed elsewhere have ended or their
    /// buckets are pinned on every VM.
    AwaitPins,
    /// The exclusion ends.
    Lift,
}

/// Everything that bars direct forwarding, as known to one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncState {
    /// Exclusions that the sender applies.
    pub exclusions: Vec<Exclusion>,
    /// The sender's own pins.
    pub pins: Vec<(Name, Blob)>,
    /// Failure domains that the sender can't reach.
    pub unreachable_domains: Vec<Name>,
    /// Time for which the sender has kept every record, in milliseconds.
    pub history_ms: u64,
}
