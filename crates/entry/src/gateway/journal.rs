//! Counts and logs what an entry VM decides on packets, within bounds.

use std::{fmt::Display, net::SocketAddr};

use daemon::logs::Budget;
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

/// Lines about ordinary decisions in a second.
const ORDINARY_LINES: u32 = 10;

/// Lines about refusals, drops and changed beliefs in a second.
const RARE_LINES: u32 = 20;

/// Time from which on a client's wait is worth a line, in milliseconds: clients then send again.
const LATE_MS: u64 = 200;

/// What was counted since it was last published.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    by_why: [u64; Reason::ALL.len()],
    malformed: u64,
    unsent: u64,
}

/// Counts, and what may still be logged in this second.
#[derive(Debug)]
pub(super) struct Journal {
    counts: Counts,
    ordinary: Budget,
    rare: Budget,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            counts: Counts::default(),
            ordinary: Budget::new("ordinary", ORDINARY_LINES),
            rare: Budget::new("rare", RARE_LINES),
        }
    }
}

impl Journal {
    /// Whether a line about something rare may be logged now.
    pub(super) fn may_log(&mut self, now: Instant) -> bool {
        self.rare.take(now.0)
    }

    /// Notes a datagram that is no packet.
    pub(super) fn malformed(&mut self, now: Instant, fault: packet::Fault) {
        self.counts.malformed += 1;
        if self.may_log(now) {
            warn!(target: "packet", "event=malformed reason=\"{fault}\"");
        }
    }

    /// Notes a datagram that could not be sent.
    pub(super) fn unsent(&mut self, now: Instant, to: SocketAddr, reason: &dyn Display) {
        self.counts.unsent += 1;
        if self.may_log(now) {
            warn!(target: "packet", "event=unsent to={to} reason=\"{reason}\"");
        }
    }

    /// Notes a decision; one that only follows from the packet's token gets no line.
    pub(super) fn decided(
        &mut self,
        now: Instant,
        segment: &Segment,
        decision: Decision,
        gateway: &Gateway,
    ) {
        let why = decision.reason;
        if let Some(count) = self.counts.by_why.get_mut(why as usize) {
            *count += 1;
        }
        if let Some(waited_ms) = decision.waited_ms {
            self.waited(now, segment, waited_ms, gateway);
        }
        let budget = match why {
            Reason::Token => return,
            Reason::Placed | Reason::Repeated => &mut self.ordinary,
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
            flow(segment), segment.kind.as_str(), segment.token, why.as_str(),
            gateway.plan_version().unwrap_or_default(), gateway.agreed().index
        );
    }

    /// Notes how long a client waited for its upstream.
    fn waited(&mut self, now: Instant, segment: &Segment, waited_ms: u64, gateway: &Gateway) {
        // Waits are far below the precision of the type.
        #[expect(clippy::cast_precision_loss)]
        metrics::histogram!("oriole_answer_wait_seconds").record(waited_ms as f64 / 1_000.0);
        if waited_ms >= LATE_MS && self.may_log(now) {
            let upstream = gateway.directory().by_token(segment.token);
            let upstream = upstream.map_or(0, |u| u.announced.incarnation.id);
            info!(
                target: "packet",
                "event=late flow={} waited_ms={waited_ms} upstream={upstream:x}", flow(segment)
            );
        }
    }

    /// Hands what was counted to the metrics.
    pub(super) fn publish(&mut self, flows: usize) {
        let counts = std::mem::take(&mut self.counts);
        for why in Reason::ALL {
            let count = counts.by_why[why as usize];
            if count > 0 {
                counter!("oriole_packets_total", "why" => why.as_str()).increment(count);
            }
        }
        counter!("oriole_packets_malformed_total").increment(counts.malformed);
        counter!("oriole_packets_unsent_total").increment(counts.unsent);
        let flows = u32::try_from(flows).unwrap_or(u32::MAX);
        metrics::gauge!("oriole_flows").set(f64::from(flows));
    }
}

/// A flow's id in logs: the client's end and the service's.
fn flow(segment: &Segment) -> String {
    format!("{}>{}", segment.key.client, segment.key.service)
}
