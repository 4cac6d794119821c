//! `check` finds each kind of violation in a record, and accepts behavior that the guarantees allow.

use soak::{
    check::{Violation, check},
    fault::{Fault, schedule},
    record::{
        AcknowledgedPlan, ClosedPeriod, Disturbance, FlowOpening, PlanRead, Record, RequestOutcome,
    },
};
use standin::platform::{client::ClientOutcome, system::Size};

/// Returns a record without violations: one plan that is read back, and requests answered at the end.
fn sound_record() -> Record {
    Record {
        acknowledged_plans: vec![AcknowledgedPlan {
            version: 3,
            at_ms: 1_000,
        }],
        plan_reads: vec![PlanRead {
            version: 3,
            sent_ms: 50_000,
        }],
        answered_and_sent: (40, 40),
        ..Record::default()
    }
}

fn request_outcome(at_ms: u64, outcome: ClientOutcome) -> RequestOutcome {
    RequestOutcome {
        flow: 1,
        at_ms,
        outcome,
    }
}

fn disturbance(kind: Fault, from_ms: u64, to_ms: u64) -> Disturbance {
    Disturbance {
        kind,
        from_ms,
        to_ms,
    }
}

/// Checks a record in which upstream n is in slot n.
fn violations_in(record: &Record) -> Vec<Violation> {
    check(record, |number| u8::try_from(number).unwrap_or(u8::MAX))
}

#[test]
fn a_sound_record_has_no_violations() {
    assert_eq!(violations_in(&sound_record()), []);
}

#[test]
fn a_flow_that_changes_upstream_is_a_violation() {
    let mut record = sound_record();
    record.request_outcomes = vec![
        request_outcome(1, ClientOutcome::Answer(4)),
        request_outcome(2, ClientOutcome::Answer(5)),
    ];
    assert!(matches!(
        violations_in(&record)[..],
        [Violation::FlowMoved {
            first: 4,
            second: 5,
            ..
        }]
    ));
}

#[test]
fn a_reset_is_a_violation_unless_its_upstream_was_disturbed() {
    let mut record = sound_record();
    record.request_outcomes = vec![
        request_outcome(1, ClientOutcome::Answer(4)),
        request_outcome(20_000, ClientOutcome::Reset),
    ];
    assert!(matches!(
        violations_in(&record)[..],
        [Violation::UnexplainedReset { upstream: 4, .. }]
    ));
    record.disturbances = vec![disturbance(Fault::Crash(3), 19_000, 20_000)];
    assert_eq!(
        violations_in(&record).len(),
        1,
        "a reset is not excused by the crash of another upstream"
    );
    record.disturbances = vec![disturbance(Fault::KillAll, 19_000, 20_000)];
    assert_eq!(
        violations_in(&record).len(),
        1,
        "a reset is not excused by killed daemons"
    );
    record.disturbances = vec![disturbance(Fault::Crash(4), 19_000, 20_000)];
    assert_eq!(violations_in(&record), []);
}

#[test]
fn a_reset_of_a_flow_without_answers_is_allowed() {
    let mut record = sound_record();
    record.request_outcomes = vec![
        request_outcome(1, ClientOutcome::Reset),
        request_outcome(2, ClientOutcome::Nothing),
    ];
    assert_eq!(violations_in(&record), []);
}

#[test]
fn a_new_flow_to_a_closed_upstream_is_a_violation() {
    let mut record = sound_record();
    record.closed_periods = vec![ClosedPeriod {
        upstream: 2,
        from_ms: 10_000,
        to_ms: 30_000,
        allowed_ms: 3_000,
    }];
    let opened = |at_ms| FlowOpening { upstream: 2, at_ms };
    record.flow_openings = vec![opened(9_000), opened(12_900), opened(30_001)];
    assert_eq!(violations_in(&record), []);
    record.flow_openings.push(opened(13_500));
    assert!(matches!(
        violations_in(&record)[..],
        [Violation::FlowToClosedUpstream { at_ms: 13_500, .. }]
    ));
    record.disturbances = vec![disturbance(Fault::FreezeEntry(0), 9_000, 10_000)];
    assert_eq!(
        violations_in(&record),
        [],
        "a frozen entry VM may act on stale state"
    );
}

#[test]
fn a_stale_read_is_a_violation() {
    let mut record = sound_record();
    let early = PlanRead {
        version: 0,
        sent_ms: 3_900,
    };
    record.plan_reads.insert(0, early);
    assert_eq!(violations_in(&record), []);
    record.plan_reads[0].sent_ms = 4_100;
    assert!(matches!(
        violations_in(&record)[..],
        [Violation::StaleRead { newest: 3, .. }]
    ));
}

#[test]
fn a_lost_plan_is_a_violation() {
    let mut record = sound_record();
    record.plan_reads.clear();
    assert_eq!(violations_in(&record), [Violation::PlanLost(3)]);
}

#[test]
fn an_unexpected_exit_and_a_failed_recovery_are_violations() {
    let mut record = sound_record();
    record.unexpected_exits = vec!["entry-1".to_owned()];
    record.answered_and_sent = (35, 40);
    let wanted = [
        Violation::UnexpectedExit("entry-1".to_owned()),
        Violation::NotRecovered(35, 40),
    ];
    assert_eq!(violations_in(&record), wanted);
}

#[test]
fn schedules_are_reproducible_and_lose_one_control_vm_at_a_time() {
    let size = Size {
        controls: 4,
        entries: 6,
    };
    let is_control = |kind: Fault| {
        matches!(
            kind,
            Fault::KillControl(_)
                | Fault::StopControl(_)
                | Fault::FreezeControl(_)
                | Fault::EmptyDisk(_)
                | Fault::TornWrite(_)
                | Fault::DelayLinks(_)
                | Fault::SilenceLinks(_)
                | Fault::OneWayLinks(_)
                | Fault::ResetLinks(_)
        )
    };
    for seed in 0..200 {
        let planned = schedule(seed, size, 5, 30_000);
        assert_eq!(planned, schedule(seed, size, 5, 30_000));
        let lost: Vec<_> = planned.iter().filter(|p| is_control(p.kind)).collect();
        for pair in lost.windows(2) {
            assert!(pair[0].until_ms < pair[1].at_ms, "seed {seed}");
        }
    }
}
