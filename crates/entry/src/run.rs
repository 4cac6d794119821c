//! The tree of tasks of `oriole-entry`.

use std::{
    net::TcpListener,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use clap::Command;
use daemon::{
    http::{self, Question},
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

/// Messages that wait for the control stream at most.
const CONTROL_QUEUE: usize = 1_024;

/// Announcements and questions that wait for the engine at most.
const ENGINE_QUEUE: usize = 1_024;

/// Time without a packet of the fabric after which a graceful stop is complete, in milliseconds.
const QUIET_MS: u64 = 500;

/// Longest graceful stop.
const MAX_STOP: Duration = Duration::from_secs(10);

/// Why the daemon stops.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Socket(sockets::Error),
    /// {0}
    Http(http::Error),
    /// gRPC can't listen: {0}; choose another `rpc_listen`
    Rpc(std::io::Error),
    /// {0}
    Task(String),
}

impl std::error::Error for Error {}

/// The command line.
#[must_use]
pub fn command() -> Command {
    daemon::args::command(
        "oriole-entry",
        "Takes packets and requests from the fabric and passes them on to upstreams.",
    )
}

/// Runs until `token` is cancelled, then stops gracefully.
///
/// # Errors
///
/// Fails when an address can't be listened at, or when a task fails for good.
pub async fn run(settings: Settings, token: CancellationToken) -> Result<(), Error> {
    let (inlets, outlets) = sockets::bind(Addresses {
        fabric: settings.fabric_listen,
        requests: settings.request_listen,
        peers: settings.peer_listen,
    })
    .map_err(Error::Socket)?;
    let metrics = http::record_metrics().map_err(Error::Http)?;
    let listener = http::listen(settings.http_listen).map_err(Error::Http)?;
    let (to_control, outgoing) = mpsc::channel(CONTROL_QUEUE);
    let engine = Engine::new(
        node_settings(&settings),
        settings.http_listen,
        outlets,
        to_control.clone(),
    );

    // Tasks outlive the request to stop: they serve until the graceful stop is complete.
    let tasks = CancellationToken::new();
    let supervisor = Supervisor::new("entry", tasks.clone());
    start_sockets(&supervisor, inlets, &engine);
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
    info!(target: "entry", "{} of domain {} serves", settings.name, settings.domain);

    let outcome = tokio::select! {
        () = token.cancelled() => Ok(()),
        outcome = supervisor.wait() => outcome,
    };
    if outcome.is_ok() {
        stop(&engine, &to_control).await;
    }
    tasks.cancel();
    rpc.stop(false).await;
    outcome.map_err(Error::Task)
}

fn node_settings(settings: &Settings) -> node::Settings {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    // Grows with each start as long as the clock isn't set back by more than the downtime; other
    // VMs' memory of a larger one is refuted by the membership protocol.
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

fn start_sockets(supervisor: &Supervisor, inlets: sockets::Inlets, engine: &Engine) {
    for (kind, socket) in inlets.sockets {
        let socket = Rc::new(socket);
        let engine = engine.clone();
        supervisor.child("socket", Restart::OnFailure, move |token| {
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
    supervisor.child("ticks", Restart::Never, move |token| {
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
    let (arrived, incoming) = mpsc::channel(CONTROL_QUEUE);
    let hello = engine.clone();
    let stream = delivery::client::Settings::new(settings.controls.clone(), move || hello.hello());
    let token = supervisor.token();
    ntex::rt::spawn(async move {
        delivery::client::run(stream, outgoing, arrived, token).await;
    });
    let listener = engine.clone();
    ntex::rt::spawn(async move { control::listen(&listener, incoming).await });
    let engine = engine.clone();
    supervisor.child("beats", Restart::OnFailure, move |token| {
        let (engine, to_control) = (engine.clone(), to_control.clone());
        async move {
            control::beat(&engine, to_control, token).await;
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
    let (questions, mut asked) = mpsc::channel(ENGINE_QUEUE);
    http::start(supervisor, Restart::OnFailure, listener, metrics, questions);
    let engine = engine.clone();
    ntex::rt::spawn(async move {
        while let Some(question) = asked.recv().await {
            answer(&engine, question);
        }
    });
}

fn answer(engine: &Engine, question: Question) {
    // Whoever asked may have gone in the meantime.
    match question {
        Question::Dump(answer) => drop(answer.send(engine.dump())),
        Question::Health(answer) => drop(answer.send(engine.health())),
    }
}

fn start_rpc(
    supervisor: &Supervisor,
    settings: &Settings,
    engine: &Engine,
) -> std::io::Result<ntex::server::Server> {
    let (taken, mut announced) = mpsc::channel::<Announcement>(ENGINE_QUEUE);
    let server = rpc::server::start("upstreams", settings.rpc_listen, move || {
        announce::factory(taken.clone())
    })?;
    let engine = engine.clone();
    let token = supervisor.token();
    ntex::rt::spawn(async move {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(announcement) = announced.recv() => {
                    engine.handle(Event::Announce(announcement));
                }
            }
        }
    });
    Ok(server)
}

/// Hands over, finishes what is under way, and forwards until the fabric has stopped.
async fn stop(engine: &Engine, to_control: &mpsc::Sender<ToControl>) {
    engine.stop();
    let finished = async {
        while !engine.is_finished(QUIET_MS) {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    if tokio::time::timeout(MAX_STOP, finished).await.is_err() {
        warn!(target: "entry", "work is left after {MAX_STOP:?}: stops all the same");
    }
    engine.end();
    drop(to_control.try_send(ToControl::Leave));
    // Lets the stream's task send the message before it is cancelled.
    tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
}
