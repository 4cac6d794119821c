//! Emulated upstreams. Each upstream receives packets of flows and requests on two UDP sockets,
//! announces itself to entry VMs, and simulates faults on command.

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

pub use flows::{FlowAction, Flows};
pub use requests::{RequestAction, RequestKey, Requests, RunningRequest};
pub use server::{Health, Server};
pub use warmth::Warmth;

/// Settings of a process that runs upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the command channel.
    pub control: SocketAddr,
    /// Seed of the random service times.
    #[serde(default)]
    pub seed: u64,
    /// Settings of the upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Settings of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Name,
    /// Service that the upstream serves.
    pub service: Name,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// IP address of the sockets; the operating system chooses the ports.
    pub ip: IpAddr,
    /// Number of requests that the upstream runs at a time.
    pub slots: u16,
    /// Number of flows that the upstream holds at a time.
    pub connections: u32,
    /// Minimum service time of a request, in milliseconds.
    pub service_min_ms: u64,
    /// Mean of the exponentially distributed time that is added to the minimum service time, in
    /// milliseconds.
    pub service_mean_ms: u64,
    /// Whether the upstream starts cold, with reduced capacity.
    #[serde(default)]
    pub cold: bool,
    /// Whether a request beyond the slots makes the upstream collapse; otherwise the upstream sheds
    /// the request.
    #[serde(default)]
    pub collapses: bool,
    /// RPC addresses of the entry VMs in the failure domain, which receive the announcements.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
}

/// A command to a process that runs upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Turns an upstream cold.
    Cold {
        /// The upstream.
        upstream: Name,
        /// Whether the upstream announces the cold start by a new incarnation.
        says_so: bool,
    },
    /// Makes an upstream announce full warmth and no flows, regardless of its real state.
    Lie {
        /// The upstream.
        upstream: Name,
        /// Whether the false announcements start (true) or end (false).
        on: bool,
    },
    /// Delays the values in an upstream's announcements.
    Lag {
        /// The upstream.
        upstream: Name,
        /// Age of the announced values, as a number of announcements.
        announcements: usize,
    },
    /// Stops or resumes an upstream's sockets and announcements.
    Freeze {
        /// The upstream.
        upstream: Name,
        /// Whether the upstream stops (true) or resumes (false).
        on: bool,
    },
    /// Makes an upstream announce that it is about to stop.
    Leave {
        /// The upstream.
        upstream: Name,
    },
    /// Requests the addresses of all upstreams.
    Addresses,
    /// Requests the counters of all upstreams.
    Stats,
    /// Requests the run log.
    Runs,
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The process carried out the command.
    Done,
    /// The process has no upstream of that name.
    Unknown,
    /// Addresses for flows and for requests, by upstream.
    Addresses(BTreeMap<Name, (SocketAddr, SocketAddr)>),
    /// Counters by upstream.
    Stats(BTreeMap<Name, Stats>),
    /// Run log over all upstreams of the process.
    Runs(RunLog),
}

/// Counters of one upstream, taken at its own sockets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Service that the upstream serves.
    pub service: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Flows opened.
    pub flows_opened: u64,
    /// Flows held now.
    pub flows_held: u64,
    /// Packets of flows, of any kind.
    pub packets: u64,
    /// Packets after the opening packet whose flow the upstream does not know.
    pub unknown_packets: u64,
    /// Flows that were meant for another service.
    pub wrong_service_flows: u64,
    /// Requests that were meant for another service.
    pub wrong_service_requests: u64,
    /// Flows refused because the upstream held its maximum number of flows.
    pub flows_refused: u64,
    /// Requests that started to run.
    pub requests_run: u64,
    /// Requests answered.
    pub requests_answered: u64,
    /// Requests shed because all slots were busy.
    pub requests_shed: u64,
    /// Requests cancelled while they ran.
    pub requests_cancelled: u64,
    /// Maximum number of requests that ran at a time.
    pub most_busy: u64,
    /// Requests and flows beyond the reduced capacity of the cold upstream.
    pub cold_overloads: u64,
    /// Number of collapses under overload.
    pub collapses: u64,
    /// Datagrams that can't be decoded.
    pub malformed: u64,
}

/// Reason why a process with upstreams can't run.
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
/// Returns the address that can't be bound.
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
        Command::Lie { upstream, on: lies } => {
            on(&upstream, &|s| s.update_health(|h| h.lies = lies))
        }
        Command::Lag {
            upstream,
            announcements,
        } => on(&upstream, &|s| s.update_health(|h| h.lag = announcements)),
        Command::Freeze {
            upstream,
            on: frozen,
        } => on(&upstream, &|s| s.freeze(frozen)),
        Command::Leave { upstream } => on(&upstream, &|s| s.update_health(|h| h.leaving = true)),
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
