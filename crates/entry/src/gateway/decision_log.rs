//! Counts and logs the decisions of an entry VM on packets, up to a number of lines a second.

use std::{fmt::Display, net::SocketAddr};

use daemon::logs::LineBudget;
use log::{info, warn};
use metrics::counter;
use platform::packet;
use policy::{
    time::Instant,
    token::{
        decision::{Action, Decision, Reason},
        gateway::Gateway,
        segment::{Kind, Segment},
    },
};

/// Highest number of log lines a second about ordinary decisions.
const ORDINARY_LINES_PER_SECOND: u32 = 10;

/// Highest number of log lines a second about refusals, drops and changed health states.
const RARE_LINES_PER_SECOND: u32 = 20;

/// Shortest wait of a client for its upstream that is logged, in milliseconds; clients that have
/// waited for this time send their packet again.
const LATE_ANSWER_MS: u64 = 200;

/// Counts since the metrics were last published.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    by_reason: [u64; Reason::ALL.len()],
    malformed: u64,
    unsent: u64,
}

/// The decision log: counts of decisions, and the number of lines left in this second.
#[derive(Debug)]
pub(super) struct DecisionLog {
    counts: Counts,
    ordinary: LineBudget,
    rare: LineBudget,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self {
            counts: Counts::default(),
            ordinary: LineBudget::new("ordinary", ORDINARY_LINES_PER_SECOND),
            rare: LineBudget::new("rare", RARE_LINES_PER_SECOND),
        }
    }
}

impl DecisionLog {
    /// Reports whether a line of the class `rare` may be logged now, and counts the line as logged.
    pub(super) fn may_log(&mut self, now: Instant) -> bool {
        self.rare.take(now.0)
    }

    /// Counts and logs a datagram that is not a valid packet.
    pub(super) fn record_malformed(&mut self, now: Instant, fault: packet::Fault) {
        self.counts.malformed += 1;
        if self.may_log(now) {
            warn!(target: "packet", "event=malformed reason=\"{fault}\"");
        }
    }

    /// Counts and logs a datagram that could not be sent.
    pub(super) fn record_unsent(&mut self, now: Instant, to: SocketAddr, reason: &dyn Display) {
        self.counts.unsent += 1;
        if self.may_log(now) {
            warn!(target: "packet", "event=unsent to={to} reason=\"{reason}\"");
        }
    }

    /// Counts and logs a decision. A decision that follows from the packet's token alone is only
    /// counted.
    pub(super) fn record_decision(
        &mut self,
        now: Instant,
        segment: &Segment,
        decision: Decision,
        gateway: &Gateway,
    ) {
        let reason = decision.reason;
        if let Some(count) = self.counts.by_reason.get_mut(reason as usize) {
            *count += 1;
        }
        if let Some(waited_ms) = decision.waited_ms {
            self.record_wait(now, segment, waited_ms, gateway);
        }
        let budget = match reason {
            Reason::Token => return,
            // Refusals for lack of room come by the dozen in a surge, and would take all lines of the
            // rare class.
            Reason::Placed | Reason::Repeated | Reason::NoRoom | Reason::FlowCap => {
                &mut self.ordinary
            }
            _ => &mut self.rare,
        };
        if !budget.take(now.0) {
            return;
        }
        let copy = match segment.kind {
            Kind::Open { copy } => copy,
            Kind::Data | Kind::Finish | Kind::Reset => 0,
        };
        let (outcome, upstream) = match decision.action {
            Action::Forward { id, .. } => ("forward", id),
            Action::Reset => ("reset", 0),
            Action::Hold => ("hold", 0),
            Action::Drop => ("drop", 0),
        };
        info!(
            target: "packet",
            "event=decision flow={} kind={} copy={copy} token={:x} why={} outcome={outcome} \
             upstream={upstream:x} plan={} index={}",
            flow_id(segment), segment.kind.as_str(), segment.token, reason.as_str(),
            gateway.plan_version().unwrap_or_default(), gateway.agreed().index
        );
    }

    /// Records how long a client waited for its upstream, and logs long waits.
    fn record_wait(&mut self, now: Instant, segment: &Segment, waited_ms: u64, gateway: &Gateway) {
        // Waits are far too short for the conversion to lose precision.
        #[expect(clippy::cast_precision_loss)]
        metrics::histogram!("oriole_answer_wait_seconds").record(waited_ms as f64 / 1_000.0);
        if waited_ms >= LATE_ANSWER_MS && self.may_log(now) {
            let upstream = gateway.directory().by_token(segment.token);
            let upstream = upstream.map_or(0, |u| u.announced.incarnation.id);
            info!(
                target: "packet",
                "event=late flow={} waited_ms={waited_ms} upstream={upstream:x}", flow_id(segment)
            );
        }
    }

    /// Adds the counts to the metrics and resets them.
    pub(super) fn publish_metrics(&mut self, flows: usize) {
        let counts = std::mem::take(&mut self.counts);
        for reason in Reason::ALL {
            let count = counts.by_reason[reason as usize];
            if count > 0 {
                counter!("oriole_packets_total", "why" => reason.as_str()).increment(count);
            }
        }
        counter!("oriole_packets_malformed_total").increment(counts.malformed);
        counter!("oriole_packets_unsent_total").increment(counts.unsent);
        let flows = u32::try_from(flows).unwrap_or(u32::MAX);
        metrics::gauge!("oriole_flows").set(f64::from(flows));
    }
}

/// Returns the id of a flow in log lines: the client's address, `>` and the service's address.
fn flow_id(segment: &Segment) -> String {
    format!("{}>{}", segment.key.client, segment.key.service)
}
