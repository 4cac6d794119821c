//! Builds the parts of the daemon and runs them.

use std::time::Duration;

use daemon::{
    http::{self, Question},
    supervisor::{Restart, Supervisor},
};
use delivery::{CONTROL_PATH, delta::History, server};
use displaydoc::Display;
use metrics_exporter_prometheus::PrometheusHandle;
use settings::control::Settings;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    dump, exchange, operator,
    replica::{self, Handle},
    session,
    state::{self, State},
    steps,
};

/// Time that the replica gets to hand leadership over and to stop.
const REPLICA_STOP: Duration = Duration::from_secs(3);

/// Questions about the process that may wait.
const QUESTIONS: usize = 16;

/// Why the daemon stopped.
#[derive(Debug, Display)]
pub enum Error {
    /// the replica can't start: {0}
    Replica(replica::Error),
    /// {0} can't be listened at: {1}; choose another `{2}`
    Listen(std::net::SocketAddr, std::io::Error, &'static str),
    /// {0}
    Http(http::Error),
    /// {0}
    Task(String),
}

impl std::error::Error for Error {}

/// Runs the daemon until `token` is cancelled.
///
/// # Errors
///
/// Says what failed and which setting to look at.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let metrics = http::record_metrics().map_err(Error::Http)?;
    // The replica outlives the rest, so that calls under way at a stop still get their answers.
    let replica_token = CancellationToken::new();
    let replica = start_replica(&settings, replica_token.clone()).await?;
    let (publish, delivered) = watch::channel(History::new(state::strip(&replica.latest())));
    let state = State::new(settings.name.clone(), replica.clone(), delivered);
    let root = Supervisor::new("control", token.clone());

    ntex::rt::spawn(state::publish(replica.watch(), publish));
    start_streams(&settings, &state, &root).await?;
    start_steps(&state, &root);
    watch_replica(&replica, &root);
    start_http(&settings, metrics, &state, &root);

    let listen = settings.rpc_listen;
    let service = state.clone();
    let rpc = rpc::server::start("operator", listen, move || {
        operator::factory(service.clone())
    })
    .map_err(|e| Error::Listen(listen, e, "rpc_listen"))?;
    log::info!(
        target: "control",
        "{} of {} takes operators at {listen} and entry VMs at {}",
        settings.name, settings.domain, settings.delivery_listen
    );
    let outcome = root.wait().await;
    rpc.stop(true).await;
    replica_token.cancel();
    if timeout(REPLICA_STOP, replica.stopped()).await.is_err() {
        log::warn!(target: "control", "the replica did not stop in time: nothing synced is lost");
    }
    outcome.map_err(Error::Task)
}

async fn start_replica(settings: &Settings, token: CancellationToken) -> Result<Handle, Error> {
    let peers = settings
        .replicas
        .iter()
        .map(|(name, address)| (name.to_string(), *address))
        .collect();
    let replica = replica::Settings {
        name: settings.name.to_string(),
        folder: settings.data_folder.clone(),
        address: settings.peer_listen,
        peers,
        found: settings.found,
        ..replica::Settings::default()
    };
    Handle::start(replica, token).await.map_err(Error::Replica)
}

async fn start_streams(settings: &Settings, state: &State, root: &Supervisor) -> Result<(), Error> {
    let listen = settings.delivery_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|e| Error::Listen(listen, e, "delivery_listen"))?;
    let served = state.clone();
    let serve = move |stream: server::Stream| {
        let state = served.clone();
        async move {
            if stream.path == CONTROL_PATH {
                exchange::hear(stream, state).await;
            } else {
                session::serve(stream, state).await;
            }
        }
    };
    tokio::spawn(server::run(listener, serve, root.token()));
    for peer in &settings.controls {
        if *peer != listen {
            tokio::spawn(exchange::tell(*peer, state.clone(), root.token()));
        }
    }
    Ok(())
}

/// Ends the daemon when its replica stops by itself, as when its disk fails.
fn watch_replica(replica: &Handle, root: &Supervisor) {
    let replica = replica.clone();
    root.child("replica", Restart::Never, move |token| {
        let replica = replica.clone();
        async move {
            tokio::select! {
                () = token.cancelled() => Ok(()),
                reason = replica.stopped() => Err(reason),
            }
        }
    });
}

fn start_steps(state: &State, root: &Supervisor) {
    let state = state.clone();
    root.child("steps", Restart::OnFailure, move |token| {
        let state = state.clone();
        async move {
            steps::run(state, token).await;
            Ok(())
        }
    });
}

fn start_http(settings: &Settings, metrics: PrometheusHandle, state: &State, root: &Supervisor) {
    let (questions, asked) = mpsc::channel(QUESTIONS);
    ntex::rt::spawn(answer(asked, state.clone()));
    let listen = settings.http_listen;
    root.child("http", Restart::Never, move |token| {
        let serve = http::serve(listen, metrics.clone(), questions.clone(), token);
        async move { serve.await.map_err(|e| e.to_string()) }
    });
}

/// Answers questions about the process until there are no askers.
async fn answer(mut asked: mpsc::Receiver<Question>, state: State) {
    while let Some(question) = asked.recv().await {
        // An asker that has gone needs no answer.
        match question {
            Question::Dump(answer) => drop(answer.send(dump::own(&state))),
            Question::Health(answer) => drop(answer.send(health(&state))),
        }
    }
}

fn health(state: &State) -> Result<(), String> {
    if state.is_in_touch() {
        return Ok(());
    }
    Err("no leader is known: the quorum of control VMs may be lost".to_owned())
}
