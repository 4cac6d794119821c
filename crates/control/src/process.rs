//! Builds the parts of the daemon and runs them.

use std::{net::TcpListener as StdListener, path::PathBuf, time::Duration};

use daemon::{
    http::{self, PlaceFault, StateQuery},
    reload,
    supervisor::{Restart, Supervisor},
};
use delivery::{
    CONTROL_PATH, FOURTH_ROUTING_PATH, ROUTING_PATH, SECOND_ROUTING_PATH, THIRD_ROUTING_PATH,
    delta::History, server,
};
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
    announcement_cache, announcement_table, config_stream, dump, maintenance, operator,
    replica::{self, Handle},
    routing_stream, soft_state_sync,
    state::{self, State},
};

/// Maximum time for the replica to transfer leadership and stop.
const REPLICA_STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of queued questions about the process.
const MAX_QUEUED_QUESTIONS: usize = 16;

/// Minimum time between two writes of the announcement cache.
const CACHE_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Reason why the daemon stopped.
#[derive(Debug, Display)]
pub enum Error {
    /// the replica can't start: {0}
    Replica(replica::Error),
    /// can't listen on {0}: {1}; choose another `{2}`
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
/// Says what failed and which setting to check.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let replica = replica_settings(&settings);
    run_daemon(settings, replica, None, token).await
}

/// Runs the daemon on the platform until `token` is cancelled; `source` is the settings file, which
/// is read again when it changes.
///
/// # Errors
///
/// Says what failed and which setting to check.
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
        target_voters: Some(gateway.voters()),
        retries_disk_errors: true,
        ..replica_settings(&settings)
    };
    run_daemon(settings, replica, Some((gateway, source)), token).await
}

async fn run_daemon(
    settings: Settings,
    replica: replica::Settings,
    gateway: Option<(Gateway, PathBuf)>,
    token: CancellationToken,
) -> Result<(), Error> {
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let http = http::listen(settings.http_listen).map_err(Error::Http)?;
    // The replica stops after the other parts, so that calls in progress at a stop still get
    // answers.
    let replica_token = CancellationToken::new();
    let replica = Handle::start(replica, replica_token.clone())
        .await
        .map_err(Error::Replica)?;
    let (publish, delivered) = watch::channel(History::new(state::config_for_entry_vms(
        &replica.applied_config(),
    )));
    let mut state = State::new(settings.name.clone(), replica.clone(), delivered);
    let root = Supervisor::new("control", token.clone());
    if let Some((gateway, source)) = gateway {
        let recalled = announcement_cache::read(&settings.data_folder);
        let announcements =
            announcement_table::AnnouncementTable::new(gateway.announce_ms).with_recalled(recalled);
        state = state.with_announcements(
            announcements,
            settings.domain.clone(),
            gateway.delivery_port(),
        );
        start_announcement_cache(&settings, &state, &root)?;
        start_api(&gateway, source, &state, &root);
    }

    ntex::rt::spawn(state::publish_configs(replica.watch_config(), publish));
    start_streams(&settings, &state, &root).await?;
    start_maintenance(&state, &root);
    start_work_rounds(&state, &root);
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
    if timeout(REPLICA_STOP_TIMEOUT, replica.wait_stopped())
        .await
        .is_err()
    {
        log::warn!(target: "control", "the replica did not stop within 3 s; exiting anyway, no synced data is lost");
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
        may_found_cluster: settings.found,
        ..replica::Settings::default()
    }
}

/// Writes the announcement table to disk as it changes, at most twice a second.
fn start_announcement_cache(
    settings: &Settings,
    state: &State,
    root: &Supervisor,
) -> Result<(), Error> {
    let (publish, announcements) = watch::channel(Vec::new());
    announcement_cache::start_writer(settings.data_folder.clone(), announcements).map_err(|e| {
        Error::Task(format!(
            "can't start the thread that writes the announcement cache: {e}"
        ))
    })?;
    let state = state.clone();
    root.start_child("hints", Restart::Never, move |token| {
        let (state, publish) = (state.clone(), publish.clone());
        let mut revisions = state.watch_revision();
        async move {
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    changed = revisions.changed() => changed.map_err(|e| e.to_string())?,
                }
                publish.send_replace(state.soft_state().announcements.active().cloned().collect());
                tokio::time::sleep(CACHE_WRITE_INTERVAL).await;
            }
        }
    });
    Ok(())
}

/// Serves the HTTP API of the platform, and applies changes of the seeds in the settings file.
fn start_api(gateway: &Gateway, source: PathBuf, state: &State, root: &Supervisor) {
    let listen = gateway.desk_listen;
    let api = state.clone();
    root.start_child("desk", Restart::OnFailure, move |token| {
        let served = platform::api::serve(listen, api.clone(), token);
        async move {
            served
                .await
                .map_err(|e| format!("desk_listen {listen}: {e}"))
        }
    });
    let replica = state.replica.clone();
    let gateway = gateway.clone();
    root.start_child("reload", Restart::OnFailure, move |token| {
        let mut file = reload::SettingsFile::new(source.clone(), gateway.clone());
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
                CONTROL_PATH => soft_state_sync::receive_digests(stream, state).await,
                ROUTING_PATH => routing_stream::serve(stream, state, Version::First).await,
                SECOND_ROUTING_PATH => routing_stream::serve(stream, state, Version::Second).await,
                THIRD_ROUTING_PATH => routing_stream::serve(stream, state, Version::Third).await,
                FOURTH_ROUTING_PATH => routing_stream::serve(stream, state, Version::Fourth).await,
                _ => config_stream::serve(stream, state).await,
            }
        }
    };
    tokio::spawn(server::run(listener, serve, root.token()));
    for peer in &settings.controls {
        if *peer != listen {
            tokio::spawn(soft_state_sync::send_digests(
                *peer,
                state.clone(),
                root.token(),
            ));
        }
    }
    Ok(())
}

/// Stops the daemon when its replica stops unexpectedly, for example after a disk failure.
fn watch_replica(replica: &Handle, root: &Supervisor) {
    let replica = replica.clone();
    root.start_child("replica", Restart::Never, move |token| {
        let replica = replica.clone();
        async move {
            tokio::select! {
                () = token.cancelled() => Ok(()),
                reason = replica.wait_stopped() => Err(reason),
            }
        }
    });
}

fn start_maintenance(state: &State, root: &Supervisor) {
    let state = state.clone();
    root.start_child("steps", Restart::OnFailure, move |token| {
        let state = state.clone();
        async move {
            maintenance::run(state, token).await;
            Ok(())
        }
    });
}

fn start_work_rounds(state: &State, root: &Supervisor) {
    let state = state.clone();
    root.start_child("work", Restart::OnFailure, move |token| {
        let state = state.clone();
        async move {
            routing_stream::publish_rounds(state, token).await;
            Ok(())
        }
    });
}

fn start_http(listener: StdListener, metrics: PrometheusHandle, state: &State, root: &Supervisor) {
    let (questions, asked) = mpsc::channel(MAX_QUEUED_QUESTIONS);
    ntex::rt::spawn(answer_questions(asked, state.clone()));
    http::start(root, Restart::Never, listener, metrics, questions);
}

/// Answers questions about the process until all senders are dropped.
async fn answer_questions(mut asked: mpsc::Receiver<StateQuery>, state: State) {
    while let Some(question) = asked.recv().await {
        // Send errors are ignored: the asker has stopped waiting.
        match question {
            StateQuery::Dump(answer) => drop(answer.send(dump::own_state(&state))),
            StateQuery::Health(answer) => drop(answer.send(health(&state))),
            StateQuery::Place(_, answer) => drop(answer.send(Err(PlaceFault::Unsupported))),
        }
    }
}

fn health(state: &State) -> Result<(), String> {
    if state.knows_leader() {
        return Ok(());
    }
    Err("this control VM knows no leader: the quorum of control VMs may be lost".to_owned())
}
