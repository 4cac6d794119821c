//! Asks entry VMs what they know of an upstream that this control VM doesn't hear.
//!
//! An upstream may announce its stop to any control VM, and the call names only the identity of the
//! upstream. A control VM that passed such a stop on without an incarnation would also stop later
//! incarnations with the same identity. Entry VMs receive the announcements of all control VMs, so
//! they know which incarnation runs while the call waits for its answer.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::routing::Announced;
use tokio::{
    sync::broadcast::{self, error::RecvError},
    time::timeout,
};

/// Number of entry VMs that are asked, those with the oldest streams. A single one may be frozen or
/// cut off from the control VM that hears the upstream.
const MAX_ASKED: usize = 8;

/// Time to wait for answers. The caller tries another control VM after a second.
const ANSWER_WAIT: Duration = Duration::from_millis(300);

/// Maximum number of queued questions and answers. Lost ones only make a lookup wait for its
/// timeout.
const MAX_QUEUED: usize = 256;

/// A question for some of the entry VMs.
#[derive(Debug, Clone)]
struct Question {
    id: u64,
    /// Numbers of the streams whose entry VMs are asked.
    asked: Arc<BTreeSet<u64>>,
}

/// What one entry VM knows.
#[derive(Debug, Clone)]
struct Answer {
    /// Number of the entry VM's stream.
    stream: u64,
    id: u64,
    announced: Option<Announced>,
}

/// Result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Newest incarnation that an entry VM knows.
    Known(Announced),
    /// No entry VM that was asked knows the upstream.
    Unknown,
    /// Not all entry VMs answered in time, and those that did don't know the upstream.
    Unanswered,
}

/// Streams that can be asked. Their numbers grow in the order in which they opened.
#[derive(Debug, Default)]
struct Streams {
    open: BTreeSet<u64>,
    last: u64,
}

/// Lookups of one control VM. Clones share the streams.
#[derive(Debug, Clone)]
pub struct Lookup {
    streams: Arc<Mutex<Streams>>,
    questions: broadcast::Sender<Question>,
    answers: broadcast::Sender<Answer>,
}

impl Default for Lookup {
    fn default() -> Self {
        Self {
            streams: Arc::default(),
            questions: broadcast::Sender::new(MAX_QUEUED),
            answers: broadcast::Sender::new(MAX_QUEUED),
        }
    }
}

impl Lookup {
    /// Adds the stream of an entry VM that can be asked, for as long as the returned value exists.
    #[must_use]
    pub fn open(&self) -> Member {
        // Subscribed first, so that no question to this stream is missed.
        let questions = self.questions.subscribe();
        let mut streams = self.streams();
        streams.last += 1;
        let number = streams.last;
        streams.open.insert(number);
        drop(streams);
        Member {
            lookup: self.clone(),
            number,
            questions,
        }
    }

    /// Asks entry VMs for the newest incarnation of upstream `id`.
    pub async fn find(&self, id: u64) -> Finding {
        let mut answers = self.answers.subscribe();
        let asked = Arc::new(self.oldest_streams());
        let mut pending = BTreeSet::clone(&asked);
        // Sending fails if no stream is open; then no answer is pending either.
        drop(self.questions.send(Question { id, asked }));
        let mut newest: Option<Announced> = None;
        let collect = async {
            while !pending.is_empty() {
                match answers.recv().await {
                    Ok(answer) if answer.id == id => {
                        pending.remove(&answer.stream);
                        let candidates = newest.take().into_iter().chain(answer.announced);
                        newest = candidates.max_by_key(|a| a.incarnation.started_ms);
                    }
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                }
            }
        };
        let is_complete = timeout(ANSWER_WAIT, collect).await.is_ok();
        match newest {
            Some(announced) => Finding::Known(announced),
            None if is_complete => Finding::Unknown,
            None => Finding::Unanswered,
        }
    }

    fn oldest_streams(&self) -> BTreeSet<u64> {
        self.streams()
            .open
            .iter()
            .take(MAX_ASKED)
            .copied()
            .collect()
    }

    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stream of an entry VM that can be asked.
#[derive(Debug)]
pub struct Member {
    lookup: Lookup,
    number: u64,
    questions: broadcast::Receiver<Question>,
}

impl Member {
    /// Waits for a question to the entry VM of this stream. Returns the identity of the upstream.
    pub async fn question(&mut self) -> u64 {
        loop {
            match self.questions.recv().await {
                Ok(question) if question.asked.contains(&self.number) => return question.id,
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                // Never happens: `lookup` holds a sender.
                Err(RecvError::Closed) => std::future::pending().await,
            }
        }
    }

    /// Records what the entry VM of this stream knows of upstream `id`.
    pub fn answer(&self, id: u64, announced: Option<Announced>) {
        let answer = Answer {
            stream: self.number,
            id,
            announced,
        };
        // Sending fails if the lookup has timed out.
        drop(self.lookup.answers.send(answer));
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.lookup.streams().open.remove(&self.number);
    }
}
