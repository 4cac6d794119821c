//! Faults, and schedules of them that follow from a seed.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::platform::system::Size;

/// Shortest and longest time between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..1_600;

/// Shortest and longest duration of a fault, in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 200..4_000;

/// What happens to what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An entry VM is killed, and starts again at the end.
    KillEntry(u8),
    /// An entry VM is asked to stop, and starts again at the end.
    StopEntry(u8),
    /// An entry VM is frozen.
    FreezeEntry(u8),
    /// A control VM is killed, and starts again at the end.
    KillControl(u8),
    /// A control VM is asked to stop, and starts again at the end.
    StopControl(u8),
    /// A control VM is frozen.
    FreezeControl(u8),
    /// A control VM is killed and loses its disk; it starts again at the end.
    EmptyDisk(u8),
    /// All daemons are killed at once, and start again at the end.
    KillAll,
    /// All processes get SIGHUP.
    HangUp,
    /// An upstream crashes, and another comes in its place at the end.
    Crash(u8),
    /// An upstream announces that it stops; another comes in its place at the end.
    Drain(u8),
    /// Packets to an upstream are lost, while it accepts connections.
    Silence(u8),
    /// Packets to an upstream are lost, and it refuses connections.
    Refuse(u8),
    /// Packets to an upstream come late.
    Delay(u8),
    /// A failure domain is taken out, and brought back at the end.
    DomainOut,
    /// A plan is replaced.
    Plan,
}

impl Kind {
    /// Whether what entry VMs or control VMs believe may lag for it.
    #[must_use]
    pub fn disturbs_daemons(self) -> bool {
        !matches!(
            self,
            Self::Crash(_)
                | Self::Drain(_)
                | Self::Silence(_)
                | Self::Refuse(_)
                | Self::Delay(_)
                | Self::DomainOut
                | Self::Plan
                | Self::HangUp
        )
    }

    /// Whether daemons are down until its end.
    #[must_use]
    pub fn holds_daemons_down(self) -> bool {
        matches!(
            self,
            Self::KillEntry(_)
                | Self::StopEntry(_)
                | Self::KillControl(_)
                | Self::StopControl(_)
                | Self::EmptyDisk(_)
                | Self::KillAll
        )
    }

    /// The place of the upstream that it disturbs, if any.
    #[must_use]
    pub fn upstream(self) -> Option<u8> {
        match self {
            Self::Crash(n)
            | Self::Drain(n)
            | Self::Silence(n)
            | Self::Refuse(n)
            | Self::Delay(n) => Some(n),
            _ => None,
        }
    }

    /// What can't be done to two at a time: what it is done to.
    fn target(self) -> (u8, u8) {
        match self {
            Self::KillEntry(n) | Self::StopEntry(n) | Self::FreezeEntry(n) => (0, n),
            // No more than one control VM is lost at a time, as the cluster tolerates.
            Self::KillControl(_)
            | Self::StopControl(_)
            | Self::FreezeControl(_)
            | Self::EmptyDisk(_) => (1, 0),
            Self::KillAll => (2, 0),
            Self::HangUp => (3, 0),
            Self::DomainOut => (4, 0),
            Self::Plan => (5, 0),
            Self::Crash(n)
            | Self::Drain(n)
            | Self::Silence(n)
            | Self::Refuse(n)
            | Self::Delay(n) => (6, n),
        }
    }
}

/// A fault with its times, in milliseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// What happens.
    pub kind: Kind,
    /// When it begins.
    pub at_ms: u64,
    /// When it ends.
    pub until_ms: u64,
}

/// Time after its end for which what was disturbed is left alone, in milliseconds: a control VM
/// counts as lost until it has caught up.
const REST_MS: u64 = 4_500;

/// The schedule of a seed: faults that overlap, but for those on the same target.
#[must_use]
pub fn schedule(seed: u64, size: Size, upstreams: u8, length_ms: u64) -> Vec<Planned> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut busy: BTreeMap<(u8, u8), u64> = BTreeMap::new();
    let mut at_ms = 500;
    while at_ms < length_ms {
        let kind = draw(&mut random, size, upstreams);
        let until_ms = (at_ms + random.random_range(SPAN_MS)).min(length_ms);
        let is_free = |target| busy.get(&target).is_none_or(|until| at_ms >= *until);
        let mut targets = vec![kind.target()];
        if kind == Kind::KillAll {
            // Everything else must stand before.
            targets.extend((0..size.entries).map(|n| (0, n)));
            targets.push((1, 0));
        }
        if targets.iter().all(|t| is_free(*t)) && is_free((2, 0)) {
            for target in targets {
                busy.insert(target, until_ms + REST_MS);
            }
            planned.push(Planned {
                kind,
                at_ms,
                until_ms,
            });
        }
        at_ms += random.random_range(GAP_MS);
    }
    planned
}

fn draw(random: &mut impl Rng, size: Size, upstreams: u8) -> Kind {
    let entry = random.random_range(0..size.entries);
    let control = random.random_range(0..size.controls);
    let upstream = random.random_range(0..upstreams);
    match random.random_range(0..20) {
        0 | 1 => Kind::KillEntry(entry),
        2 | 3 => Kind::StopEntry(entry),
        4 => Kind::FreezeEntry(entry),
        5 => Kind::KillControl(control),
        6 => Kind::StopControl(control),
        7 => Kind::FreezeControl(control),
        8 => Kind::EmptyDisk(control),
        9 => Kind::KillAll,
        10 => Kind::HangUp,
        11 => Kind::Crash(upstream),
        12 | 13 => Kind::Drain(upstream),
        14 => Kind::Silence(upstream),
        15 => Kind::Refuse(upstream),
        16 => Kind::Delay(upstream),
        17 => Kind::DomainOut,
        _ => Kind::Plan,
    }
}
