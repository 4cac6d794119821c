//! Keeps the stream to a control VM: beats go out, configurations come in.

use std::time::Duration;

use model::delivery::{HEARTBEAT_INTERVAL_MS, ToControl, ToEntry};
use policy::io::Event;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::engine::Engine;

/// Sends a beat every [`HEARTBEAT_INTERVAL_MS`] until the token is cancelled.
pub async fn beat(engine: &Engine, outgoing: mpsc::Sender<ToControl>, token: CancellationToken) {
    let mut interval = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = interval.tick() => {}
        }
        // A full queue means that the stream is down; the next beat says the same.
        drop(outgoing.try_send(ToControl::Heartbeat(engine.beat())));
    }
}

/// Hands what control VMs say to the engine until the stream's task ends.
pub async fn listen(engine: &Engine, mut incoming: mpsc::Receiver<ToEntry>) {
    while let Some(message) = incoming.recv().await {
        match message {
            ToEntry::Config(config) => engine.handle(Event::Config(config)),
            ToEntry::Current { index } if index <= engine.hello().index => {
                engine.handle(Event::ControlCurrent);
            }
            ToEntry::Current { .. } | ToEntry::TryOther => {}
        }
    }
}
