//! A tree of tasks: each supervisor starts its children, restarts those that fail as their rule
//! says, and passes one cancellation token down.

use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Failures of one child in a row after which its supervisor fails as a whole.
const MAX_FAILURES: u32 = 5;

/// Time after which a child that runs counts as healthy again.
const HEALTHY_AFTER: Duration = Duration::from_secs(30);

/// Wait before the first restart of a failed child; doubles with each failure in a row.
const RESTART_WAIT: Duration = Duration::from_millis(100);

/// What a child ends with.
pub type Outcome = Result<(), String>;

/// When a child is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Restart {
    /// Never: its failure stops the whole tree, its end does not.
    Never,
    /// After each failure, with a growing wait; after 5 in a row the whole tree stops.
    OnFailure,
}

/// A supervisor of tasks on this thread's runtime.
#[derive(Debug, Clone)]
pub struct Supervisor {
    name: &'static str,
    token: CancellationToken,
    failures: mpsc::UnboundedSender<String>,
    received: Rc<RefCell<mpsc::UnboundedReceiver<String>>>,
}

impl Supervisor {
    /// The root of a tree that ends with `token`.
    #[must_use]
    pub fn new(name: &'static str, token: CancellationToken) -> Self {
        let (failures, received) = mpsc::unbounded_channel();
        Self {
            name,
            token,
            failures,
            received: Rc::new(RefCell::new(received)),
        }
    }

    /// The token that all children share.
    #[must_use]
    pub fn token(&self) -> CancellationToken {
        self.token.clone()
    }

    /// Starts a child. `start` is called again for each restart, with a token of its own below the
    /// supervisor's.
    pub fn child<F>(
        &self,
        name: &'static str,
        restart: Restart,
        mut start: impl FnMut(CancellationToken) -> F + 'static,
    ) where
        F: Future<Output = Outcome> + 'static,
    {
        let token = self.token.clone();
        let failures = self.failures.clone();
        let parent = self.name;
        ntex::rt::spawn(async move {
            let mut in_a_row = 0;
            loop {
                let started = tokio::time::Instant::now();
                let outcome = start(token.child_token()).await;
                let Err(error) = outcome else { return };
                if token.is_cancelled() {
                    return;
                }
                if started.elapsed() > HEALTHY_AFTER {
                    in_a_row = 0;
                }
                in_a_row += 1;
                log::warn!(target: parent, "task {name} failed ({in_a_row} in a row): {error}");
                if restart == Restart::Never || in_a_row >= MAX_FAILURES {
                    // The receiver lives as long as the supervisor, which this task shares.
                    drop(failures.send(format!("task {name}: {error}")));
                    return;
                }
                let wait = RESTART_WAIT * 2_u32.pow(in_a_row - 1);
                tokio::select! {
                    () = token.cancelled() => return,
                    () = tokio::time::sleep(wait) => {}
                }
            }
        });
    }

    /// Waits until the token is cancelled, or until a child fails for good.
    ///
    /// # Errors
    ///
    /// The failure of the child; the token is cancelled then.
    pub async fn wait(&self) -> Outcome {
        let failure = std::future::poll_fn(|context| self.received.borrow_mut().poll_recv(context));
        tokio::select! {
            () = self.token.cancelled() => Ok(()),
            failure = failure => {
                self.token.cancel();
                Err(failure.unwrap_or_default())
            }
        }
    }
}
