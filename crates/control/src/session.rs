//! The stream of one entry VM.

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

/// Time that an entry VM gets to greet, and later between two messages.
const SILENCE: Duration = Duration::from_millis(LEASE_MS);

/// Why a session ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Stream(stream::Error),
    /// it said nothing for a lease
    Silent,
    /// it did not greet first
    NoHello,
    /// it belongs to cluster {0:x}: check `controls` in its settings
    Cluster(u64),
    /// this control VM knows no leader
    OutOfTouch,
    /// it stops on purpose
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
        end = exchange(&mut stream, &state, &mut vm) => end,
    };
    let Err(end) = end;
    let name = vm.map_or_else(|| peer.to_string(), |vm| vm.to_string());
    match end {
        End::Leave => log::info!(target: "delivery", "entry VM {name} stops on purpose"),
        end => log::info!(target: "delivery", "stream of entry VM {name} ended: {end}"),
    }
    stream.sender.close();
}

/// Never returns but with the reason for the end.
async fn exchange(
    stream: &mut Stream,
    state: &State,
    vm: &mut Option<Name>,
) -> Result<std::convert::Infallible, End> {
    let hello = greet(stream, state).await?;
    log::info!(
        target: "delivery",
        "entry VM {} of {} opens its stream at index {}", hello.vm, hello.domain, hello.index
    );
    *vm = Some(hello.vm.clone());
    let mut delivered = state.delivered.clone();
    let mut index = hello.index;
    answer(stream, state, &mut delivered, &mut index).await?;
    loop {
        tokio::select! {
            received = timeout(SILENCE, stream.receiver.receive()) => {
                let message: ToControl = received.map_err(|_| End::Silent)??;
                if message == ToControl::Whole {
                    index = 0;
                } else {
                    take(state, &hello.vm, message)?;
                }
                answer(stream, state, &mut delivered, &mut index).await?;
            }
            changed = delivered.changed() => {
                changed.map_err(|_| End::OutOfTouch)?;
                answer(stream, state, &mut delivered, &mut index).await?;
            }
        }
    }
}

async fn greet(stream: &mut Stream, state: &State) -> Result<Hello, End> {
    let first = timeout(SILENCE, stream.receiver.receive()).await;
    let ToControl::Hello(hello) = first.map_err(|_| End::Silent)?? else {
        return Err(End::NoHello);
    };
    let cluster = state.delivered.borrow().newest().cluster;
    if hello.cluster != 0 && cluster != 0 && hello.cluster != cluster {
        metrics::counter!("oriole_delivery_wrong_cluster_total").increment(1);
        stream.sender.send(&Update::TryOther).await?;
        return Err(End::Cluster(hello.cluster));
    }
    let now_ms = state.now_ms();
    state.soft().vms.hello(now_ms, &hello);
    state.changed.notify_one();
    Ok(hello)
}

fn take(state: &State, vm: &Name, message: ToControl) -> Result<(), End> {
    let now_ms = state.now_ms();
    let mut soft = state.soft();
    match message {
        ToControl::Hello(hello) => soft.vms.hello(now_ms, &hello),
        ToControl::Heartbeat(beat) => soft.vms.beat(now_ms, vm, beat),
        ToControl::Announced(announcement) => soft.upstreams.put(now_ms, announcement),
        ToControl::Whole => {}
        ToControl::Leave => {
            soft.vms.goodbye(now_ms, vm);
            return Err(End::Leave);
        }
    }
    drop(soft);
    state.changed.notify_one();
    Ok(())
}

/// Sends what is newer than `index`, or says that nothing is.
///
/// A control VM that knows no leader sends the entry VM away: its word that nothing is newer
/// would be worth nothing.
async fn answer(
    stream: &mut Stream,
    state: &State,
    delivered: &mut watch::Receiver<History>,
    index: &mut u64,
) -> Result<(), End> {
    let history = delivered.borrow_and_update().clone();
    if !state.is_in_touch() {
        stream.sender.send(&Update::TryOther).await?;
        return Err(End::OutOfTouch);
    }
    for update in updates(&history, *index) {
        stream.sender.send(&update).await?;
    }
    *index = history.newest().index.max(*index);
    Ok(())
}

/// What an entry VM at `index` has to get.
fn updates(history: &History, index: u64) -> Vec<Update> {
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
