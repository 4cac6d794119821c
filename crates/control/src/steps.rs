//! Proposes the leader's own steps when they are due.

use std::time::Duration;

use model::config::Refusal;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{replica, state::State, step::Stepper};

/// Shortest time between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest time between two looks; leases run out without any message.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Runs until `token` is cancelled. Only the leader proposes, but every replica looks, so that a
/// new leader knows what it has seen.
pub async fn run(state: State, token: CancellationToken) {
    let mut stepper = Stepper::default();
    let mut config = state.replica.watch();
    loop {
        look(&state, &mut stepper).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(PAUSE) => {}
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = state.changed.notified() => {}
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep(LOOK_EVERY) => {}
        }
    }
}

async fn look(state: &State, stepper: &mut Stepper) {
    let now_ms = state.now_ms();
    let is_in_touch = state.is_in_touch();
    let config = state.replica.latest();
    let due = {
        let mut soft = state.soft();
        if is_in_touch {
            soft.in_touch_ms = Some(now_ms);
        }
        soft.vms.forget(now_ms);
        soft.upstreams.expire(now_ms);
        stepper.commands(now_ms, &config, &soft.vms)
    };
    let silent = state.hear(|heard, now_ms| heard.expire(now_ms));
    if silent > 0 {
        log::info!(target: "steps", "event=upstreams-silent count={silent}");
    }
    if !state.replica.status().is_leader {
        return;
    }
    for entry in due {
        let what = entry.request.clone();
        match state.replica.propose(entry).await {
            Ok(applied) => match applied.outcome {
                Ok(()) => log::info!(target: "steps", "{what}: done at index {}", applied.index),
                Err(Refusal::Stale) => log::debug!(target: "steps", "{what}: out of date"),
                Err(refusal) => log::warn!(target: "steps", "{what}: refused: {refusal}"),
            },
            Err(replica::Error::NoLeader) => return,
            Err(error) => {
                log::warn!(target: "steps", "{what}: {error}");
                return;
            }
        }
    }
}
