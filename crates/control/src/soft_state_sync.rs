//! Control VMs tell each other which entry VMs and upstreams they hear of.
//!
//! Each control VM opens one stream to each other and sends what it heard itself since the last
//! message; the other side acknowledges, so that a broken stream shows.

use std::{net::SocketAddr, time::Duration};

use delivery::{
    CONTROL_PATH,
    backoff::{Backoff, random_seed},
    dial,
    server::Stream,
    stream,
};
use displaydoc::Display;
use model::name::Name;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::{candidates, lease, state::State};

/// Time between two messages, in milliseconds.
pub const DIGEST_INTERVAL_MS: u64 = 200;

/// Time that an acknowledgement may take.
const ACK_WAIT: Duration = Duration::from_secs(1);

/// Longest wait before a new try after a stream was lost.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Time without a message after which the receiving side ends a stream.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// What one control VM heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the control VM that speaks.
    pub from: Name,
    /// Entry VMs that it heard since its last message; all that it knows in the first one.
    pub vms: Vec<lease::EntryVmRecord>,
    /// Upstreams, likewise.
    pub upstreams: Vec<candidates::AnnouncementRecord>,
}

/// The digest has been taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack;

/// Why a stream ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Dial(dial::Error),
    /// {0}
    Stream(stream::Error),
    /// no acknowledgement within 1 s
    NoAck,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// Tells the control VM at `peer` what this one hears, until `token` is cancelled.
pub async fn send_digests(peer: SocketAddr, state: State, token: CancellationToken) {
    let mut was_connected = true;
    let mut backoff = Backoff::new(RETRY_WAIT, RETRY_WAIT, random_seed());
    loop {
        let ended = tokio::select! {
            () = token.cancelled() => return,
            ended = run_connection(peer, &state, &mut was_connected) => ended,
        };
        let Err(error) = ended;
        // Only the first of a row of failures is news.
        if was_connected {
            log::warn!(target: "exchange", "control VM {peer} hears nothing from here: {error}");
            was_connected = false;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(backoff.wait(0)) => {}
        }
    }
}

async fn run_connection(
    peer: SocketAddr,
    state: &State,
    was_connected: &mut bool,
) -> Result<std::convert::Infallible, End> {
    let mut stream = dial::open(peer, CONTROL_PATH).await.map_err(End::Dial)?;
    let mut since_ms = 0;
    loop {
        let (digest, now_ms) = build_digest(state, since_ms);
        stream.sender.send(&digest).await?;
        let ack = timeout(ACK_WAIT, stream.receiver.receive()).await;
        let Ack = ack.map_err(|_| End::NoAck)??;
        since_ms = now_ms;
        if !*was_connected {
            log::info!(target: "exchange", "control VM {peer} hears from here again");
            *was_connected = true;
        }
        sleep(Duration::from_millis(DIGEST_INTERVAL_MS)).await;
    }
}

fn build_digest(state: &State, since_ms: u64) -> (Digest, u64) {
    let now_ms = state.now_ms();
    let soft = state.soft_state();
    let digest = Digest {
        from: state.name.clone(),
        vms: soft.vms.digest(now_ms, since_ms),
        upstreams: soft.upstreams.digest(now_ms, since_ms),
    };
    (digest, now_ms)
}

/// Takes what another control VM tells, until its stream ends.
pub async fn receive_digests(mut stream: Stream, state: State) {
    let token = stream.token.clone();
    let end = tokio::select! {
        () = token.cancelled() => return,
        end = receive_until_end(&mut stream, &state) => end,
    };
    if let Err(error) = end {
        log::debug!(target: "exchange", "stream of control VM {} ended: {error}", stream.peer);
    }
}

async fn receive_until_end(stream: &mut Stream, state: &State) -> Result<(), stream::Error> {
    while let Ok(digest) = timeout(RECEIVE_TIMEOUT, stream.receiver.receive()).await {
        let digest: Digest = digest?;
        // A VM that lists its own address talks to itself, which tells it nothing new.
        if digest.from != state.name {
            let now_ms = state.now_ms();
            let mut soft = state.soft_state();
            soft.vms.merge_digest(now_ms, &digest.from, digest.vms);
            soft.upstreams.merge_digest(now_ms, digest.upstreams);
            drop(soft);
            state.changed.notify_one();
        }
        stream.sender.send(&Ack).await?;
    }
    Ok(())
}
