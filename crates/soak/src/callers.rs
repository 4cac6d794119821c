//! Callers that go on through all faults: long flows, and flows of one request.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use standin::platform::client::{Client, ClientOutcome, Flow};

use crate::record::Ask;

/// Long flows of each caller.
const LONG_FLOWS: usize = 4;

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(800);

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// What callers share.
#[derive(Debug)]
pub struct Shared {
    /// Entry VMs that the fabric sends to.
    pub rotation: Mutex<Vec<SocketAddr>>,
    /// Whether the run is over.
    pub is_over: AtomicBool,
    /// When it began.
    pub started: Instant,
}

impl Shared {
    /// Milliseconds since the start of the run.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The entry VM to which the fabric sends packet `turn` of a flow.
    fn entry(&self, turn: usize) -> Option<SocketAddr> {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let place = turn.checked_rem(rotation.len())?;
        rotation.get(place).copied()
    }
}

/// Runs a caller until the run is over; `number` tells its flows from those of others.
#[must_use]
pub fn run(client: &Client, service: SocketAddrV4, number: u64, shared: &Arc<Shared>) -> Vec<Ask> {
    let mut asks = Vec::new();
    let mut long: Vec<Option<(u64, Flow)>> = vec![None; LONG_FLOWS];
    let mut next_flow = number << 32;
    let mut turn = 0;
    while !shared.is_over.load(Ordering::SeqCst) {
        std::thread::sleep(PAUSE);
        turn += 1;
        let Some(entry) = shared.entry(turn / 7) else {
            continue;
        };
        let place = turn % (LONG_FLOWS + 1);
        let kept = long.get_mut(place).and_then(Option::take);
        let opened = kept.or_else(|| {
            let (flow, got) = client.open(entry, service);
            next_flow += 1;
            matches!(got, ClientOutcome::Answer(_)).then_some((next_flow, flow))
        });
        let Some((id, mut flow)) = opened else {
            continue;
        };
        let got = client.ask(entry, &mut flow, DEADLINE);
        asks.push(Ask {
            flow: id,
            at_ms: shared.now_ms(),
            got,
        });
        // A caller gives a flow up that doesn't answer.
        if let (Some(place), ClientOutcome::Answer(_)) = (long.get_mut(place), got) {
            *place = Some((id, flow));
        }
    }
    asks
}
