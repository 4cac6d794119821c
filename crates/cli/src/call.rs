//! Sends calls to control VMs in turn until one answers.

use std::{net::SocketAddr, time::Duration};

use rpc::client::{Client, Error};
use tokio::time::{Instant, sleep};

use crate::exit::{Code, Failure};

/// Time limit of one call to one control VM.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next round, after every control VM has been tried.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Outcome of a call to one control VM.
#[derive(Debug)]
pub enum Attempt<T> {
    /// The answer is final and is returned to the user.
    Final(T),
    /// The call was not run, for the given reason; another control VM may be able to run it.
    NotRun(String),
    /// The call may have been run. A resend to another control VM is safe, because each command carries
    /// a request id.
    Unknown(String),
}

/// Client of all control VMs, with one deadline for all calls.
#[derive(Debug)]
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    deadline: Instant,
    /// Index of the control VM in use; counts on past the end of `addresses`.
    current: usize,
    /// Connection to the control VM in use.
    client: Option<Client>,
}

impl ControlClient {
    /// Creates a client that tries control VMs in turn until `timeout` has passed.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            deadline: Instant::now() + timeout,
            current: 0,
            client: None,
        }
    }

    /// Returns the number of control VMs.
    #[must_use]
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Calls control VMs in turn until one gives a final answer.
    ///
    /// # Errors
    ///
    /// Returns a failure when the deadline has passed. The code of the failure tells whether the call
    /// may have been run.
    pub async fn call<T>(
        &mut self,
        operation: impl AsyncFn(&Client) -> Result<Attempt<T>, Error>,
    ) -> Result<T, Failure> {
        let mut may_have_run = false;
        loop {
            let reason = match self.try_current(&operation).await {
                Ok(Attempt::Final(answer)) => return Ok(answer),
                Ok(Attempt::NotRun(reason)) => reason,
                Ok(Attempt::Unknown(reason)) => {
                    may_have_run = true;
                    reason
                }
                Err(error) => {
                    may_have_run |= !error.is_not_sent();
                    error.to_string()
                }
            };
            self.client = None;
            self.current += 1;
            let round_is_over = self.current.is_multiple_of(self.addresses.len());
            if round_is_over {
                sleep(ROUND_DELAY.min(self.time_left())).await;
            }
            if self.time_left().is_zero() {
                let code = if may_have_run {
                    Code::Unknown
                } else {
                    Code::NoAnswer
                };
                return Err(Failure::new(code, reason));
            }
        }
    }

    async fn try_current<T>(
        &mut self,
        operation: impl AsyncFn(&Client) -> Result<Attempt<T>, Error>,
    ) -> Result<Attempt<T>, Error> {
        let client = match self.client.take().filter(|client| !client.is_closed()) {
            Some(client) => client,
            None => {
                let address = self.addresses[self.current % self.addresses.len()];
                // The time left bounds the last call, but the limit never falls below `ROUND_DELAY`.
                let limit = CALL_TIMEOUT.min(self.time_left().max(ROUND_DELAY));
                Client::connect(address, limit).await?
            }
        };
        let answer = operation(&client).await;
        self.client = Some(client);
        answer
    }
}
