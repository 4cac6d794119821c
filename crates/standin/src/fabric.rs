//! The fabric: hands each packet and request to an entry VM drawn at random.
//!
//! It notices a dead or stopping entry VM late, by probes of its health endpoint; what it sends
//! there until then is lost.

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use model::{key, name::Name};
use rand::{Rng, seq::IteratorRandom};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::seed;

/// Time between two probes of an entry VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Failed probes in a row after which an entry VM gets nothing more.
const PROBE_FAILURES: u32 = 2;

/// An entry VM as the fabric knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes packets of flows, as GUE over UDP.
    pub fabric_address: SocketAddr,
    /// Where it takes requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// Its HTTP address, for health probes; without one it counts as healthy.
    #[serde(default)]
    pub http_address: Option<SocketAddr>,
    /// Set where this is an upstream of that service and not an entry VM, as in the baseline
    /// without the system: packets of a flow then go to one of them by a hash of the flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
}

/// What is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Parcel<'a> {
    /// Service that it is for.
    pub service: &'a Name,
    /// Number of its flow or request.
    pub key: u64,
    /// Entry VM through which it went before.
    pub not: Option<&'a Name>,
}

/// The fabric of one caller process.
#[derive(Debug, Clone)]
pub struct Fabric(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    entries: Vec<Entry>,
    /// Entry VMs that the probes found dead or stopping.
    down: BTreeSet<Name>,
    /// Failure domains that the fabric is cut off from.
    cut: BTreeSet<Name>,
    random: Pcg64Mcg,
}

impl State {
    fn pick(&mut self, parcel: Parcel<'_>) -> Option<Entry> {
        let (down, cut) = (&self.down, &self.cut);
        let is_usable = |e: &&Entry| {
            let serves = e.service.as_ref().is_none_or(|s| s == parcel.service);
            serves && !down.contains(&e.name) && !cut.contains(&e.domain)
        };
        let usable: Vec<&Entry> = self.entries.iter().filter(is_usable).collect();
        if usable.first()?.service.is_some() {
            let len = u64::try_from(usable.len()).unwrap_or(u64::MAX);
            let index = key::hash(0, &parcel.key.to_le_bytes()) % len;
            return usable.get(usize::try_from(index).ok()?).copied().cloned();
        }
        let others = usable.iter().filter(|e| Some(&e.name) != parcel.not);
        let other = others.choose(&mut self.random);
        other.or(usable.first()).copied().cloned()
    }
}

impl Fabric {
    /// A fabric before `entries`.
    #[must_use]
    pub fn new(entries: Vec<Entry>, seed: u64) -> Self {
        Self(Rc::new(RefCell::new(State {
            entries,
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            random: seed::generator(seed, "fabric"),
        })))
    }

    /// Draws an entry VM, another one than before where there is one.
    #[must_use]
    pub fn pick(&self, parcel: Parcel<'_>) -> Option<Entry> {
        self.0.borrow_mut().pick(parcel)
    }

    /// A number drawn evenly below 1, for the jitter of repeats.
    #[must_use]
    pub fn jitter(&self) -> f64 {
        self.0.borrow_mut().random.random()
    }

    /// Cuts the fabric off from a failure domain, or joins them again.
    pub fn cut(&self, domain: Name, off: bool) {
        let mut state = self.0.borrow_mut();
        match off {
            true => state.cut.insert(domain),
            false => state.cut.remove(&domain),
        };
    }

    /// Marks an entry VM as dead, or as healthy.
    pub fn mark(&self, entry: Name, is_down: bool) {
        let mut state = self.0.borrow_mut();
        let changed = match is_down {
            true => state.down.insert(entry.clone()),
            false => state.down.remove(&entry),
        };
        if changed {
            let word = if is_down { "down" } else { "up" };
            log::info!(target: "fabric", "entry VM {entry} is {word}.");
        }
    }

    /// Probes the health endpoints until the token is cancelled.
    pub async fn probe(self, token: CancellationToken) {
        let entries = self.0.borrow().entries.clone();
        for entry in entries {
            if let Some(address) = entry.http_address {
                let one = self.clone().probe_one(entry.name, address, token.clone());
                tokio::task::spawn_local(one);
            }
        }
        token.cancelled().await;
    }

    async fn probe_one(self, name: Name, address: SocketAddr, token: CancellationToken) {
        let mut failures = 0;
        while !token.is_cancelled() {
            match time::timeout(PROBE_TIMEOUT, is_healthy(address)).await {
                Ok(true) => failures = 0,
                Ok(false) | Err(_) => failures += 1,
            }
            self.mark(name.clone(), failures >= PROBE_FAILURES);
            time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Whether `GET /health` answers 200.
async fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = format!("GET /health HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.is_ok() && start.ends_with(b" 200")
}
