//! An entry VM on the platform: a thin shell around [`policy::token::gateway::Gateway`].
//!
//! - [`shell`] owns the decisions and performs them.
//! - `journal` counts and logs what it decides, within bounds.
//! - [`sources`] keeps a stream to each control VM.
//! - [`probes`] tries to connect to upstreams that seem silent.

use std::{net::TcpListener, path::PathBuf, time::Duration};

use daemon::{
    http::{self, Question},
    reload,
    supervisor::{Restart, Supervisor},
};
use displaydoc::Display;
use log::info;
use settings::gateway::Entry;
use tokio::{net::UdpSocket, sync::mpsc};
use tokio_util::sync::CancellationToken;

mod journal;
pub mod probes;
pub mod shell;
pub mod sources;

use shell::Shell;

/// Datagrams that are read in a row before other tasks get their turn.
const BATCH: usize = 64;

/// Time between two looks at what only time changes.
const TICK: Duration = Duration::from_millis(500);

/// Questions that may wait.
const QUESTIONS: usize = 16;

/// Shortest graceful stop: the fabric has to notice that this VM isn't ready.
const MIN_STOP: Duration = Duration::from_millis(1_800);

/// Longest graceful stop.
const MAX_STOP: Duration = Duration::from_millis(4_000);

/// Time without a packet after which a graceful stop is complete.
const QUIET: Duration = Duration::from_millis(400);

/// Why the daemon stops.
#[derive(Debug, Display)]
pub enum Error {
    /// socket for the fabric can't listen at {0}: {1}; choose another `fabric_listen`
    Bind(std::net::SocketAddr, std::io::Error),
    /// {0}
    Http(http::Error),
    /// {0}
    Task(String),
}

impl std::error::Error for Error {}

/// Runs until `token` is cancelled, then stops gracefully; `source` is the settings file, which is
/// read again as it changes.
///
/// # Errors
///
/// Fails when an address can't be listened at, or when a task fails for good.
pub async fn run(settings: Entry, source: PathBuf, token: CancellationToken) -> Result<(), Error> {
    let listen = settings.fabric_listen;
    let socket = UdpSocket::bind(listen).await;
    let socket = socket.map_err(|e| Error::Bind(listen, e))?;
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let listener = http::listen(settings.health_listen).map_err(Error::Http)?;
    let shell = Shell::new(&settings, socket);

    // Tasks outlive the request to stop: they serve until the graceful stop is complete.
    let tasks = CancellationToken::new();
    let supervisor = Supervisor::new("entry", tasks.clone());
    start_packets(&supervisor, &shell);
    start_paced(&supervisor, &shell);
    start_ticks(&supervisor, &shell);
    probes::start(&supervisor, &shell);
    start_http(&supervisor, listener, &shell, metrics);
    start_sources(&supervisor, &settings, source, &shell);
    info!(
        target: "entry",
        "event=start vm={} domain={} listen={listen}", settings.name, settings.domain
    );

    let outcome = tokio::select! {
        () = token.cancelled() => Ok(()),
        outcome = supervisor.wait() => outcome,
    };
    if outcome.is_ok() {
        stop(&shell).await;
    }
    tasks.cancel();
    info!(target: "entry", "event=stop outcome={outcome:?}");
    outcome.map_err(Error::Task)
}

fn start_packets(supervisor: &Supervisor, shell: &Shell) {
    let shell = shell.clone();
    supervisor.child("packets", Restart::OnFailure, move |token| {
        let shell = shell.clone();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    ready = shell.socket().readable() => ready.map_err(|e| e.to_string())?,
                }
                shell.take_packets(BATCH)?;
                tokio::task::yield_now().await;
            }
        }
    });
}

/// Sends what waits for the link.
fn start_paced(supervisor: &Supervisor, shell: &Shell) {
    let shell = shell.clone();
    supervisor.child("paced", Restart::Never, move |token| {
        let shell = shell.clone();
        async move {
            loop {
                let wait = shell.send_paced();
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = shell.paced_changed.notified() => {}
                    () = sleep_for(wait) => {}
                }
            }
        }
    });
}

/// Sleeps; forever where there is nothing to wake for.
async fn sleep_for(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

fn start_ticks(supervisor: &Supervisor, shell: &Shell) {
    let shell = shell.clone();
    supervisor.child("ticks", Restart::Never, move |token| {
        let shell = shell.clone();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = tokio::time::sleep(TICK) => shell.tick(),
                }
            }
        }
    });
}

fn start_http(
    supervisor: &Supervisor,
    listener: TcpListener,
    shell: &Shell,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) {
    let (questions, mut asked) = mpsc::channel(QUESTIONS);
    http::start(supervisor, Restart::OnFailure, listener, metrics, questions);
    let shell = shell.clone();
    ntex::rt::spawn(async move {
        while let Some(question) = asked.recv().await {
            // Whoever asked may have gone in the meantime.
            match question {
                Question::Dump(answer) => drop(answer.send(shell.dump())),
                Question::Health(answer) => drop(answer.send(shell.health())),
            }
        }
    });
}

fn start_sources(supervisor: &Supervisor, settings: &Entry, source: PathBuf, shell: &Shell) {
    let settings = settings.clone();
    let shell = shell.clone();
    supervisor.child("sources", Restart::OnFailure, move |token| {
        let sources = sources::Sources::new(settings.clone(), shell.clone(), token.clone());
        let mut file = reload::File::new(source.clone(), settings.clone());
        async move {
            loop {
                sources.start_missing();
                tokio::select! {
                    () = sources.changed() => {}
                    changed = file.changed(&token) => match changed {
                        Some(changed) => sources.set_seeds(&changed),
                        None => return Ok(()),
                    },
                }
            }
        }
    });
}

/// Forwards until the fabric sends nothing more.
async fn stop(shell: &Shell) {
    shell.stop();
    let finished = async {
        tokio::time::sleep(MIN_STOP).await;
        while shell.quiet_for() < QUIET {
            tokio::time::sleep(QUIET / 4).await;
        }
    };
    if tokio::time::timeout(MAX_STOP, finished).await.is_err() {
        info!(target: "entry", "event=stop-forced after={MAX_STOP:?}");
    }
}
