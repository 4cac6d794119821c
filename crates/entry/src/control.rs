//! Sends heartbeats to a control VM and handles the messages that the control VM sends.

use std::time::Duration;

use model::delivery::{HEARTBEAT_INTERVAL_MS, ToControl, ToEntry};
use policy::io::Event;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::engine::Engine;

/// Sends a heartbeat every [`HEARTBEAT_INTERVAL_MS`] milliseconds until `token` is cancelled.
pub async fn send_heartbeats(
    engine: &Engine,
    outgoing: mpsc::Sender<ToControl>,
    token: CancellationToken,
) {
    let mut interval = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = interval.tick() => {}
        }
        // The queue is full only while the stream is down. The heartbeat may be dropped, because
        // the next one carries the newer state.
        drop(outgoing.try_send(ToControl::Heartbeat(engine.heartbeat())));
    }
}

/// Passes the messages of control VMs to the engine until the stream's task ends.
pub async fn handle_messages(engine: &Engine, mut incoming: mpsc::Receiver<ToEntry>) {
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
