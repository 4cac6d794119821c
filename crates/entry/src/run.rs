//! Starts and stops the tasks of `oriole-entry`.

use std::{
    net::TcpListener,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use clap::Command;
use daemon::{
    http::{self, PlaceFault, StateQuery},
    supervisor::{Restart, Supervisor},
};
use displaydoc::Display;
use log::{info, warn};
use model::{announce::Announcement, delivery::ToControl};
use policy::{
    io::{Event, TICK_MS},
    node,
};
use settings::entry::Settings;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{
    announce, control,
    engine::Engine,
    sockets::{self, Addresses},
};

/// Highest number of messages that wait for the control stream.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Highest number of announcements, and of state queries, that wait for the engine.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// Time without a packet or request from the fabric after which a graceful stop is complete, in
/// milliseconds.
const IDLE_MS: u64 = 500;

/// Longest graceful stop.
const MAX_STOP_TIME: Duration = Duration::from_secs(10);

/// A failure that stops the daemon.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Socket(sockets::Error),
    /// {0}
    Http(http::Error),
    /// can't listen for gRPC: {0}; set another `rpc_listen` address
    Rpc(std::io::Error),
    /// {0}
    Task(String),
}

impl std::error::Error for Error {}

/// Returns the command line of `oriole-entry`.
#[must_use]
pub fn command() -> Command {
    daemon::args::command(
        "oriole-entry",
        "Receives packets and requests from the fabric and forwards them to upstreams.",
    )
}

/// Runs the entry VM until `token` is cancelled, then stops gracefully.
///
/// # Errors
///
/// Fails when an address can't be listened at, or when a task fails and is not restarted.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let (receive_sockets, send_sockets) = sockets::bind(Addresses {
        fabric: settings.fabric_listen,
        requests: settings.request_listen,
        peers: settings.peer_listen,
    })
    .map_err(Error::Socket)?;
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let listener = http::listen(settings.http_listen).map_err(Error::Http)?;
    let (to_control, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let engine = Engine::new(
        node_settings(&settings),
        settings.http_listen,
        send_sockets,
        to_control.clone(),
    );

    // The tasks have a token of their own, because they serve until the graceful stop is complete.
    let tasks = CancellationToken::new();
    let supervisor = Supervisor::new("entry", tasks.clone());
    start_sockets(&supervisor, receive_sockets, &engine);
    start_ticks(&supervisor, &engine);
    start_control(
        &supervisor,
        &settings,
        &engine,
        to_control.clone(),
        outgoing,
    );
    start_http(&supervisor, listener, &engine, metrics);
    let rpc = start_rpc(&supervisor, &settings, &engine).map_err(Error::Rpc)?;
    info!(target: "entry", "{} of failure domain {} is running", settings.name, settings.domain);

    let outcome = tokio::select! {
        () = token.cancelled() => Ok(()),
        outcome = supervisor.wait() => outcome,
    };
    if outcome.is_ok() {
        stop_gracefully(&engine, &to_control).await;
    }
    tasks.cancel();
    rpc.stop(false).await;
    outcome.map_err(Error::Task)
}

fn node_settings(settings: &Settings) -> node::Settings {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    // The incarnation grows with each start unless the clock was set back by more than the
    // downtime. If other VMs remember a larger incarnation, the membership protocol corrects them.
    let incarnation = since_epoch.map_or(1, |d| u64::try_from(d.as_millis()).unwrap_or(1));
    node::Settings {
        seeds: settings.peers.clone(),
        incarnation,
        seed: settings.seed.unwrap_or(incarnation),
        ..node::Settings::new(
            settings.name.clone(),
            settings.domain.clone(),
            settings.peer_listen,
        )
    }
}

fn start_sockets(
    supervisor: &Supervisor,
    receive_sockets: sockets::ReceiveSockets,
    engine: &Engine,
) {
    for (kind, socket) in receive_sockets.sockets {
        let socket = Rc::new(socket);
        let engine = engine.clone();
        supervisor.start_child("socket", Restart::OnFailure, move |token| {
            let (socket, engine) = (socket.clone(), engine.clone());
            async move {
                let read = sockets::read(kind, &socket, &engine, token).await;
                read.map_err(|e| e.to_string())
            }
        });
    }
}

fn start_ticks(supervisor: &Supervisor, engine: &Engine) {
    let engine = engine.clone();
    supervisor.start_child("ticks", Restart::Never, move |token| {
        let engine = engine.clone();
        async move {
            let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    _ = interval.tick() => engine.handle(Event::Tick),
                }
            }
        }
    });
}

fn start_control(
    supervisor: &Supervisor,
    settings: &Settings,
    engine: &Engine,
    to_control: mpsc::Sender<ToControl>,
    outgoing: mpsc::Receiver<ToControl>,
) {
    let (arrived, incoming) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let hello = engine.clone();
    let stream = delivery::client::Settings::new(settings.controls.clone(), move || hello.hello());
    let token = supervisor.token();
    ntex::rt::spawn(async move {
        delivery::client::run(stream, outgoing, arrived, token).await;
    });
    let listener = engine.clone();
    ntex::rt::spawn(async move { control::handle_messages(&listener, incoming).await });
    let engine = engine.clone();
    supervisor.start_child("heartbeats", Restart::OnFailure, move |token| {
        let (engine, to_control) = (engine.clone(), to_control.clone());
        async move {
            control::send_heartbeats(&engine, to_control, token).await;
            Ok(())
        }
    });
}

fn start_http(
    supervisor: &Supervisor,
    listener: TcpListener,
    engine: &Engine,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) {
    let (query_sender, mut queries) = mpsc::channel(MAX_QUEUED_EVENTS);
    http::start(
        supervisor,
        Restart::OnFailure,
        listener,
        metrics,
        query_sender,
    );
    let engine = engine.clone();
    ntex::rt::spawn(async move {
        while let Some(query) = queries.recv().await {
            answer_query(&engine, query);
        }
    });
}

fn answer_query(engine: &Engine, query: StateQuery) {
    // Sending fails if the HTTP request was dropped meanwhile; no answer is needed then.
    match query {
        StateQuery::Dump(answer) => drop(answer.send(engine.dump())),
        StateQuery::Health(answer) => drop(answer.send(engine.health())),
        StateQuery::Place(_, answer) => drop(answer.send(Err(PlaceFault::Unsupported))),
    }
}

fn start_rpc(
    supervisor: &Supervisor,
    settings: &Settings,
    engine: &Engine,
) -> std::io::Result<ntex::server::Server> {
    let (announcements, mut received) = mpsc::channel::<Announcement>(MAX_QUEUED_EVENTS);
    let server = rpc::server::start("upstreams", settings.rpc_listen, move || {
        announce::service_factory(announcements.clone())
    })?;
    let engine = engine.clone();
    let token = supervisor.token();
    ntex::rt::spawn(async move {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(announcement) = received.recv() => {
                    engine.handle(Event::Announce(announcement));
                }
            }
        }
    });
    Ok(server)
}

/// Hands over state, finishes the work in flight, and keeps forwarding until the fabric sends
/// nothing for [`IDLE_MS`]. Stops after [`MAX_STOP_TIME`] even if work is left.
async fn stop_gracefully(engine: &Engine, to_control: &mpsc::Sender<ToControl>) {
    engine.stop();
    let finished = async {
        while !engine.is_finished(IDLE_MS) {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    if tokio::time::timeout(MAX_STOP_TIME, finished).await.is_err() {
        warn!(target: "entry", "graceful stop took over {MAX_STOP_TIME:?}: exits with work left");
    }
    engine.notify_exit();
    drop(to_control.try_send(ToControl::Leave));
    // Gives the stream's task time to send the message before the task is cancelled.
    tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
}
