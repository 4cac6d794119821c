//! Callers that keep sending during all faults, on long flows and on flows of one request.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use standin::platform::client::{Client, ClientOutcome, Flow};

use crate::record::RequestOutcome;

/// Number of long flows of each caller.
const LONG_FLOWS: usize = 4;

/// Time for which a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(800);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// State that all callers share with the run.
#[derive(Debug)]
pub struct SharedState {
    /// Addresses of the entry VMs that the fabric sends packets to.
    pub rotation: Mutex<Vec<SocketAddr>>,
    /// Whether the run is over.
    pub is_over: AtomicBool,
    /// Start of the run.
    pub started: Instant,
}

impl SharedState {
    /// Returns the time since the start of the run, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the entry VM to which the fabric sends the packets of `round`.
    fn entry_for_round(&self, round: usize) -> Option<SocketAddr> {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = round.checked_rem(rotation.len())?;
        rotation.get(slot).copied()
    }
}

/// Runs a caller until the run is over, and returns the outcomes of its requests. `number` is the
/// number of the caller and keeps flow numbers of different callers apart.
#[must_use]
pub fn run(
    client: &Client,
    service: SocketAddrV4,
    number: u64,
    shared: &Arc<SharedState>,
) -> Vec<RequestOutcome> {
    let mut request_outcomes = Vec::new();
    let mut long_flows: Vec<Option<(u64, Flow)>> = vec![None; LONG_FLOWS];
    let mut next_flow = number << 32;
    let mut round = 0;
    while !shared.is_over.load(Ordering::SeqCst) {
        std::thread::sleep(PAUSE);
        round += 1;
        let Some(entry) = shared.entry_for_round(round / 7) else {
            continue;
        };
        let slot = round % (LONG_FLOWS + 1);
        let reused = long_flows.get_mut(slot).and_then(Option::take);
        let opened = reused.or_else(|| {
            let (flow, outcome) = client.open(entry, service);
            next_flow += 1;
            matches!(outcome, ClientOutcome::Answer(_)).then_some((next_flow, flow))
        });
        let Some((id, mut flow)) = opened else {
            continue;
        };
        let outcome = client.ask(entry, &mut flow, DEADLINE);
        request_outcomes.push(RequestOutcome {
            flow: id,
            at_ms: shared.now_ms(),
            outcome,
        });
        // The caller drops a flow that doesn't answer.
        if let (Some(slot), ClientOutcome::Answer(_)) = (long_flows.get_mut(slot), outcome) {
            *slot = Some((id, flow));
        }
    }
    request_outcomes
}
