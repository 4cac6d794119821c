//! Finds a control VM that answers.

use std::{net::SocketAddr, time::Duration};

use rpc::client::{Client, Error};
use tokio::time::{Instant, sleep};

use crate::exit::{Code, Failure};

/// Time that one call to one control VM may take.
const CALL_WAIT: Duration = Duration::from_secs(5);

/// Wait after all control VMs were tried.
const ROUND_WAIT: Duration = Duration::from_millis(200);

/// What a call to one control VM came to.
#[derive(Debug)]
pub enum Attempt<T> {
    /// An answer to return.
    Final(T),
    /// Nothing was run; another control VM may do better.
    NotRun(String),
    /// It may have been run; a resend to another control VM is harmless.
    Unknown(String),
}

/// The control VMs, and the time that is left.
#[derive(Debug)]
pub struct Controls {
    addresses: Vec<SocketAddr>,
    deadline: Instant,
    /// The one that answered last, and its connection.
    at: usize,
    client: Option<Client>,
}

impl Controls {
    /// Control VMs that are tried in turn until `timeout` has passed.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            deadline: Instant::now() + timeout,
            at: 0,
            client: None,
        }
    }

    /// Number of control VMs.
    #[must_use]
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Time that is left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Calls control VMs in turn until one gives a final answer.
    ///
    /// # Errors
    ///
    /// Fails when the time is over; says whether the call may have been run.
    pub async fn call<T>(
        &mut self,
        ask: impl AsyncFn(&Client) -> Result<Attempt<T>, Error>,
    ) -> Result<T, Failure> {
        let mut maybe_run = false;
        loop {
            let reason = match self.attempt(&ask).await {
                Ok(Attempt::Final(answer)) => return Ok(answer),
                Ok(Attempt::NotRun(reason)) => reason,
                Ok(Attempt::Unknown(reason)) => {
                    maybe_run = true;
                    reason
                }
                Err(error) => {
                    maybe_run |= !error.is_not_sent();
                    error.to_string()
                }
            };
            self.client = None;
            self.at += 1;
            let round_is_over = self.at.is_multiple_of(self.addresses.len());
            if round_is_over {
                sleep(ROUND_WAIT.min(self.left())).await;
            }
            if self.left().is_zero() {
                let code = if maybe_run {
                    Code::Unknown
                } else {
                    Code::NoAnswer
                };
                return Err(Failure::new(code, reason));
            }
        }
    }

    async fn attempt<T>(
        &mut self,
        ask: impl AsyncFn(&Client) -> Result<Attempt<T>, Error>,
    ) -> Result<Attempt<T>, Error> {
        let client = match self.client.take().filter(|client| !client.is_closed()) {
            Some(client) => client,
            None => {
                let address = self.addresses[self.at % self.addresses.len()];
                // The time that is left bounds the last call, but never to nothing.
                let limit = CALL_WAIT.min(self.left().max(ROUND_WAIT));
                Client::connect(address, limit).await?
            }
        };
        let answer = ask(&client).await;
        self.client = Some(client);
        answer
    }
}
