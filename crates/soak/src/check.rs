//! Checks the record of a run against the guarantees of the system.

use std::collections::BTreeMap;

use displaydoc::Display;
use standin::platform::client::ClientOutcome;

use crate::record::{ClosedPeriod, Disturbance, Record};

/// Time after a disturbance during which guarantees with a time bound don't apply, in milliseconds.
const DISTURBANCE_GRACE_MS: u64 = 4_000;

/// Time after which every read returns an acknowledged plan or a newer one, in milliseconds.
const READ_STALENESS_LIMIT_MS: u64 = 3_000;

/// Time for which a disturbance of an upstream explains a reset, in milliseconds. A flow may be idle
/// for long after the disturbance and notice the reset only then.
const RESET_GRACE_MS: u64 = 16_000;

/// Violation of a guarantee.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Violation {
    /// flow {flow} got answers from upstreams {first} and {second}, the second at {at_ms} ms
    FlowMoved {
        /// Number of the flow.
        flow: u64,
        /// Upstream that answered first.
        first: u64,
        /// Other upstream that answered.
        second: u64,
        /// Time of the second upstream's answer, in milliseconds.
        at_ms: u64,
    },
    /// flow {flow} at upstream {upstream} was reset at {at_ms} ms without a fault at the upstream
    UnexplainedReset {
        /// Number of the flow.
        flow: u64,
        /// Number of the upstream of the flow.
        upstream: u64,
        /// Time when the client received the reset, in milliseconds.
        at_ms: u64,
    },
    /// upstream {upstream} was closed to new flows at {from_ms} ms but got a new flow at {at_ms} ms
    FlowToClosedUpstream {
        /// Number of the upstream.
        upstream: u64,
        /// Time when the closing was acknowledged, in milliseconds.
        from_ms: u64,
        /// Time when the new flow reached the upstream, in milliseconds.
        at_ms: u64,
    },
    /// a read sent at {sent_ms} ms returned plan version {version}, but version {newest} had been acknowledged
    StaleRead {
        /// Plan version that was read.
        version: u64,
        /// Oldest plan version that the read may return: acknowledged `READ_STALENESS_LIMIT_MS` earlier.
        newest: u64,
        /// Time when the read was sent, in milliseconds.
        sent_ms: u64,
    },
    /// no read of the plan succeeded, or the last one returned a version older than {0}
    PlanLost(u64),
    /// process {0} exited while no fault kept a daemon down
    UnexpectedExit(String),
    /// only {0} of {1} requests were answered after all faults had ended
    NotRecovered(u64, u64),
}

/// Returns all violations in `record`. `slot_of` returns the slot of an upstream number.
#[must_use]
pub fn check(record: &Record, slot_of: impl Fn(u64) -> u8) -> Vec<Violation> {
    let mut violations = check_flows(record, &slot_of);
    violations.extend(check_closed_upstreams(record));
    violations.extend(check_plan_reads(record));
    violations.extend(
        record
            .unexpected_exits
            .iter()
            .cloned()
            .map(Violation::UnexpectedExit),
    );
    let (answered, sent) = record.answered_and_sent;
    if answered * 10 < sent * 9 || sent == 0 {
        violations.push(Violation::NotRecovered(answered, sent));
    }
    violations
}

fn is_disturbed(
    record: &Record,
    from_ms: u64,
    to_ms: u64,
    matches_fault: impl Fn(&Disturbance) -> bool,
) -> bool {
    let overlaps = |d: &&Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
    record
        .disturbances
        .iter()
        .filter(overlaps)
        .any(matches_fault)
}

fn check_flows(record: &Record, slot_of: &impl Fn(u64) -> u8) -> Vec<Violation> {
    let mut upstreams: BTreeMap<u64, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for request in &record.request_outcomes {
        match request.outcome {
            ClientOutcome::Answer(upstream) => {
                let first = *upstreams.entry(request.flow).or_insert(upstream);
                if first != upstream {
                    violations.push(Violation::FlowMoved {
                        flow: request.flow,
                        first,
                        second: upstream,
                        at_ms: request.at_ms,
                    });
                }
            }
            ClientOutcome::Reset => {
                // A flow without any answer may never have reached an upstream.
                let Some(upstream) = upstreams.get(&request.flow).copied() else {
                    continue;
                };
                let slot = slot_of(upstream);
                let from_ms = request.at_ms.saturating_sub(RESET_GRACE_MS);
                let explains_reset = |d: &Disturbance| d.kind.disturbed_upstream() == Some(slot);
                if !is_disturbed(record, from_ms, request.at_ms, explains_reset) {
                    violations.push(Violation::UnexplainedReset {
                        flow: request.flow,
                        upstream,
                        at_ms: request.at_ms,
                    });
                }
            }
            ClientOutcome::Nothing => {}
        }
    }
    violations
}

fn check_closed_upstreams(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    for ClosedPeriod {
        upstream,
        from_ms,
        to_ms,
        allowed_ms,
    } in &record.closed_periods
    {
        let late_openings = record.flow_openings.iter().filter(|o| {
            o.upstream == *upstream && o.at_ms > from_ms + allowed_ms && o.at_ms < *to_ms
        });
        for opened in late_openings {
            let from = opened.at_ms.saturating_sub(DISTURBANCE_GRACE_MS);
            let is_excused =
                is_disturbed(record, from, opened.at_ms, |d| d.kind.disturbs_daemons());
            if !is_excused {
                violations.push(Violation::FlowToClosedUpstream {
                    upstream: *upstream,
                    from_ms: *from_ms,
                    at_ms: opened.at_ms,
                });
            }
        }
    }
    violations
}

fn check_plan_reads(record: &Record) -> Vec<Violation> {
    let newest_before = |ms: u64| {
        let acknowledged_plans = record.acknowledged_plans.iter().filter(|a| a.at_ms <= ms);
        acknowledged_plans
            .map(|a| a.version)
            .max()
            .unwrap_or_default()
    };
    let mut violations = Vec::new();
    for read in &record.plan_reads {
        let newest = newest_before(read.sent_ms.saturating_sub(READ_STALENESS_LIMIT_MS));
        if read.version < newest {
            violations.push(Violation::StaleRead {
                version: read.version,
                newest,
                sent_ms: read.sent_ms,
            });
        }
    }
    let newest = newest_before(u64::MAX);
    if record.plan_reads.last().is_none_or(|r| r.version < newest) {
        violations.push(Violation::PlanLost(newest));
    }
    violations
}
