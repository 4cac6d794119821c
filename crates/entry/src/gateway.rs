//! An entry VM on the platform: sockets, timers and streams around
//! [`policy::token::gateway::Gateway`], which makes every decision.
//!
//! - [`driver`] owns the gateway and performs what the gateway decides.
//! - `admission_log` reports services that are short of capacity, and refusals.
//! - `decision_log` counts the decisions and logs them up to a number of lines a second.
//! - [`control_streams`] keeps a stream open to each control VM.
//! - `place` renders explanations of placements as JSON.
//! - [`probes`] probes upstreams that seem silent with TCP connections.

use std::{net::TcpListener, path::PathBuf, time::Duration};

use daemon::{
    http::{self, StateQuery},
    reload,
    supervisor::{Restart, Supervisor},
};
use displaydoc::Display;
use log::info;
use settings::gateway::Entry;
use tokio::{net::UdpSocket, sync::mpsc};
use tokio_util::sync::CancellationToken;

mod admission_log;
pub mod control_streams;
mod decision_log;
pub mod driver;
mod place;
pub mod probes;

use driver::GatewayDriver;

/// Datagrams that are read in a row before the task yields to other tasks.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Time between two ticks of the gateway, which handle what changes only with time.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// State queries that may wait for an answer.
const MAX_QUEUED_QUERIES: usize = 16;

/// Shortest graceful stop: the fabric needs this time to notice that this VM isn't ready.
const MIN_STOP_TIME: Duration = Duration::from_millis(1_800);

/// Longest graceful stop.
const MAX_STOP_TIME: Duration = Duration::from_millis(4_000);

/// Time without a packet after which a graceful stop is complete.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// A failure that stops the daemon.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen for packets of the fabric at {0}: {1}; set another `fabric_listen` address
    Bind(std::net::SocketAddr, std::io::Error),
    /// {0}
    Http(http::Error),
    /// {0}
    Task(String),
}

impl std::error::Error for Error {}

/// Runs the entry VM until `token` is cancelled, then stops gracefully. The settings file at
/// `settings_path` is read again when it changes.
///
/// # Errors
///
/// Fails when an address can't be listened at, or when a task fails and is not restarted.
pub async fn run(
    settings: Entry,
    settings_path: PathBuf,
    token: CancellationToken,
) -> Result<(), Error> {
    let listen = settings.fabric_listen;
    let socket = UdpSocket::bind(listen).await;
    let socket = socket.map_err(|e| Error::Bind(listen, e))?;
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let listener = http::listen(settings.health_listen).map_err(Error::Http)?;
    let driver = GatewayDriver::new(&settings, socket);

    // The tasks have a token of their own, because they serve until the graceful stop is complete.
    let tasks = CancellationToken::new();
    let supervisor = Supervisor::new("entry", tasks.clone());
    start_packets(&supervisor, &driver);
    start_paced_sender(&supervisor, &driver);
    start_ticks(&supervisor, &driver);
    probes::start(&supervisor, &driver);
    start_http(&supervisor, listener, &driver, metrics);
    start_control_streams(&supervisor, &settings, settings_path, &driver);
    info!(
        target: "entry",
        "event=start vm={} domain={} listen={listen}", settings.name, settings.domain
    );

    let outcome = tokio::select! {
        () = token.cancelled() => Ok(()),
        outcome = supervisor.wait() => outcome,
    };
    if outcome.is_ok() {
        stop_gracefully(&driver).await;
    }
    tasks.cancel();
    info!(target: "entry", "event=stop outcome={outcome:?}");
    outcome.map_err(Error::Task)
}

fn start_packets(supervisor: &Supervisor, driver: &GatewayDriver) {
    let driver = driver.clone();
    supervisor.start_child("packets", Restart::OnFailure, move |token| {
        let driver = driver.clone();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    ready = driver.socket().readable() => ready.map_err(|e| e.to_string())?,
                }
                driver.receive_packets(MAX_BATCH_DATAGRAMS)?;
                tokio::task::yield_now().await;
            }
        }
    });
}

/// Starts the task that sends queued datagrams at the rate of the link.
fn start_paced_sender(supervisor: &Supervisor, driver: &GatewayDriver) {
    let driver = driver.clone();
    supervisor.start_child("paced", Restart::Never, move |token| {
        let driver = driver.clone();
        async move {
            loop {
                let wait = driver.send_paced();
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = driver.paced_changed.notified() => {}
                    () = sleep_for(wait) => {}
                }
            }
        }
    });
}

/// Sleeps for `wait`, or forever if `wait` is `None`.
async fn sleep_for(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

fn start_ticks(supervisor: &Supervisor, driver: &GatewayDriver) {
    let driver = driver.clone();
    supervisor.start_child("ticks", Restart::Never, move |token| {
        let driver = driver.clone();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = tokio::time::sleep(TICK_INTERVAL) => driver.tick(),
                }
            }
        }
    });
}

fn start_http(
    supervisor: &Supervisor,
    listener: TcpListener,
    driver: &GatewayDriver,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) {
    let (query_sender, mut queries) = mpsc::channel(MAX_QUEUED_QUERIES);
    http::start(
        supervisor,
        Restart::OnFailure,
        listener,
        metrics,
        query_sender,
    );
    let driver = driver.clone();
    ntex::rt::spawn(async move {
        while let Some(query) = queries.recv().await {
            // Sending fails if the HTTP request was dropped meanwhile; no answer is needed then.
            match query {
                StateQuery::Dump(answer) => drop(answer.send(driver.dump())),
                StateQuery::Health(answer) => drop(answer.send(driver.health())),
                StateQuery::Place(request, answer) => drop(answer.send(driver.explain(request))),
            }
        }
    });
}

fn start_control_streams(
    supervisor: &Supervisor,
    settings: &Entry,
    settings_path: PathBuf,
    driver: &GatewayDriver,
) {
    let settings = settings.clone();
    let driver = driver.clone();
    supervisor.start_child("sources", Restart::OnFailure, move |token| {
        let control_streams =
            control_streams::ControlStreams::new(settings.clone(), driver.clone(), token.clone());
        let mut file = reload::SettingsFile::new(settings_path.clone(), settings.clone());
        async move {
            loop {
                control_streams.update_streams();
                tokio::select! {
                    () = control_streams.wait_for_change() => {}
                    changed = file.changed(&token) => match changed {
                        Some(changed) => control_streams.set_seeds(&changed),
                        None => return Ok(()),
                    },
                }
            }
        }
    });
}

/// Keeps forwarding until the fabric has sent no packet for [`IDLE_TIME`].
async fn stop_gracefully(driver: &GatewayDriver) {
    driver.stop();
    let finished = async {
        tokio::time::sleep(MIN_STOP_TIME).await;
        while driver.idle_time() < IDLE_TIME {
            tokio::time::sleep(IDLE_TIME / 4).await;
        }
    };
    if tokio::time::timeout(MAX_STOP_TIME, finished).await.is_err() {
        info!(target: "entry", "event=stop-forced after={MAX_STOP_TIME:?}");
    }
}
