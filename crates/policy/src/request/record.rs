//! Records of requests, bounded in number, bytes and time.

use std::collections::{BTreeMap, BTreeSet};

use model::{key, name::Name};
use wire::coap;

use crate::time::Instant;

/// Records that one VM keeps at most.
pub const MAX_RECORDS: usize = 32_768;

/// Bodies of requests and answers that one VM keeps at most, in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// Records out of [`MAX_RECORDS`] that are kept for intents of other homes and for refusals.
const RESERVE: usize = MAX_RECORDS / 8;

/// Time for which an answer is kept for repeats while there is room, in milliseconds:
/// `EXCHANGE_LIFETIME` of RFC 7252, section 4.8.2.
pub const ANSWER_MS: u64 = 247_000;

/// What one VM knows of one request.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// Fingerprint of the content, message id included.
    pub(crate) content: u64,
    /// Fingerprint of the content without the message id.
    pub(crate) body: u64,
    /// Service that is asked.
    pub(crate) service: Name,
    /// Whether running it again changes nothing.
    pub(crate) idempotent: bool,
    /// Message id of the last copy, to which the answer is an acknowledgement.
    pub(crate) message_id: u16,
    /// Whether the caller wants an acknowledgement.
    pub(crate) confirmable: bool,
    /// When it must be answered.
    pub(crate) deadline: Instant,
    /// How far it is.
    pub(crate) phase: Phase,
    /// VMs that hold the intent.
    pub(crate) holders: BTreeSet<Name>,
    /// The request, until it is answered. Invariant: present where this VM is to dispatch it.
    pub(crate) request: Option<Box<coap::Request>>,
    /// Failure domains whose stewards have refused it.
    pub(crate) tried: BTreeSet<Name>,
    /// Attempts that were made.
    pub(crate) attempts: u32,
    /// Whether an attempt that was lost may have run.
    pub(crate) may_have_run: bool,
    /// Shortest time to come back that any steward has named, in milliseconds.
    pub(crate) retry_after_ms: Option<u32>,
    /// When it next needs care. Invariant: set by the [`Store`] alone, as its timers have it.
    pub(crate) wake: Option<Instant>,
}

/// How far a request is.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// The intent is on its way to the holders; nothing was dispatched.
    Granting(Granting),
    /// An attempt is at a steward.
    Working(Working),
    /// The last attempt came to nothing; the next one waits.
    Backoff,
    /// Another VM deals with it.
    Held(Held),
    /// The VM that dealt with it was lost at this moment.
    Orphaned(Orphaned),
    /// It is answered.
    Done(Done),
}

/// An intent on its way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Granting {
    /// Holders that have not answered.
    pub(crate) unheard: BTreeSet<Name>,
    /// Holders that vouch for the longest deadline.
    pub(crate) informed: BTreeSet<Name>,
    /// Whether one holder alone vouches for all homes and backups.
    pub(crate) covered: bool,
    /// When to send it again.
    pub(crate) resend_at: Instant,
    /// When to give it up.
    pub(crate) until: Instant,
}

/// An attempt at a steward.
#[derive(Debug, Clone)]
pub(crate) struct Working {
    /// The attempt.
    pub(crate) attempt: u64,
    /// Epoch of the steward that was meant.
    pub(crate) epoch: u64,
    /// The steward.
    pub(crate) dispatcher: Name,
    /// Its failure domain.
    pub(crate) domain: Name,
    /// Whether the steward has said that it took the attempt.
    pub(crate) taken: bool,
    /// When to ask it again.
    pub(crate) resend_at: Instant,
    /// When it was first asked.
    pub(crate) since: Instant,
}

/// A request that another VM deals with.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    /// That VM.
    pub(crate) owner: Name,
    /// Number of the start of its process.
    pub(crate) start: u64,
}

/// A request whose VM was lost.
#[derive(Debug, Clone)]
pub(crate) struct Orphaned {
    /// When to give up hope that a steward has it.
    pub(crate) until: Instant,
}

/// An answered request.
#[derive(Debug, Clone)]
pub(crate) struct Done {
    /// The answer.
    pub(crate) response: coap::Response,
    /// When.
    pub(crate) at: Instant,
    /// Holders that have not recorded it.
    pub(crate) unheard: BTreeSet<Name>,
    /// When to tell them again.
    pub(crate) resend_at: Instant,
}

impl Record {
    /// Whether this VM still has to do something for it.
    pub(crate) fn is_open(&self) -> bool {
        match &self.phase {
            Phase::Granting(_) | Phase::Working(_) | Phase::Backoff => true,
            Phase::Held(_) | Phase::Orphaned(_) | Phase::Done(_) => false,
        }
    }

    /// Whether it is answered for good: run, or certainly not run.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(&self.phase, Phase::Done(done) if done.response.code != coap::TIMEOUT)
    }

    /// Whether `other` is a copy of this request, or one that can't be told from a copy safely.
    pub(crate) fn is_repeat(&self, content: u64, body: u64) -> bool {
        self.content == content || (self.body == body && !self.is_settled())
    }

    /// Bytes of bodies that it keeps.
    fn bytes(&self) -> usize {
        let request = self.request.as_ref().map_or(0, |r| r.payload.0.len());
        match &self.phase {
            Phase::Done(done) => request + done.response.payload.0.len(),
            _ => request,
        }
    }
}

/// Whether a new record may use the room that is kept for intents and refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reserve {
    /// It may not.
    Kept,
    /// It may.
    Used,
}

/// All records of one VM, with the moments at which they need care.
#[derive(Debug, Default)]
pub(crate) struct Store {
    records: BTreeMap<key::Request, Record>,
    timers: BTreeSet<(Instant, key::Request)>,
    /// Answered records, oldest answer first.
    answered: BTreeSet<(Instant, key::Request)>,
    /// Bytes of bodies. Invariant: the sum over the records.
    bytes: usize,
    /// Records that this VM still has to do something for.
    open: usize,
}

impl Store {
    /// A record.
    pub(crate) fn get(&self, key: &key::Request) -> Option<&Record> {
        self.records.get(key)
    }

    /// Changes a record; `None` where there is none.
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
            self.move_answered(key, before.2, after.2);
        }
        Some(result)
    }

    /// Adds a record, in the place of one with its key.
    pub(crate) fn insert(&mut self, key: key::Request, record: Record) {
        self.remove(&key);
        self.bytes += record.bytes();
        self.open += usize::from(record.is_open());
        self.move_answered(&key, None, answered_at(&record));
        self.records.insert(key, record);
    }

    /// Forgets a record.
    pub(crate) fn remove(&mut self, key: &key::Request) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.bytes -= record.bytes();
        self.open -= usize::from(record.is_open());
        self.move_answered(key, answered_at(&record), None);
        if let Some(wake) = record.wake {
            self.timers.remove(&(wake, key.clone()));
        }
    }

    /// Makes room for one more record with `bytes` of body, by forgetting answers that are older
    /// than `keep_ms`; false where there is none.
    pub(crate) fn make_room(
        &mut self,
        now: Instant,
        bytes: usize,
        keep_ms: u64,
        reserve: Reserve,
    ) -> bool {
        let most = match reserve {
            Reserve::Kept => MAX_RECORDS - RESERVE,
            Reserve::Used => MAX_RECORDS,
        };
        while self.records.len() >= most || (bytes > 0 && self.bytes + bytes > MAX_BYTES) {
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

    /// Sets the moment at which a record next needs care.
    pub(crate) fn wake_at(&mut self, key: &key::Request, at: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if let Some(old) = record.wake.replace(at) {
            self.timers.remove(&(old, key.clone()));
        }
        self.timers.insert((at, key.clone()));
    }

    /// Takes the key of a record that needs care now.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<key::Request> {
        if self.timers.first()?.0 > now {
            return None;
        }
        let (_, key) = self.timers.pop_first()?;
        if let Some(record) = self.records.get_mut(&key) {
            record.wake = None;
        }
        Some(key)
    }

    /// All records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&key::Request, &Record)> {
        self.records.iter()
    }

    /// Records that this VM still has to do something for.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Bytes of bodies.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn move_answered(&mut self, key: &key::Request, from: Option<Instant>, to: Option<Instant>) {
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
