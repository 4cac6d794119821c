//! Supervises tasks: a supervisor starts child tasks, restarts those that fail according to their
//! [`Restart`] rule, and stops all of them through one cancellation token.

use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Number of consecutive failures of a child after which the supervisor fails.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Running time after which the earlier failures of a child no longer count.
const HEALTHY_RUN_TIME: Duration = Duration::from_secs(30);

/// Delay before the first restart of a failed child; doubles with each consecutive failure.
const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(100);

/// The result with which a child ends.
pub type TaskResult = Result<(), String>;

/// The rule by which a child is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Restart {
    /// No restart. A failure of the child stops all tasks; its end without a failure does not.
    Never,
    /// A restart after each failure, with a growing delay. Five consecutive failures stop all
    /// tasks.
    OnFailure,
}

/// A supervisor of tasks on this thread's runtime.
#[derive(Debug, Clone)]
pub struct Supervisor {
    name: &'static str,
    token: CancellationToken,
    failure_sender: mpsc::UnboundedSender<String>,
    failure_receiver: Rc<RefCell<mpsc::UnboundedReceiver<String>>>,
}

impl Supervisor {
    /// Creates a supervisor whose tasks stop when `token` is cancelled.
    #[must_use]
    pub fn new(name: &'static str, token: CancellationToken) -> Self {
        let (failure_sender, failure_receiver) = mpsc::unbounded_channel();
        Self {
            name,
            token,
            failure_sender,
            failure_receiver: Rc::new(RefCell::new(failure_receiver)),
        }
    }

    /// Returns the token of the supervisor; cancelling this token stops all children.
    #[must_use]
    pub fn token(&self) -> CancellationToken {
        self.token.clone()
    }

    /// Starts a child. `start` is called for the first start and each restart, with a child token
    /// of the supervisor's token.
    pub fn start_child<F>(
        &self,
        name: &'static str,
        restart: Restart,
        mut start: impl FnMut(CancellationToken) -> F + 'static,
    ) where
        F: Future<Output = TaskResult> + 'static,
    {
        let token = self.token.clone();
        let failure_sender = self.failure_sender.clone();
        let parent = self.name;
        ntex::rt::spawn(async move {
            let mut consecutive_failures = 0;
            loop {
                let started = tokio::time::Instant::now();
                let outcome = start(token.child_token()).await;
                let Err(error) = outcome else { return };
                if token.is_cancelled() {
                    return;
                }
                if started.elapsed() > HEALTHY_RUN_TIME {
                    consecutive_failures = 0;
                }
                consecutive_failures += 1;
                log::warn!(
                    target: parent,
                    "task {name} failed ({consecutive_failures} in a row): {error}"
                );
                if restart == Restart::Never || consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    // Sending fails only if the supervisor is gone, and then nobody waits for it.
                    drop(failure_sender.send(format!("task {name}: {error}")));
                    return;
                }
                let wait = INITIAL_RESTART_DELAY * 2_u32.pow(consecutive_failures - 1);
                tokio::select! {
                    () = token.cancelled() => return,
                    () = tokio::time::sleep(wait) => {}
                }
            }
        });
    }

    /// Waits until the token is cancelled, or until a child fails and is not restarted.
    ///
    /// # Errors
    ///
    /// Returns the failure of the child and cancels the token.
    pub async fn wait(&self) -> TaskResult {
        let failure =
            std::future::poll_fn(|context| self.failure_receiver.borrow_mut().poll_recv(context));
        tokio::select! {
            () = self.token.cancelled() => Ok(()),
            failure = failure => {
                self.token.cancel();
                Err(failure.unwrap_or_default())
            }
        }
    }
}
