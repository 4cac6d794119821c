//! Records of requests, bounded in number, bytes and time.

use std::collections::{BTreeMap, BTreeSet};

use model::{key, name::Name};
use wire::coap;

use crate::time::Instant;

/// Maximum number of records on one VM.
pub const MAX_RECORDS: usize = 32_768;

/// Maximum size of the stored request and answer bodies on one VM, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Number of [`MAX_RECORDS`] that only intents of other primaries and refusals may use.
const RESERVED_RECORDS: usize = MAX_RECORDS / 8;

/// Time for which an answer is kept for repeats while there is room, in milliseconds:
/// `EXCHANGE_LIFETIME` of RFC 7252, section 4.8.2.
pub const ANSWER_RETENTION_MS: u64 = 247_000;

/// What a VM knows of one request.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// Fingerprint of the content, message id included.
    pub(crate) content_fingerprint: u64,
    /// Fingerprint of the content without the message id.
    pub(crate) body_fingerprint: u64,
    /// Service that the request names.
    pub(crate) service: Name,
    /// Whether running the request again changes nothing.
    pub(crate) idempotent: bool,
    /// Message id of the last copy, which the answer acknowledges.
    pub(crate) message_id: u16,
    /// Whether the caller expects an acknowledgement.
    pub(crate) confirmable: bool,
    /// When the request must be answered.
    pub(crate) deadline: Instant,
    /// Progress of the request.
    pub(crate) phase: Phase,
    /// VMs that hold the intent.
    pub(crate) holders: BTreeSet<Name>,
    /// The request, until it is answered. Invariant: present while this VM has to dispatch it.
    pub(crate) request: Option<Box<coap::Request>>,
    /// Failure domains whose dispatchers refused or lost an attempt.
    pub(crate) tried_domains: BTreeSet<Name>,
    /// Number of attempts made.
    pub(crate) attempts: u32,
    /// Whether a lost attempt may have run.
    pub(crate) may_have_run: bool,
    /// Shortest retry-after time that any dispatcher has given, in milliseconds.
    pub(crate) retry_after_ms: Option<u32>,
    /// When the record is next due. Invariant: only the [`Store`] sets it, together with its
    /// timers.
    pub(crate) due: Option<Instant>,
}

/// Progress of a request.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// The intent was sent to the holders; nothing has been dispatched.
    AwaitingHolders(AwaitingHolders),
    /// An attempt was sent to a dispatcher.
    Attempting(Attempting),
    /// The last attempt has failed; the next one waits for its time.
    Backoff,
    /// Another VM processes the request.
    Held(Held),
    /// The VM that processed the request was lost.
    Orphaned(Orphaned),
    /// The request is answered.
    Done(Done),
}

/// An intent whose holders have not all replied.
#[derive(Debug, Clone, Default)]
pub(crate) struct AwaitingHolders {
    /// Holders that have not replied.
    pub(crate) unanswered: BTreeSet<Name>,
    /// Holders that have a complete history.
    pub(crate) with_complete_history: BTreeSet<Name>,
    /// Whether one holder was responsible for the request under every earlier view.
    pub(crate) any_always_responsible: bool,
    /// When to send the intent again.
    pub(crate) resend_at: Instant,
    /// When to give the request up.
    pub(crate) until: Instant,
}

/// An attempt at a dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct Attempting {
    /// Id of the attempt.
    pub(crate) attempt: u64,
    /// Epoch of the dispatcher that the attempt was sent to; 0 if unknown.
    pub(crate) epoch: u64,
    pub(crate) dispatcher: Name,
    /// Failure domain of the dispatcher.
    pub(crate) domain: Name,
    /// Whether the dispatcher has accepted the attempt.
    pub(crate) accepted: bool,
    /// When to send the attempt again.
    pub(crate) resend_at: Instant,
    /// When the attempt was first sent.
    pub(crate) first_sent_at: Instant,
}

/// A request that another VM processes.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    /// The VM that processes the request.
    pub(crate) owner: Name,
    /// Number of the start of the owner's process.
    pub(crate) start_number: u64,
}

/// A request whose primary was lost.
#[derive(Debug, Clone)]
pub(crate) struct Orphaned {
    /// When to stop waiting for a dispatcher's report.
    pub(crate) until: Instant,
}

/// An answered request.
#[derive(Debug, Clone)]
pub(crate) struct Done {
    /// The answer.
    pub(crate) response: coap::Response,
    /// When the request was answered.
    pub(crate) at: Instant,
    /// Holders that have not recorded the answer.
    pub(crate) unacknowledged: BTreeSet<Name>,
    /// When to send the answer to those holders again.
    pub(crate) resend_at: Instant,
}

impl Record {
    /// Reports whether this VM still has to process the request.
    pub(crate) fn is_open(&self) -> bool {
        match &self.phase {
            Phase::AwaitingHolders(_) | Phase::Attempting(_) | Phase::Backoff => true,
            Phase::Held(_) | Phase::Orphaned(_) | Phase::Done(_) => false,
        }
    }

    /// Reports whether the answer is final: the request ran, or certainly did not run.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(&self.phase, Phase::Done(done) if done.response.code != coap::TIMEOUT)
    }

    /// Reports whether a request with these fingerprints is a copy of this one, or can't be safely
    /// told from a copy.
    pub(crate) fn is_repeat(&self, content_fingerprint: u64, body_fingerprint: u64) -> bool {
        self.content_fingerprint == content_fingerprint
            || (self.body_fingerprint == body_fingerprint && !self.is_settled())
    }

    /// Returns the stored bytes of request and answer bodies.
    fn bytes(&self) -> usize {
        let request = self.request.as_ref().map_or(0, |r| r.payload.0.len());
        match &self.phase {
            Phase::Done(done) => request + done.response.payload.0.len(),
            _ => request,
        }
    }
}

/// Whether a new record may use the room reserved for intents and refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReserveAccess {
    /// The record may use only unreserved room.
    Denied,
    /// The record may use the reserved room.
    Allowed,
}

/// All records of one VM, with the times at which they are due.
#[derive(Debug, Default)]
pub(crate) struct Store {
    records: BTreeMap<key::Request, Record>,
    timers: BTreeSet<(Instant, key::Request)>,
    /// Answered records, oldest answer first.
    answered: BTreeSet<(Instant, key::Request)>,
    /// Stored bytes of bodies. Invariant: the sum over the records.
    bytes: usize,
    /// Number of records that this VM still has to process.
    open: usize,
}

impl Store {
    pub(crate) fn get(&self, key: &key::Request) -> Option<&Record> {
        self.records.get(key)
    }

    /// Changes a record; returns `None` if there is none.
    pub(crate) fn update<T>(
        &mut self,
        key: &key::Request,
        change: impl FnOnce(&mut Record) -> T,
    ) -> Option<T> {
        let record = self.records.get_mut(key)?;
        let before = (record.bytes(), record.is_open(), answered_at(record));
        let result = change(record);
        let after = (record.bytes(), record.is_open(), answered_at(record));
        self.bytes = self.bytes + after.0 - before.0;
        self.open = self.open + usize::from(after.1) - usize::from(before.1);
        if before.2 != after.2 {
            self.reindex_answered(key, before.2, after.2);
        }
        Some(result)
    }

    /// Adds a record, replacing any record with the same key.
    pub(crate) fn insert(&mut self, key: key::Request, record: Record) {
        self.remove(&key);
        self.bytes += record.bytes();
        self.open += usize::from(record.is_open());
        self.reindex_answered(&key, None, answered_at(&record));
        self.records.insert(key, record);
    }

    pub(crate) fn remove(&mut self, key: &key::Request) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.bytes -= record.bytes();
        self.open -= usize::from(record.is_open());
        self.reindex_answered(key, answered_at(&record), None);
        if let Some(due) = record.due {
            self.timers.remove(&(due, key.clone()));
        }
    }

    /// Makes room for one more record with `bytes` of body by removing answers that are older than
    /// `keep_ms`; returns false if there is not enough room.
    pub(crate) fn make_room(
        &mut self,
        now: Instant,
        bytes: usize,
        keep_ms: u64,
        reserve: ReserveAccess,
    ) -> bool {
        let max_records = match reserve {
            ReserveAccess::Denied => MAX_RECORDS - RESERVED_RECORDS,
            ReserveAccess::Allowed => MAX_RECORDS,
        };
        while self.records.len() >= max_records
            || (bytes > 0 && self.bytes + bytes > MAX_BODY_BYTES)
        {
            let Some((at, key)) = self.answered.first().cloned() else {
                return false;
            };
            if now.ms_since(at) < keep_ms {
                return false;
            }
            self.remove(&key);
        }
        true
    }

    /// Sets the time at which a record is next due.
    pub(crate) fn set_due(&mut self, key: &key::Request, at: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if let Some(old) = record.due.replace(at) {
            self.timers.remove(&(old, key.clone()));
        }
        self.timers.insert((at, key.clone()));
    }

    /// Returns the key of a record that is due and clears its timer.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<key::Request> {
        if self.timers.first()?.0 > now {
            return None;
        }
        let (_, key) = self.timers.pop_first()?;
        if let Some(record) = self.records.get_mut(&key) {
            record.due = None;
        }
        Some(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&key::Request, &Record)> {
        self.records.iter()
    }

    /// Returns the number of records that this VM still has to process.
    pub(crate) fn open_count(&self) -> usize {
        self.open
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the stored bytes of bodies.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn reindex_answered(&mut self, key: &key::Request, from: Option<Instant>, to: Option<Instant>) {
        if let Some(at) = from {
            self.answered.remove(&(at, key.clone()));
        }
        if let Some(at) = to {
            self.answered.insert((at, key.clone()));
        }
    }
}

fn answered_at(record: &Record) -> Option<Instant> {
    match &record.phase {
        Phase::Done(done) => Some(done.at),
        _ => None,
    }
}
