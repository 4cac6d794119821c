//! A planted fault of each kind is found, and what the pages allow is not taken for one.

use soak::{
    check::{Broken, check},
    fault::{Kind, schedule},
    record::{Acknowledged, Ask, Closed, Disturbance, Opened, Read, Record},
};
use standin::platform::{client::ClientOutcome, system::Size};

/// A record without a fault: one plan, read back, and service at the end.
fn sound() -> Record {
    Record {
        acknowledged: vec![Acknowledged {
            version: 3,
            at_ms: 1_000,
        }],
        reads: vec![Read {
            version: 3,
            sent_ms: 50_000,
        }],
        served_after: (40, 40),
        ..Record::default()
    }
}

fn ask(at_ms: u64, got: ClientOutcome) -> Ask {
    Ask {
        flow: 1,
        at_ms,
        got,
    }
}

fn disturbed(kind: Kind, from_ms: u64, to_ms: u64) -> Disturbance {
    Disturbance {
        kind,
        from_ms,
        to_ms,
    }
}

/// Upstream n stands in place n.
fn judge(record: &Record) -> Vec<Broken> {
    check(record, |number| u8::try_from(number).unwrap_or(u8::MAX))
}

#[test]
fn a_sound_record_breaks_nothing() {
    assert_eq!(judge(&sound()), []);
}

#[test]
fn a_flow_that_moves_is_found() {
    let mut record = sound();
    record.asks = vec![
        ask(1, ClientOutcome::Answer(4)),
        ask(2, ClientOutcome::Answer(5)),
    ];
    assert!(matches!(
        judge(&record)[..],
        [Broken::Moved {
            first: 4,
            second: 5,
            ..
        }]
    ));
}

#[test]
fn a_reset_counts_unless_its_upstream_was_disturbed() {
    let mut record = sound();
    record.asks = vec![
        ask(1, ClientOutcome::Answer(4)),
        ask(20_000, ClientOutcome::Reset),
    ];
    assert!(matches!(
        judge(&record)[..],
        [Broken::Reset { upstream: 4, .. }]
    ));
    record.disturbances = vec![disturbed(Kind::Crash(3), 19_000, 20_000)];
    assert_eq!(judge(&record).len(), 1, "another upstream's crash");
    record.disturbances = vec![disturbed(Kind::KillAll, 19_000, 20_000)];
    assert_eq!(judge(&record).len(), 1, "killed daemons excuse no reset");
    record.disturbances = vec![disturbed(Kind::Crash(4), 19_000, 20_000)];
    assert_eq!(judge(&record), []);
}

#[test]
fn a_reset_of_a_flow_that_was_never_answered_is_allowed() {
    let mut record = sound();
    record.asks = vec![ask(1, ClientOutcome::Reset), ask(2, ClientOutcome::Nothing)];
    assert_eq!(judge(&record), []);
}

#[test]
fn a_flow_to_a_closed_upstream_is_found() {
    let mut record = sound();
    record.closed = vec![Closed {
        upstream: 2,
        from_ms: 10_000,
        to_ms: 30_000,
        allowed_ms: 3_000,
    }];
    let opened = |at_ms| Opened { upstream: 2, at_ms };
    record.opened = vec![opened(9_000), opened(12_900), opened(30_001)];
    assert_eq!(judge(&record), []);
    record.opened.push(opened(13_500));
    assert!(matches!(
        judge(&record)[..],
        [Broken::Late { at_ms: 13_500, .. }]
    ));
    record.disturbances = vec![disturbed(Kind::FreezeEntry(0), 9_000, 10_000)];
    assert_eq!(judge(&record), [], "it was out of touch");
}

#[test]
fn an_old_read_is_found() {
    let mut record = sound();
    let early = Read {
        version: 0,
        sent_ms: 3_900,
    };
    record.reads.insert(0, early);
    assert_eq!(judge(&record), []);
    record.reads[0].sent_ms = 4_100;
    assert!(matches!(
        judge(&record)[..],
        [Broken::Old { newest: 3, .. }]
    ));
}

#[test]
fn a_lost_plan_is_found() {
    let mut record = sound();
    record.reads.clear();
    assert_eq!(judge(&record), [Broken::Lost(3)]);
}

#[test]
fn an_exit_and_a_system_that_does_not_recover_are_found() {
    let mut record = sound();
    record.early_exits = vec!["entry-1".to_owned()];
    record.served_after = (35, 40);
    let wanted = [
        Broken::Exit("entry-1".to_owned()),
        Broken::NotRecovered(35, 40),
    ];
    assert_eq!(judge(&record), wanted);
}

#[test]
fn a_seed_always_gives_the_same_schedule_and_one_control_vm_is_lost_at_a_time() {
    let size = Size {
        controls: 4,
        entries: 6,
    };
    let is_control = |kind: Kind| {
        matches!(
            kind,
            Kind::KillControl(_)
                | Kind::StopControl(_)
                | Kind::FreezeControl(_)
                | Kind::EmptyDisk(_)
                | Kind::TornWrite(_)
                | Kind::DelayLinks(_)
                | Kind::SilenceLinks(_)
                | Kind::OneWayLinks(_)
                | Kind::ResetLinks(_)
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
