//! Upstreams: each takes packets of flows and requests on two UDP sockets, announces itself, and
//! misbehaves on command.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use displaydoc::Display;
use model::name::Name;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{announce, channel, run_log::RunLog};

mod flows;
mod requests;
mod server;
mod warmth;

pub use flows::{Flows, Outcome};
pub use requests::{Job, Key, Requests, Step};
pub use server::{Health, Server};
pub use warmth::Warmth;

/// Settings of a process that holds upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where commands are taken.
    pub control: SocketAddr,
    /// Seed of the service times.
    #[serde(default)]
    pub seed: u64,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Settings of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where its sockets are bound; the ports are drawn.
    pub ip: IpAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Flows that it bears at a time.
    pub connections: u32,
    /// Shortest time that a request takes, in milliseconds.
    pub service_min_ms: u64,
    /// Mean of the time that a request takes beyond the shortest, in milliseconds; drawn from an
    /// exponential distribution.
    pub service_mean_ms: u64,
    /// Whether it starts cold.
    #[serde(default)]
    pub cold: bool,
    /// Whether requests beyond its slots make it collapse, where it would shed them else.
    #[serde(default)]
    pub collapses: bool,
    /// RPC addresses of the entry VMs of its failure domain, to which it announces itself.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
}

/// A command to the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Turns an upstream cold; it says so or not.
    Cold {
        /// The upstream.
        upstream: Name,
        /// Whether it says so, by a new incarnation.
        says_so: bool,
    },
    /// Makes an upstream announce full warmth and no flows, whatever is true.
    Lie {
        /// The upstream.
        upstream: Name,
        /// Whether it lies from now on.
        on: bool,
    },
    /// Makes an upstream's announcements lag.
    Lag {
        /// The upstream.
        upstream: Name,
        /// How old the announced values are, in announcements.
        announcements: usize,
    },
    /// Stops an upstream's sockets and announcements, or lets them go on.
    Freeze {
        /// The upstream.
        upstream: Name,
        /// Whether it is frozen from now on.
        on: bool,
    },
    /// Makes an upstream announce that it is about to stop.
    Leave {
        /// The upstream.
        upstream: Name,
    },
    /// Asks for the addresses.
    Addresses,
    /// Asks for the counts.
    Stats,
    /// Asks for the log of runs.
    Runs,
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The command was carried out.
    Done,
    /// No such upstream here.
    Unknown,
    /// Addresses for flows and for requests, by upstream.
    Addresses(BTreeMap<Name, (SocketAddr, SocketAddr)>),
    /// Counts by upstream.
    Stats(BTreeMap<Name, Stats>),
    /// The log of runs over all upstreams of the process.
    Runs(RunLog),
}

/// What one upstream saw on its own sockets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Service that it serves.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Flows opened.
    pub flows_opened: u64,
    /// Flows held now.
    pub flows_held: u64,
    /// Packets of flows, of any kind.
    pub packets: u64,
    /// Later packets of flows that it doesn't know.
    pub unknown_packets: u64,
    /// Flows that were meant for another service.
    pub wrong_service_flows: u64,
    /// Requests that were meant for another service.
    pub wrong_service_requests: u64,
    /// Flows refused since it held as many as it bears.
    pub flows_refused: u64,
    /// Requests that started to run.
    pub requests_run: u64,
    /// Requests answered.
    pub requests_answered: u64,
    /// Requests shed: more at a time than its slots.
    pub requests_shed: u64,
    /// Requests cancelled while they ran.
    pub requests_cancelled: u64,
    /// Most requests at a time.
    pub most_busy: u64,
    /// Requests or flows beyond what it bore while cold.
    pub cold_overloads: u64,
    /// How often it collapsed.
    pub collapses: u64,
    /// Datagrams that can't be read.
    pub malformed: u64,
}

/// Why the process can't run.
#[derive(Debug, Display)]
pub enum Error {
    /// address {0} can't be bound: {1}: choose a free one
    Bind(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// Runs the upstreams until the token is cancelled.
///
/// # Errors
///
/// Names the address that can't be bound.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let control = settings.control;
    let listener = TcpListener::bind(control).await;
    let listener = listener.map_err(|e| Error::Bind(control, e))?;
    let runs = Rc::new(RefCell::new(RunLog::default()));
    let mut servers = BTreeMap::new();
    for upstream in settings.upstreams {
        let name = upstream.name.clone();
        let server = Server::bind(upstream, settings.seed, runs.clone()).await?;
        server.start(&token);
        if !server.entries().is_empty() {
            announce::start(server.clone(), token.clone());
        }
        servers.insert(name, server);
    }
    let answer = move |command| answer(&servers, &runs, command);
    channel::serve(listener, token, answer).await;
    Ok(())
}

fn answer(
    servers: &BTreeMap<Name, Server>,
    runs: &Rc<RefCell<RunLog>>,
    command: Command,
) -> Answer {
    let on = |upstream: &Name, act: &dyn Fn(&Server)| match servers.get(upstream) {
        Some(server) => {
            act(server);
            Answer::Done
        }
        None => Answer::Unknown,
    };
    match command {
        Command::Cold { upstream, says_so } => on(&upstream, &|s| s.turn_cold(says_so)),
        Command::Lie { upstream, on: lies } => on(&upstream, &|s| s.health(|h| h.lies = lies)),
        Command::Lag {
            upstream,
            announcements,
        } => on(&upstream, &|s| s.health(|h| h.lag = announcements)),
        Command::Freeze {
            upstream,
            on: frozen,
        } => on(&upstream, &|s| s.freeze(frozen)),
        Command::Leave { upstream } => on(&upstream, &|s| s.health(|h| h.leaving = true)),
        Command::Addresses => {
            let address = |(name, server): (&Name, &Server)| {
                let flows = server.flow_address().ok()?;
                Some((name.clone(), (flows, server.request_address().ok()?)))
            };
            Answer::Addresses(servers.iter().filter_map(address).collect())
        }
        Command::Stats => {
            let stats = servers.iter().map(|(n, s)| (n.clone(), s.stats()));
            Answer::Stats(stats.collect())
        }
        Command::Runs => Answer::Runs(runs.borrow().clone()),
    }
}
