//! Faults, and fault schedules that are generated from a seed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::platform::system::Size;

/// Range of the time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_600;

/// Range of the duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// Kind of a fault with the number of its target. Control VMs, entry VMs and upstream slots are
/// numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An entry VM is killed and starts again when the fault ends.
    KillEntry(u8),
    /// An entry VM gets SIGTERM and starts again when the fault ends.
    StopEntry(u8),
    /// An entry VM is frozen with SIGSTOP.
    FreezeEntry(u8),
    /// A control VM is killed and starts again when the fault ends.
    KillControl(u8),
    /// A control VM gets SIGTERM and starts again when the fault ends.
    StopControl(u8),
    /// A control VM is frozen with SIGSTOP.
    FreezeControl(u8),
    /// A control VM is killed and loses its data folder; the VM starts again when the fault ends.
    EmptyDisk(u8),
    /// A control VM is killed and its log ends in a partial write; the VM starts again when the fault
    /// ends.
    TornWrite(u8),
    /// Bytes are delayed in both directions on connections that other daemons open to a control VM.
    DelayLinks(u8),
    /// No bytes pass in either direction on connections that other daemons open to a control VM.
    SilenceLinks(u8),
    /// No bytes pass to a control VM on connections that other daemons open; answers still pass.
    OneWayLinks(u8),
    /// Connections that other daemons have or open to a control VM are reset.
    ResetLinks(u8),
    /// All daemons are killed at once and start again when the fault ends.
    KillAll,
    /// All daemons get SIGHUP.
    HangUp,
    /// An upstream crashes; a new upstream starts in the same slot when the fault ends.
    Crash(u8),
    /// An upstream announces that it is stopping; a new upstream starts in the same slot when the
    /// fault ends.
    Drain(u8),
    /// Packets to an upstream are lost; connections to the upstream are accepted.
    Silence(u8),
    /// Packets to an upstream are lost; connections to the upstream are refused.
    Refuse(u8),
    /// Packets to an upstream are delayed.
    Delay(u8),
    /// A failure domain is taken out and brought back when the fault ends.
    DomainOut,
    /// The plan is replaced.
    Plan,
}

impl Fault {
    /// Reports whether entry VMs or control VMs may act on stale state because of the fault.
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

    /// Reports whether daemons are down until the fault ends.
    #[must_use]
    pub fn keeps_daemons_down(self) -> bool {
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

    /// Returns the slot of the upstream that the fault disturbs, if any.
    #[must_use]
    pub fn disturbed_upstream(self) -> Option<u8> {
        match self {
            Self::Crash(n)
            | Self::Drain(n)
            | Self::Silence(n)
            | Self::Refuse(n)
            | Self::Delay(n) => Some(n),
            _ => None,
        }
    }

    /// Returns the target: two faults with the same target never overlap.
    fn target(self) -> (u8, u8) {
        match self {
            Self::KillEntry(n) | Self::StopEntry(n) | Self::FreezeEntry(n) => (0, n),
            // All control VMs share one target, because the cluster tolerates the loss of only one
            // control VM at a time.
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

/// A fault with its start and end, in milliseconds since the start of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Kind and target of the fault.
    pub kind: Fault,
    /// Start of the fault, in milliseconds.
    pub at_ms: u64,
    /// End of the fault, in milliseconds.
    pub until_ms: u64,
}

/// Time after a fault during which its target gets no other fault, in milliseconds. A control VM
/// counts as lost until the VM has caught up.
const RECOVERY_MS: u64 = 4_500;

/// Separates the random draws of link and disk faults from those of process and upstream faults, so
/// that a change to either kind leaves the schedule of the other kind unchanged.
const LINK_SEED: u64 = 0x6c69_6e6b;

/// Returns the schedule of a seed. Faults may overlap, except those with the same target.
#[must_use]
pub fn schedule(seed: u64, size: Size, upstreams: u8, length_ms: u64) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    add_faults(&mut planned, &mut random, length_ms, |random| {
        draw_fault(random, size, upstreams)
    });
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ LINK_SEED);
    add_faults(&mut planned, &mut random, length_ms, |random| {
        draw_link_fault(random, size)
    });
    planned.sort_by_key(|p| p.at_ms);
    planned
}

/// Adds random faults to the schedule, and leaves out those that conflict with a planned fault.
fn add_faults<R: Rng>(
    planned: &mut Vec<PlannedFault>,
    random: &mut R,
    length_ms: u64,
    draw: impl Fn(&mut R) -> Fault,
) {
    let mut at_ms = 500;
    while at_ms < length_ms {
        let kind = draw(random);
        let until_ms = (at_ms + random.random_range(FAULT_DURATION_MS)).min(length_ms);
        let new = PlannedFault {
            kind,
            at_ms,
            until_ms,
        };
        if !planned.iter().any(|p| p.conflicts_with(&new)) {
            planned.push(new);
        }
        at_ms += random.random_range(FAULT_INTERVAL_MS);
    }
}

impl PlannedFault {
    /// Reports whether `new` has the same target as this fault and starts before the target of the
    /// earlier fault has recovered.
    fn conflicts_with(&self, new: &Self) -> bool {
        let shares_target = match (self.kind, new.kind) {
            (Fault::KillAll, _) => true,
            // All daemons must be up before `KillAll`.
            (kind, Fault::KillAll) => kind.target().0 <= Fault::KillAll.target().0,
            (kind, new) => kind.target() == new.target(),
        };
        shares_target
            && self.at_ms < new.until_ms + RECOVERY_MS
            && new.at_ms < self.until_ms + RECOVERY_MS
    }
}

fn draw_fault(random: &mut impl Rng, size: Size, upstreams: u8) -> Fault {
    let entry = random.random_range(0..size.entries);
    let control = random.random_range(0..size.controls);
    let upstream = random.random_range(0..upstreams);
    match random.random_range(0..20) {
        0 | 1 => Fault::KillEntry(entry),
        2 | 3 => Fault::StopEntry(entry),
        4 => Fault::FreezeEntry(entry),
        5 => Fault::KillControl(control),
        6 => Fault::StopControl(control),
        7 => Fault::FreezeControl(control),
        8 => Fault::EmptyDisk(control),
        9 => Fault::KillAll,
        10 => Fault::HangUp,
        11 => Fault::Crash(upstream),
        12 | 13 => Fault::Drain(upstream),
        14 => Fault::Silence(upstream),
        15 => Fault::Refuse(upstream),
        16 => Fault::Delay(upstream),
        17 => Fault::DomainOut,
        _ => Fault::Plan,
    }
}

fn draw_link_fault(random: &mut impl Rng, size: Size) -> Fault {
    let control = random.random_range(0..size.controls);
    match random.random_range(0..6) {
        0 => Fault::TornWrite(control),
        1 => Fault::DelayLinks(control),
        2 => Fault::ResetLinks(control),
        3 => Fault::OneWayLinks(control),
        _ => Fault::SilenceLinks(control),
    }
}
