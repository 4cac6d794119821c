//! Builds the parts of the daemon and runs them.

use std::{net::TcpListener as StdListener, path::PathBuf, time::Duration};

use daemon::{
    http::{self, StateQuery},
    reload,
    supervisor::{Restart, Supervisor},
};
use delivery::{CONTROL_PATH, ROUTING_PATH, SECOND_ROUTING_PATH, delta::History, server};
use displaydoc::Display;
use metrics_exporter_prometheus::PrometheusHandle;
use model::routing::Version;
use settings::{control::Settings, gateway::Control as Gateway};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    dump, exchange, heard, hints, operator,
    replica::{self, Handle},
    routing, session,
    state::{self, State},
    steps,
};

/// Time that the replica gets to hand leadership over and to stop.
const REPLICA_STOP: Duration = Duration::from_secs(3);

/// Questions about the process that may wait.
const QUESTIONS: usize = 16;

/// Shortest time between two versions of the hints on disk.
const HINT_PAUSE: Duration = Duration::from_millis(500);

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
    let replica = replica_settings(&settings);
    run_with(settings, replica, None, token).await
}

/// Runs the daemon on the platform until `token` is cancelled; `source` is the settings file,
/// which is read again as it changes.
///
/// # Errors
///
/// Says what failed and which setting to look at.
pub async fn run_gateway(
    gateway: Gateway,
    source: PathBuf,
    token: CancellationToken,
) -> Result<(), Error> {
    let settings = gateway.daemon();
    let address = gateway.peer_address();
    let replica = replica::Settings {
        name: address.to_string(),
        address,
        listen: Some(settings.peer_listen),
        peers: gateway.replicas(),
        keep_voters: Some(gateway.voters()),
        outlives_disk: true,
        ..replica_settings(&settings)
    };
    run_with(settings, replica, Some((gateway, source)), token).await
}

async fn run_with(
    settings: Settings,
    replica: replica::Settings,
    gateway: Option<(Gateway, PathBuf)>,
    token: CancellationToken,
) -> Result<(), Error> {
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let http = http::listen(settings.http_listen).map_err(Error::Http)?;
    // The replica outlives the rest, so that calls under way at a stop still get their answers.
    let replica_token = CancellationToken::new();
    let replica = Handle::start(replica, replica_token.clone())
        .await
        .map_err(Error::Replica)?;
    let (publish, delivered) = watch::channel(History::new(state::strip(&replica.latest())));
    let mut state = State::new(settings.name.clone(), replica.clone(), delivered);
    let root = Supervisor::new("control", token.clone());
    if let Some((gateway, source)) = gateway {
        let recalled = hints::read(&settings.data_folder);
        let heard = heard::Table::new(gateway.announce_ms).recall(recalled);
        state = state.with_announcements(heard, settings.domain.clone(), gateway.delivery_port());
        start_hints(&settings, &state, &root)?;
        start_desk(&gateway, source, &state, &root);
    }

    ntex::rt::spawn(state::publish(replica.watch(), publish));
    start_streams(&settings, &state, &root).await?;
    start_steps(&state, &root);
    watch_replica(&replica, &root);
    start_http(http, metrics, &state, &root);

    let listen = settings.rpc_listen;
    let service = state.clone();
    let rpc = rpc::server::start("operator", listen, move || {
        operator::factory(service.clone())
    })
    .map_err(|e| Error::Listen(listen, e, "rpc_listen"))?;
    log::info!(
        target: "control",
        "event=start vm={} domain={} operators={listen} entry_vms={}",
        settings.name, settings.domain, settings.delivery_listen
    );
    let outcome = root.wait().await;
    log::info!(target: "control", "event=stop outcome={outcome:?}");
    rpc.stop(true).await;
    replica_token.cancel();
    if timeout(REPLICA_STOP, replica.stopped()).await.is_err() {
        log::warn!(target: "control", "the replica did not stop in time: nothing synced is lost");
    }
    outcome.map_err(Error::Task)
}

fn replica_settings(settings: &Settings) -> replica::Settings {
    let peers = settings.replicas.iter();
    replica::Settings {
        name: settings.name.to_string(),
        folder: settings.data_folder.clone(),
        address: settings.peer_listen,
        peers: peers
            .map(|(n, address)| (n.to_string(), *address))
            .collect(),
        found: settings.found,
        ..replica::Settings::default()
    }
}

/// Writes what upstreams announce to disk as it changes, at most twice a second.
fn start_hints(settings: &Settings, state: &State, root: &Supervisor) -> Result<(), Error> {
    let (publish, heard) = watch::channel(Vec::new());
    hints::start_writer(settings.data_folder.clone(), heard)
        .map_err(|e| Error::Task(format!("the thread that writes hints can't start: {e}")))?;
    let state = state.clone();
    root.child("hints", Restart::Never, move |token| {
        let (state, publish) = (state.clone(), publish.clone());
        let mut revisions = state.revisions();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    changed = revisions.changed() => changed.map_err(|e| e.to_string())?,
                }
                publish.send_replace(state.soft().heard.all().cloned().collect());
                tokio::time::sleep(HINT_PAUSE).await;
            }
        }
    });
    Ok(())
}

/// Serves the platform's callers, and follows the seeds of the settings file.
fn start_desk(gateway: &Gateway, source: PathBuf, state: &State, root: &Supervisor) {
    let listen = gateway.desk_listen;
    let desk = state.clone();
    root.child("desk", Restart::OnFailure, move |token| {
        let served = platform::desk::serve(listen, desk.clone(), token);
        async move {
            served
                .await
                .map_err(|e| format!("desk_listen {listen}: {e}"))
        }
    });
    let replica = state.replica.clone();
    let gateway = gateway.clone();
    root.child("reload", Restart::OnFailure, move |token| {
        let mut file = reload::File::new(source.clone(), gateway.clone());
        let replica = replica.clone();
        async move {
            while let Some(changed) = file.changed(&token).await {
                replica.set_peers(changed.replicas());
            }
            Ok(())
        }
    });
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
            match stream.path.as_str() {
                CONTROL_PATH => exchange::hear(stream, state).await,
                ROUTING_PATH => routing::serve(stream, state, Version::First).await,
                SECOND_ROUTING_PATH => routing::serve(stream, state, Version::Second).await,
                _ => session::serve(stream, state).await,
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

fn start_http(listener: StdListener, metrics: PrometheusHandle, state: &State, root: &Supervisor) {
    let (questions, asked) = mpsc::channel(QUESTIONS);
    ntex::rt::spawn(answer(asked, state.clone()));
    http::start(root, Restart::Never, listener, metrics, questions);
}

/// Answers questions about the process until there are no askers.
async fn answer(mut asked: mpsc::Receiver<StateQuery>, state: State) {
    while let Some(question) = asked.recv().await {
        // An asker that has gone needs no answer.
        match question {
            StateQuery::Dump(answer) => drop(answer.send(dump::own(&state))),
            StateQuery::Health(answer) => drop(answer.send(health(&state))),
        }
    }
}

fn health(state: &State) -> Result<(), String> {
    if state.is_in_touch() {
        return Ok(());
    }
    Err("no leader is known: the quorum of control VMs may be lost".to_owned())
}
