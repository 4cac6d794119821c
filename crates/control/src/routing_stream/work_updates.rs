//! Sends entry VMs the flows and work at upstreams, round by round.

use std::time::Duration;

use delivery::server::Stream;
use model::{
    routing::ToEntry,
    work::{self, Summary},
};
use tokio_util::sync::CancellationToken;

use super::{End, Listener, SentState};
use crate::{
    state::State,
    work_table::{self, Round},
};

/// Sends all known work, as a new state that replaces what the entry VM knows.
pub(super) async fn send_all_work(
    stream: &mut Stream,
    listener: &Listener,
    sent: &mut SentState,
) -> Result<(), End> {
    let now_ms = listener.state.now_ms();
    let (entries, reporters) = {
        let mut soft = listener.state.soft_state();
        let (entries, round) = soft.work.full_state(now_ms, &listener.reporter.domain);
        sent.work_round = round;
        (entries, soft.work.reporters())
    };
    let reporters = u32::try_from(reporters).unwrap_or(u32::MAX);
    sent.work_sequence = 0;
    // The first message is sent even without entries, because it replaces the state.
    let mut chunks = entries.chunks(work::MAX_ENTRIES);
    let first = chunks.next().unwrap_or_default();
    for chunk in std::iter::once(first).chain(chunks) {
        send_summary(stream, reporters, chunk, sent).await?;
    }
    Ok(())
}

/// Sends the changes of a round of the work table, unless the entry VM knows them.
pub(super) async fn send_work(
    stream: &mut Stream,
    listener: &Listener,
    round: &Round,
    sent: &mut SentState,
) -> Result<(), End> {
    if round.number <= sent.work_round {
        return Ok(());
    }
    sent.work_round = round.number;
    let changes = round.changes.get(&listener.reporter.domain);
    let entries = changes.map_or(&[][..], |entries| entries);
    send_summary(stream, round.reporters, entries, sent).await
}

async fn send_summary(
    stream: &mut Stream,
    reporters: u32,
    entries: &[work::Entry],
    sent: &mut SentState,
) -> Result<(), End> {
    sent.work_sequence += 1;
    let summary = Summary {
        sequence: sent.work_sequence,
        reporters,
        entries: entries.to_vec(),
    };
    stream.sender.send(&ToEntry::Work(summary)).await?;
    Ok(())
}

/// Publishes a round of the work table each second until `token` is cancelled, and logs refusals.
pub async fn publish_rounds(state: State, token: CancellationToken) {
    let mut interval = tokio::time::interval(Duration::from_millis(work_table::ROUND_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = interval.tick() => {}
        }
        let round = state.publish_work();
        metrics::gauge!("oriole_work_reporters").set(round.reporters);
        metrics::gauge!("oriole_work_upstreams")
            .set(u32::try_from(round.upstreams).unwrap_or(u32::MAX));
        metrics::counter!("oriole_work_refused_total").increment(round.refused as u64);
        metrics::counter!("oriole_work_reporters_expired_total").increment(round.expired as u64);
        if let Some((vm, fault)) = &round.fault {
            log::warn!(
                target: "routing",
                "event=work-refused entries={} vm={vm} reason=\"{fault}\"", round.refused
            );
        }
        if round.expired > 0 {
            log::info!(target: "routing", "event=work-expired reporters={}", round.expired);
        }
    }
}
