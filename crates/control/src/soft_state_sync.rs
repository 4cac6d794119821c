//! Exchanges soft state between control VMs: the entry VMs and upstreams that each of them hears
//! directly.
//!
//! Each control VM opens one stream to each other control VM and sends what it heard directly since
//! its last message. The receiver acknowledges each message, so that the sender notices a broken
//! stream.

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

/// Interval between two digests, in milliseconds.
pub const DIGEST_INTERVAL_MS: u64 = 200;

/// Maximum time to wait for an acknowledgement.
const ACK_WAIT: Duration = Duration::from_secs(1);

/// Maximum wait before reconnecting.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Time without a digest after which the receiver ends the stream.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Soft state that one control VM heard directly.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the sending control VM.
    pub from: Name,
    /// Entry VMs heard since the last digest; the first digest of a stream contains all.
    pub vms: Vec<lease::EntryVmRecord>,
    /// Upstreams heard since the last digest; the first digest of a stream contains all.
    pub upstreams: Vec<candidates::AnnouncementRecord>,
}

/// Acknowledges a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack;

/// Reason why a stream ended.
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

/// Sends digests to the control VM at `peer` until `token` is cancelled, and reconnects after
/// errors.
pub async fn send_digests(peer: SocketAddr, state: State, token: CancellationToken) {
    let mut was_connected = true;
    let mut backoff = Backoff::new(RETRY_WAIT, RETRY_WAIT, random_seed());
    loop {
        let ended = tokio::select! {
            () = token.cancelled() => return,
            ended = run_connection(peer, &state, &mut was_connected) => ended,
        };
        let Err(error) = ended;
        // Only the first of several consecutive failures is logged.
        if was_connected {
            log::warn!(target: "exchange", "can't send soft state to control VM {peer}: {error}; retrying");
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
            log::info!(target: "exchange", "sending soft state to control VM {peer} works again");
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

/// Merges the digests of another control VM until the stream ends.
pub async fn receive_digests(mut stream: Stream, state: State) {
    let token = stream.token.clone();
    let end = tokio::select! {
        () = token.cancelled() => return,
        end = receive_until_end(&mut stream, &state) => end,
    };
    if let Err(error) = end {
        log::debug!(target: "exchange", "soft-state stream of control VM {} ended: {error}", stream.peer);
    }
}

async fn receive_until_end(stream: &mut Stream, state: &State) -> Result<(), stream::Error> {
    while let Ok(digest) = timeout(RECEIVE_TIMEOUT, stream.receiver.receive()).await {
        let digest: Digest = digest?;
        // A control VM whose own address is in its list receives its own digests, which contain
        // nothing new.
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
