//! Emulated callers behind one fabric: venues hold feeds, decorators send uploads, and planners
//! submit requests.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use displaydoc::Display;
use model::name::Name;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    channel,
    fabric::{Entry, Fabric},
    seed,
};

mod flow;
mod request;
mod stats;

pub use request::Pool;
pub use stats::{CallerStats, FlowCounts, Latency, Report, RequestCounts, Second};

/// Settings of a process that runs callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the command channel.
    pub control: SocketAddr,
    /// Seed of the random arrivals and of the fabric's random choices.
    #[serde(default)]
    pub seed: u64,
    /// IP address of the callers' sockets; the operating system chooses the ports.
    pub ip: IpAddr,
    /// Number of sockets that submit requests.
    pub sockets: usize,
    /// Entry VMs behind the fabric.
    pub entries: Vec<Entry>,
    /// Traffic by service.
    pub services: Vec<Traffic>,
    /// Wait before the first retransmission of a packet of a flow, in milliseconds.
    pub retransmit_ms: u64,
    /// Time without an answer after which a flow counts as broken, in milliseconds.
    pub stall_ms: u64,
}

/// Traffic to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The service.
    pub service: Name,
    /// Address of the service.
    pub address: SocketAddr,
    /// Number of feeds held open.
    #[serde(default)]
    pub feeds: u32,
    /// Feeds opened per second until all feeds are open.
    #[serde(default)]
    pub feeds_per_second: u32,
    /// Time between two polls of a feed, in milliseconds.
    #[serde(default)]
    pub poll_ms: u64,
    /// Uploads started per 100 seconds.
    #[serde(default)]
    pub uploads_per_100_s: u32,
    /// Number of chunks of an upload.
    #[serde(default)]
    pub upload_chunks: u32,
    /// Size of a chunk, in bytes.
    #[serde(default)]
    pub chunk_bytes: usize,
    /// Requests per second.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Share of idempotent requests, in percent.
    #[serde(default)]
    pub idempotent_percent: u32,
    /// Deadline of a request, in milliseconds.
    #[serde(default)]
    pub deadline_ms: u32,
}

/// A command to a process that runs callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Announces that operators take a failure domain out. Flows that end there count as given up.
    DomainOut {
        /// The failure domain.
        domain: Name,
    },
    /// Announces that an upstream is terminated. Its flows count as given up.
    Gone {
        /// The upstream.
        upstream: Name,
    },
    /// Cuts or restores the fabric's connection to a failure domain.
    Cut {
        /// The failure domain.
        domain: Name,
        /// Whether the connection is cut (true) or restored (false).
        on: bool,
    },
    /// Makes the fabric stop or resume sending to an entry VM.
    Mark {
        /// The entry VM.
        entry: Name,
        /// Whether the fabric stops (true) or resumes (false).
        down: bool,
    },
    /// Ends the traffic: feeds close, and no new flows or requests start.
    Stop,
    /// Requests the report.
    Report,
}

/// Reason why a process with callers can't run.
#[derive(Debug, Display)]
pub enum Error {
    /// address {0} can't be bound: {1}: choose a free one
    Bind(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// State that all callers of a process share.
#[derive(Debug, Clone)]
pub struct Context {
    settings: Rc<Settings>,
    fabric: Fabric,
    stats: CallerStats,
    /// Cancelled when the traffic ends.
    stop: CancellationToken,
}

/// Runs the callers until the token is cancelled.
///
/// # Errors
///
/// Returns the address that can't be bound.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let control = settings.control;
    let listener = TcpListener::bind(control).await;
    let listener = listener.map_err(|e| Error::Bind(control, e))?;
    let fabric = Fabric::new(settings.entries.clone(), settings.seed);
    spawn_local(fabric.clone().probe(token.clone()));
    let context = Context {
        fabric,
        stats: CallerStats::default(),
        stop: token.child_token(),
        settings: Rc::new(settings),
    };
    let pool = Pool::bind(&context).await?;
    for traffic in context.settings.services.clone() {
        start(&context, &pool, traffic);
    }
    let answer = move |command| answer(&context, command);
    channel::serve(listener, token, answer).await;
    Ok(())
}

fn answer(context: &Context, command: Command) -> Report {
    match command {
        Command::DomainOut { domain } => context.stats.record_domain_out(domain),
        Command::Gone { upstream } => context.stats.record_upstream_removed(upstream),
        Command::Cut { domain, on } => context.fabric.cut(domain, on),
        Command::Mark { entry, down } => context.fabric.set_down(entry, down),
        Command::Stop => context.stop.cancel(),
        Command::Report => {}
    }
    context.stats.report()
}

/// Starts the traffic to one service.
fn start(context: &Context, pool: &Pool, traffic: Traffic) {
    let stop = context.stop.clone();
    let traffic = Rc::new(traffic);
    let feeds = open_feeds(context.clone(), traffic.clone());
    spawn_local(stop.clone().run_until_cancelled_owned(feeds));
    if traffic.uploads_per_100_s > 0 {
        let rate = f64::from(traffic.uploads_per_100_s) / 100.0;
        let (context, traffic) = (context.clone(), traffic.clone());
        let arrivals = arrivals(
            context.clone(),
            rate,
            "uploads",
            traffic.clone(),
            move |_| {
                spawn_local(flow::upload(context.clone(), traffic.clone()));
            },
        );
        spawn_local(stop.clone().run_until_cancelled_owned(arrivals));
    }
    if traffic.requests_per_second > 0 {
        let rate = f64::from(traffic.requests_per_second);
        let (context, traffic, pool) = (context.clone(), traffic.clone(), pool.clone());
        let arrivals = arrivals(
            context.clone(),
            rate,
            "requests",
            traffic.clone(),
            move |at| {
                spawn_local(pool.clone().submit(context.clone(), traffic.clone(), at));
            },
        );
        spawn_local(stop.run_until_cancelled_owned(arrivals));
    }
}

async fn open_feeds(context: Context, traffic: Rc<Traffic>) {
    let pause = Duration::from_secs(1) / traffic.feeds_per_second.max(1);
    for _ in 0..traffic.feeds {
        spawn_local(flow::feed(context.clone(), traffic.clone()));
        sleep(pause).await;
    }
}

/// Calls `start_next` at Poisson arrivals of `rate` per second, independent of earlier results.
async fn arrivals(
    context: Context,
    rate: f64,
    kind: &'static str,
    traffic: Rc<Traffic>,
    start_next: impl Fn(Instant),
) {
    let part = format!("{kind} {}", traffic.service);
    let mut random = seed::generator(context.settings.seed, part);
    let mut at = Instant::now();
    loop {
        let draw: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
        sleep_until(at).await;
        start_next(at);
    }
}
