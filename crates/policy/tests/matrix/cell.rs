//! One cell of the matrix: a planned change, with faults at steps of the change.

use model::{command::Command, key::hash};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, domain, service, upstream, vm};

/// Time until flows are open and requests are answered, in milliseconds.
const WARM_UP_MS: u64 = 6_000;

/// Time after change and faults within which the system must recover, in milliseconds.
const SETTLE_MS: u64 = 16_000;

/// A planned change of the system, by operators or by a restart of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Admit,
    Drain,
    DomainOut,
    DomainIn,
    RollingRestart,
    ControlReplace,
}

impl Change {
    pub(crate) const ALL: [Self; 6] = [
        Self::Admit,
        Self::Drain,
        Self::DomainOut,
        Self::DomainIn,
        Self::RollingRestart,
        Self::ControlReplace,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Drain => "drain",
            Self::DomainOut => "domain_out",
            Self::DomainIn => "domain_in",
            Self::RollingRestart => "rolling_restart",
            Self::ControlReplace => "control_replace",
        }
    }

    /// Returns the operator command of the change, or `None` if the change is no command.
    fn command(self) -> Option<Command> {
        match self {
            Self::Admit => Some(World::admission(6)),
            Self::Drain => Some(Command::Drain {
                service: service(0),
                upstream: upstream(1),
            }),
            Self::DomainOut => Some(Command::DomainOut { name: domain(2) }),
            Self::DomainIn => Some(Command::DomainIn { name: domain(2) }),
            Self::RollingRestart | Self::ControlReplace => None,
        }
    }
}

/// A fault that a cell injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    Freeze,
    LostDisk,
    CutOneWay,
    CutBothWays,
    Delay,
    Duplicate,
    Reorder,
    StaleAnswer,
    OperatorRace,
    LostAnswer,
    ColdRestart,
    SecondLoss,
}

impl Fault {
    pub(crate) const ALL: [Self; 13] = [
        Self::Kill,
        Self::Freeze,
        Self::LostDisk,
        Self::CutOneWay,
        Self::CutBothWays,
        Self::Delay,
        Self::Duplicate,
        Self::Reorder,
        Self::StaleAnswer,
        Self::OperatorRace,
        Self::LostAnswer,
        Self::ColdRestart,
        Self::SecondLoss,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Freeze => "freeze",
            Self::LostDisk => "lost_disk",
            Self::CutOneWay => "cut_one_way",
            Self::CutBothWays => "cut_both_ways",
            Self::Delay => "delay",
            Self::Duplicate => "duplicate",
            Self::Reorder => "reorder",
            Self::StaleAnswer => "stale_answer",
            Self::OperatorRace => "operator_race",
            Self::LostAnswer => "lost_answer",
            Self::ColdRestart => "cold_restart",
            Self::SecondLoss => "second_loss",
        }
    }

    /// Returns the reason why no cell has this fault, or `None` for a fault that cells use.
    pub(crate) fn exclusion_reason(self) -> Option<&'static str> {
        match self {
            Self::LostDisk => {
                Some("entry VMs store nothing on disk; see the tests of `control` and `store`")
            }
            _ => None,
        }
    }

    /// Injects the fault, and schedules the end of a temporary fault.
    fn inject(self, world: &mut World, number: usize) {
        match self {
            Self::Kill => world.kill(vm(number), 5_000),
            Self::Freeze => world.freeze(vm(number), 4_000),
            Self::LostDisk => {}
            Self::CutOneWay => world.cut(domain(number % 3), false, 3_000),
            Self::CutBothWays => world.cut(domain(number % 3), true, 5_000),
            Self::Delay => world.inject_network_faults(|f| f.delay_ms = 150, 3_000),
            Self::Duplicate => world.inject_network_faults(|f| f.duplicates = 0.3, 3_000),
            Self::Reorder => world.inject_network_faults(|f| f.delay_ms = 30, 3_000),
            Self::StaleAnswer => world.deliver_old_configs(),
            Self::OperatorRace => world.race_last_command(),
            Self::LostAnswer => world.resend_last_command(),
            Self::ColdRestart => world.restart_upstream(upstream(3)),
            Self::SecondLoss => {
                world.kill(vm(number), 2_500);
                world.kill_later(vm(number + 1), 4_500, 5_000);
            }
        }
    }
}

/// The step of a planned change at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Before the change is requested.
    Before,
    /// The command is committed, and no VM has received the new configuration.
    Accepted,
    /// Some VMs have the new configuration.
    Prepared,
    /// Every VM has the new configuration, and the last step of the change is committed.
    Activated,
}

impl Step {
    pub(crate) const ALL: [Self; 4] = [
        Self::Before,
        Self::Accepted,
        Self::Prepared,
        Self::Activated,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Before => "before",
            Self::Accepted => "accepted",
            Self::Prepared => "prepared",
            Self::Activated => "activated",
        }
    }
}

/// A cell of the matrix.
#[derive(Debug, Clone)]
pub(crate) struct Cell {
    change: Change,
    faults: Vec<(Fault, Step)>,
    name: String,
}

impl Cell {
    pub(crate) fn single(change: Change, fault: Fault, step: Step) -> Self {
        Self {
            change,
            faults: vec![(fault, step)],
            name: format!("{}::{}::{}", change.name(), fault.name(), step.name()),
        }
    }

    /// Creates a cell with two faults and steps drawn from a generator seeded with `number`.
    pub(crate) fn pair(change: Change, number: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(number);
        let applicable: Vec<Fault> = Fault::ALL
            .into_iter()
            .filter(|f| f.exclusion_reason().is_none())
            .collect();
        let mut draw = || {
            let fault = applicable.choose(&mut rng).copied().unwrap_or(Fault::Kill);
            let step = Step::ALL.choose(&mut rng).copied().unwrap_or(Step::Before);
            (fault, step)
        };
        let faults = vec![draw(), draw()];
        let names: Vec<String> = faults
            .iter()
            .map(|(fault, step)| format!("{}_{}", fault.name(), step.name()))
            .collect();
        Self {
            change,
            name: format!("{}::pair_{number}_{}", change.name(), names.join("_and_")),
            faults,
        }
    }

    pub(crate) fn name(&self) -> String {
        self.name.clone()
    }

    pub(crate) fn seed(&self) -> u64 {
        hash(0, self.name.as_bytes())
    }

    /// Runs the cell and returns the violated invariants.
    pub(crate) fn run(&self) -> Vec<String> {
        let mut world = World::new(self.seed());
        if self.change == Change::DomainIn {
            world.apply_operator_command(Command::DomainOut { name: domain(2) });
        }
        world.run(WARM_UP_MS);
        world.open_flows();
        world.run(WARM_UP_MS);
        let mut victim = Pcg64Mcg::seed_from_u64(self.seed()).random_range(0..6);
        for step in Step::ALL {
            self.advance_to(&mut world, step);
            for (fault, _) in self.faults.iter().filter(|(_, at)| *at == step) {
                fault.inject(&mut world, victim);
                victim = (victim + 1) % 6;
            }
        }
        world.run(SETTLE_MS);
        world.check_invariants()
    }

    /// Advances the change to a step.
    fn advance_to(&self, world: &mut World, step: Step) {
        match (step, self.change) {
            (Step::Before, _) => {}
            (Step::Accepted, Change::RollingRestart) => world.restart_all_vms(),
            (Step::Accepted, Change::ControlReplace) => world.silence_control(4_000),
            (Step::Accepted, change) => {
                if let Some(command) = change.command() {
                    world.apply_operator_command(command);
                }
            }
            (Step::Prepared, _) => world.run(20),
            (Step::Activated, _) => world.run(400),
        }
    }
}
