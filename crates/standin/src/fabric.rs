//! Emulated fabric, which forwards each packet and request to an entry VM drawn at random.
//!
//! The fabric detects a dead or stopping entry VM by health probes only. Packets that go to such a VM
//! before the probes fail are lost.

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

/// Pause between two probes of an entry VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of consecutive failed probes after which an entry VM gets no packets.
const MAX_PROBE_FAILURES: u32 = 2;

/// Settings of an entry VM, or of an upstream without the system, behind the fabric.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address for packets of flows, as GUE over UDP.
    pub fabric_address: SocketAddr,
    /// Address for requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// HTTP address for health probes. A VM without an HTTP address counts as healthy.
    #[serde(default)]
    pub http_address: Option<SocketAddr>,
    /// Service of the upstream at these addresses, in the baseline without the system; `None` for an
    /// entry VM. The fabric chooses among such upstreams by a hash of the flow or request number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
}

/// Criteria by which the fabric chooses an entry VM.
#[derive(Debug, Clone, Copy)]
pub struct EntryQuery<'a> {
    /// Service of the packet or request.
    pub service: &'a Name,
    /// Number of the flow or request.
    pub key: u64,
    /// Entry VM to avoid, because the previous attempt went there.
    pub excluded: Option<&'a Name>,
}

/// The fabric of one caller process.
#[derive(Debug, Clone)]
pub struct Fabric(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    entries: Vec<Entry>,
    /// Entry VMs that failed their probes or were set down by a command.
    down: BTreeSet<Name>,
    /// Failure domains that the fabric can't reach.
    cut: BTreeSet<Name>,
    random: Pcg64Mcg,
}

impl State {
    fn choose_entry(&mut self, query: EntryQuery<'_>) -> Option<Entry> {
        let (down, cut) = (&self.down, &self.cut);
        let is_usable = |e: &&Entry| {
            let serves = e.service.as_ref().is_none_or(|s| s == query.service);
            serves && !down.contains(&e.name) && !cut.contains(&e.domain)
        };
        let usable: Vec<&Entry> = self.entries.iter().filter(is_usable).collect();
        if usable.first()?.service.is_some() {
            let len = u64::try_from(usable.len()).unwrap_or(u64::MAX);
            let index = key::hash(0, &query.key.to_le_bytes()) % len;
            return usable.get(usize::try_from(index).ok()?).copied().cloned();
        }
        let others = usable.iter().filter(|e| Some(&e.name) != query.excluded);
        let other = others.choose(&mut self.random);
        other.or(usable.first()).copied().cloned()
    }
}

impl Fabric {
    /// Creates a fabric that forwards to `entries`.
    #[must_use]
    pub fn new(entries: Vec<Entry>, seed: u64) -> Self {
        Self(Rc::new(RefCell::new(State {
            entries,
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            random: seed::generator(seed, "fabric"),
        })))
    }

    /// Draws a usable entry VM, other than [`EntryQuery::excluded`] if there is another.
    #[must_use]
    pub fn choose_entry(&self, query: EntryQuery<'_>) -> Option<Entry> {
        self.0.borrow_mut().choose_entry(query)
    }

    /// Draws a number from 0 to 1 (exclusive) for the jitter of retransmissions.
    #[must_use]
    pub fn jitter(&self) -> f64 {
        self.0.borrow_mut().random.random()
    }

    /// Cuts (`off`) or restores the connection to a failure domain.
    pub fn cut(&self, domain: Name, off: bool) {
        let mut state = self.0.borrow_mut();
        match off {
            true => state.cut.insert(domain),
            false => state.cut.remove(&domain),
        };
    }

    /// Sets an entry VM down or up.
    pub fn set_down(&self, entry: Name, is_down: bool) {
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
                let one = self.clone().probe_entry(entry.name, address, token.clone());
                tokio::task::spawn_local(one);
            }
        }
        token.cancelled().await;
    }

    async fn probe_entry(self, name: Name, address: SocketAddr, token: CancellationToken) {
        let mut failures = 0;
        while !token.is_cancelled() {
            match time::timeout(PROBE_TIMEOUT, is_healthy(address)).await {
                Ok(true) => failures = 0,
                Ok(false) | Err(_) => failures += 1,
            }
            self.set_down(name.clone(), failures >= MAX_PROBE_FAILURES);
            time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Reports whether `GET /health` answers with status 200.
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
