//! Faults, and schedules of them that follow from a seed.

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
    /// A control VM is killed in the middle of a write; it starts again at the end.
    TornWrite(u8),
    /// What others send to a control VM, and its answers, come late.
    DelayLinks(u8),
    /// Nothing passes on the connections that others have or open to a control VM.
    SilenceLinks(u8),
    /// Nothing that others send reaches a control VM, while what it says reaches them.
    OneWayLinks(u8),
    /// The connections that others have or open to a control VM are reset.
    ResetLinks(u8),
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
                | Self::TornWrite(_)
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
            | Self::EmptyDisk(_)
            | Self::TornWrite(_)
            | Self::DelayLinks(_)
            | Self::SilenceLinks(_)
            | Self::OneWayLinks(_)
            | Self::ResetLinks(_) => (1, 0),
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

/// Sets the draws of links and disks apart from those of processes and upstreams, so that either
/// can be changed without a change to the other's.
const LINKS: u64 = 0x6c69_6e6b;

/// The schedule of a seed: faults that overlap, but for those on the same target.
#[must_use]
pub fn schedule(seed: u64, size: Size, upstreams: u8, length_ms: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    fill(&mut planned, &mut random, length_ms, |random| {
        draw(random, size, upstreams)
    });
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ LINKS);
    fill(&mut planned, &mut random, length_ms, |random| {
        draw_link(random, size)
    });
    planned.sort_by_key(|p| p.at_ms);
    planned
}

/// Adds faults where what they are done to is left alone by those that are planned.
fn fill<R: Rng>(
    planned: &mut Vec<Planned>,
    random: &mut R,
    length_ms: u64,
    draw: impl Fn(&mut R) -> Kind,
) {
    let mut at_ms = 500;
    while at_ms < length_ms {
        let kind = draw(random);
        let until_ms = (at_ms + random.random_range(SPAN_MS)).min(length_ms);
        let new = Planned {
            kind,
            at_ms,
            until_ms,
        };
        if !planned.iter().any(|p| p.clashes(&new)) {
            planned.push(new);
        }
        at_ms += random.random_range(GAP_MS);
    }
}

impl Planned {
    /// Whether `new` would disturb what this one disturbs, or has disturbed shortly before.
    fn clashes(&self, new: &Self) -> bool {
        let shares = match (self.kind, new.kind) {
            (Kind::KillAll, _) => true,
            // All daemons must stand before all are killed.
            (kind, Kind::KillAll) => kind.target().0 <= Kind::KillAll.target().0,
            (kind, new) => kind.target() == new.target(),
        };
        shares && self.at_ms < new.until_ms + REST_MS && new.at_ms < self.until_ms + REST_MS
    }
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

fn draw_link(random: &mut impl Rng, size: Size) -> Kind {
    let control = random.random_range(0..size.controls);
    match random.random_range(0..6) {
        0 => Kind::TornWrite(control),
        1 => Kind::DelayLinks(control),
        2 => Kind::ResetLinks(control),
        3 => Kind::OneWayLinks(control),
        _ => Kind::SilenceLinks(control),
    }
}
