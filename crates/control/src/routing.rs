//! The streams over which entry VMs learn the routing plan and the upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use delivery::{server::Stream, stream};
use displaydoc::Display;
use model::{
    config::{Config, DomainState},
    name::Name,
    routing::{ALIVE_MS, Agreed, SILENCE_MS, ToControl, ToEntry},
};
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::{sleep, timeout},
};

use crate::state::State;

/// Time in which changes are gathered before entry VMs are told.
const GATHER: Duration = Duration::from_millis(20);

/// Why a stream ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Stream(stream::Error),
    /// it said nothing for 2.5 s
    Silent,
    /// it did not greet first
    NoHello,
    /// this control VM stops
    Stops,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// What one entry VM has been told.
#[derive(Debug, Default)]
struct Told {
    revision: u64,
    agreed: Agreed,
}

/// Serves the stream of an entry VM until it ends.
pub async fn serve(mut stream: Stream, state: State) {
    let token = stream.token.clone();
    let peer = stream.peer;
    let mut vm = Arc::from("unknown");
    let end = tokio::select! {
        () = token.cancelled() => return,
        end = exchange(&mut stream, &state, &mut vm) => end,
    };
    let Err(end) = end;
    log::info!(target: "routing", "event=entry-lost vm={vm} peer={peer} reason=\"{end}\"");
    stream.sender.close();
}

/// Never returns but with the reason for the end.
async fn exchange(
    stream: &mut Stream,
    state: &State,
    vm: &mut Arc<str>,
) -> Result<std::convert::Infallible, End> {
    let first = timeout(silence(), stream.receiver.receive()).await;
    let ToControl::Hello { vm: name } = first.map_err(|_| End::Silent)?? else {
        return Err(End::NoHello);
    };
    *vm = name;
    let mut told = Told::default();
    let mut revisions = state.revisions();
    let mut config = state.replica.watch();
    let mut status = state.replica.watch_status();
    let mut doubts = state.doubts();
    let recalled = state.soft().heard.recalled();
    if !recalled.is_empty() {
        stream.sender.send(&ToEntry::Recalled(recalled)).await?;
    }
    tell(stream, state, &mut told).await?;
    stream.sender.send(&ToEntry::Complete).await?;
    log::info!(
        target: "routing",
        "event=entry-gained vm={vm} peer={} revision={} index={}",
        stream.peer, told.revision, told.agreed.index
    );
    let mut heard_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = stream.receiver.receive() => {
                heard_at = tokio::time::Instant::now();
                take(stream, state, received?).await?;
            }
            doubted = doubts.recv() => {
                sleep(GATHER).await;
                tell_doubted(stream, doubted, &mut doubts).await?;
                continue;
            }
            changed = revisions.changed() => changed.map_err(|_| End::Stops)?,
            changed = config.changed() => changed.map_err(|_| End::Stops)?,
            changed = status.changed() => changed.map_err(|_| End::Stops)?,
            () = sleep(Duration::from_millis(ALIVE_MS)) => {
                if heard_at.elapsed() > silence() {
                    return Err(End::Silent);
                }
                stream.sender.send(&ToEntry::Alive).await?;
                continue;
            }
        }
        sleep(GATHER).await;
        config.borrow_and_update();
        status.borrow_and_update();
        revisions.borrow_and_update();
        tell(stream, state, &mut told).await?;
    }
}

fn silence() -> Duration {
    Duration::from_millis(SILENCE_MS)
}

async fn take(stream: &mut Stream, state: &State, message: ToControl) -> Result<(), End> {
    match message {
        ToControl::Want { version } => {
            let plan = state.replica.latest().plan.clone();
            // One that is older than what was told can't be: the entry VM asks another.
            if let Some(plan) = plan.filter(|plan| plan.version >= version) {
                let plan = Arc::new(plan.without_text());
                stream.sender.send(&ToEntry::Plan(plan)).await?;
            }
        }
        ToControl::Down { id } => {
            let is_told = state.doubt(id);
            log::info!(
                target: "routing",
                "event=found-down upstream={id:x} peer={} told={is_told}", stream.peer
            );
        }
        ToControl::Hello { .. } | ToControl::Alive => {}
    }
    Ok(())
}

/// Tells what has changed since the last time.
async fn tell(stream: &mut Stream, state: &State, told: &mut Told) -> Result<(), End> {
    // Without a leader, what is agreed may be out of date.
    if state.is_in_touch() {
        let agreed = agreed(&state.replica.latest(), state.controls());
        if agreed != told.agreed && agreed.index >= told.agreed.index {
            stream.sender.send(&ToEntry::Agreed(agreed.clone())).await?;
            told.agreed = agreed;
        }
    }
    let (news, revision) = state.soft().heard.news(state.now_ms(), told.revision);
    told.revision = revision;
    if !news.announced.is_empty() {
        let announced = ToEntry::Announced(news.announced);
        stream.sender.send(&announced).await?;
    }
    if !news.silent.is_empty() {
        stream.sender.send(&ToEntry::Silent(news.silent)).await?;
    }
    Ok(())
}

/// Tells of the upstreams that entry VMs have found down lately.
async fn tell_doubted(
    stream: &mut Stream,
    first: Result<u64, RecvError>,
    doubts: &mut Receiver<u64>,
) -> Result<(), End> {
    // Where this stream has lagged behind, its entry VM finds the missed ones by itself.
    let mut ids: Vec<u64> = first.into_iter().collect();
    while let Ok(id) = doubts.try_recv() {
        ids.push(id);
    }
    if !ids.is_empty() {
        stream.sender.send(&ToEntry::Doubted(ids)).await?;
    }
    Ok(())
}

fn agreed(config: &Config, controls: Vec<SocketAddr>) -> Agreed {
    let out = config.domains.iter();
    let out = out.filter(|(_, domain)| domain.state == DomainState::Out);
    Agreed {
        index: config.index,
        plan: config.plan.as_ref().map(|plan| plan.version),
        out: out.map(|(name, _)| Name::clone(name)).collect(),
        controls,
    }
}
