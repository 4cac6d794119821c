//! Serves the configuration stream of an entry VM.

use std::time::Duration;

use delivery::{
    delta::{History, Update},
    server::Stream,
    stream,
};
use displaydoc::Display;
use model::{
    delivery::{Hello, LEASE_MS, ToControl},
    name::Name,
};
use tokio::{sync::watch, time::timeout};

use crate::state::State;

/// Maximum time until the hello of an entry VM, and between two of its messages.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(LEASE_MS);

/// Reason why a stream ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Stream(stream::Error),
    /// the entry VM sent nothing for a lease of 2.5 s
    Silent,
    /// the first message was not a hello
    NoHello,
    /// the entry VM belongs to cluster {0:x}: check `controls` in its settings
    WrongCluster(u64),
    /// this control VM knows no leader
    NoLeader,
    /// the entry VM stops
    Leave,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// Serves the stream until it ends.
pub async fn serve(mut stream: Stream, state: State) {
    let peer = stream.peer;
    let token = stream.token.clone();
    let mut vm = None;
    let end = tokio::select! {
        () = token.cancelled() => return,
        end = run_stream(&mut stream, &state, &mut vm) => end,
    };
    let Err(end) = end;
    let name = vm.map_or_else(|| peer.to_string(), |vm| vm.to_string());
    match end {
        End::Leave => log::info!(target: "delivery", "entry VM {name} left: its process stops"),
        end => {
            log::info!(target: "delivery", "configuration stream of entry VM {name} ended: {end}")
        }
    }
    stream.sender.close();
}

/// Runs the stream; returns only the reason for its end.
async fn run_stream(
    stream: &mut Stream,
    state: &State,
    vm: &mut Option<Name>,
) -> Result<std::convert::Infallible, End> {
    let hello = receive_hello(stream, state).await?;
    log::info!(
        target: "delivery",
        "entry VM {} in failure domain {} opened its configuration stream at index {}", hello.vm, hello.domain, hello.index
    );
    *vm = Some(hello.vm.clone());
    let mut delivered = state.delivered.clone();
    let mut index = hello.index;
    send_updates(stream, state, &mut delivered, &mut index).await?;
    loop {
        tokio::select! {
            received = timeout(MESSAGE_TIMEOUT, stream.receiver.receive()) => {
                let message: ToControl = received.map_err(|_| End::Silent)??;
                if message == ToControl::Whole {
                    index = 0;
                } else {
                    handle_message(state, &hello.vm, message)?;
                }
                send_updates(stream, state, &mut delivered, &mut index).await?;
            }
            changed = delivered.changed() => {
                changed.map_err(|_| End::NoLeader)?;
                send_updates(stream, state, &mut delivered, &mut index).await?;
            }
        }
    }
}

async fn receive_hello(stream: &mut Stream, state: &State) -> Result<Hello, End> {
    let first = timeout(MESSAGE_TIMEOUT, stream.receiver.receive()).await;
    let ToControl::Hello(hello) = first.map_err(|_| End::Silent)?? else {
        return Err(End::NoHello);
    };
    let cluster = state.delivered.borrow().newest().cluster;
    if hello.cluster != 0 && cluster != 0 && hello.cluster != cluster {
        metrics::counter!("oriole_delivery_wrong_cluster_total").increment(1);
        stream.sender.send(&Update::TryOther).await?;
        return Err(End::WrongCluster(hello.cluster));
    }
    let now_ms = state.now_ms();
    state.soft_state().vms.record_hello(now_ms, &hello);
    state.changed.notify_one();
    Ok(hello)
}

fn handle_message(state: &State, vm: &Name, message: ToControl) -> Result<(), End> {
    let now_ms = state.now_ms();
    let mut soft = state.soft_state();
    match message {
        ToControl::Hello(hello) => soft.vms.record_hello(now_ms, &hello),
        ToControl::Heartbeat(beat) => soft.vms.record_heartbeat(now_ms, vm, beat),
        ToControl::Announced(announcement) => soft.upstreams.record(now_ms, announcement),
        ToControl::Whole => {}
        ToControl::Leave => {
            soft.vms.record_leave(now_ms, vm);
            return Err(End::Leave);
        }
    }
    drop(soft);
    state.changed.notify_one();
    Ok(())
}

/// Sends the updates since `index`, or a confirmation that nothing is newer.
///
/// A control VM that knows no leader may have an outdated configuration and can't confirm that
/// nothing is newer, so it tells the entry VM to try another control VM.
async fn send_updates(
    stream: &mut Stream,
    state: &State,
    delivered: &mut watch::Receiver<History>,
    index: &mut u64,
) -> Result<(), End> {
    let history = delivered.borrow_and_update().clone();
    if !state.knows_leader() {
        stream.sender.send(&Update::TryOther).await?;
        return Err(End::NoLeader);
    }
    for update in updates_since(&history, *index) {
        stream.sender.send(&update).await?;
    }
    *index = history.newest().index.max(*index);
    Ok(())
}

/// Returns the updates for an entry VM at `index`.
fn updates_since(history: &History, index: u64) -> Vec<Update> {
    let newest = history.newest();
    if newest.index <= index {
        let index = newest.index;
        return vec![Update::Current { index }];
    }
    if let Some(deltas) = history.since(index).filter(|_| index > 0) {
        metrics::counter!("oriole_delivery_deltas_sent_total").increment(deltas.len() as u64);
        return deltas.iter().cloned().map(Update::Delta).collect();
    }
    metrics::counter!("oriole_delivery_configs_sent_total").increment(1);
    vec![Update::Whole(newest.clone())]
}
