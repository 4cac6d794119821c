//! Removes expired soft state, and on the leader proposes the commands that are due.

use std::time::Duration;

use model::config::Refusal;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{generations::GenerationPlanner, replica, state::State};

/// Minimum time between two runs.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time between two runs, since leases expire without any message.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until `token` is cancelled. Only the leader proposes commands, but every replica runs the
/// planner, so that a new leader knows when each stage was first observed.
pub async fn run(state: State, token: CancellationToken) {
    let mut planner = GenerationPlanner::default();
    let mut config = state.replica.watch_config();
    loop {
        run_once(&state, &mut planner).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(MIN_INTERVAL) => {}
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = state.changed.notified() => {}
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep(MAX_INTERVAL) => {}
        }
    }
}

async fn run_once(state: &State, planner: &mut GenerationPlanner) {
    let now_ms = state.now_ms();
    let knows_leader = state.knows_leader();
    let config = state.replica.applied_config();
    let due = {
        let mut soft = state.soft_state();
        if knows_leader {
            soft.last_leader_ms = Some(now_ms);
        }
        soft.vms.remove_expired(now_ms);
        soft.upstreams.remove_expired(now_ms);
        planner.due_commands(now_ms, &config, &soft.vms)
    };
    let silent =
        state.update_announcements(|announcements, now_ms| announcements.expire_silent(now_ms));
    let announced = state.soft_state().announcements.active().count();
    let announced = u32::try_from(announced).unwrap_or(u32::MAX);
    metrics::gauge!("oriole_upstreams_announced").set(announced);
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
                Ok(()) => log::info!(target: "steps", "{what}: applied at index {}", applied.index),
                Err(Refusal::Stale) => {
                    log::debug!(target: "steps", "{what}: not applied: the configuration has changed since it was planned")
                }
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
