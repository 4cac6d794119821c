//! Guards against broken flows in random sequences of planned changes and faults with continuous
//! traffic, including combinations that no other test covers.

mod flow_support;

use flow_support::{Net, Settings, vm};
use rand::Rng;

/// Number of steps in a sequence.
const STEPS: usize = 24;

/// Kinds of steps in a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// Planned changes only. No flow may break.
    Planned,
    /// Planned changes and single crashes, each recovered before the next. No flow may break.
    Single,
    /// All changes and faults. No packet may reach another upstream.
    Any,
}

struct Sequence {
    net: Net,
    faults: Faults,
    /// Numbers of the running VMs.
    live: Vec<usize>,
    admitted: Vec<usize>,
    out: Option<usize>,
    next_vm: usize,
    log: Vec<String>,
}

impl Sequence {
    fn new(seed: u64, faults: Faults) -> Self {
        let net = Net::new(Settings {
            seed,
            idle_ms: 20_000,
            loss_percent: 1,
            max_delay_ms: 20,
            ..Settings::default()
        });
        Self {
            net,
            faults,
            live: (0..6).collect(),
            admitted: (0..6).collect(),
            out: None,
            next_vm: 6,
            log: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.net.run_ms(4_000);
        self.net.open_flows(100);
        for _ in 0..STEPS {
            self.step();
            let wait_ms = self.net.rng.random_range(0..1_500);
            self.net.run_ms(wait_ms);
            self.net.open_flows(10);
            let lost = self.net.continue_flows(0..self.net.flows.len());
            if self.faults != Faults::Any {
                assert!(lost.is_empty(), "{lost:?} after {:?}", self.log);
            }
            assert_eq!(self.net.split_count(), 0, "after {:?}", self.log);
        }
    }

    fn step(&mut self) {
        let retained = self.net.config.services[&flow_support::service()]
            .generations
            .len();
        let may_change = retained < 6;
        let at = self.net.now;
        let action = match self.net.rng.random_range(0..8) {
            0 if may_change && self.admitted.len() < 9 => {
                let number = (0..10).find(|n| !self.admitted.contains(n)).unwrap_or(9);
                self.net.admit(number);
                self.admitted.push(number);
                format!("admit {number}")
            }
            1 if may_change && self.admitted.len() > 4 && self.out.is_none() => {
                let pick = self.net.rng.random_range(0..self.admitted.len());
                let number = self.admitted.remove(pick);
                self.net.drain(number);
                format!("drain {number}")
            }
            2 if may_change => self.move_domain(),
            3 if self.live.len() > 4 => self.stop(),
            4 if self.live.len() < 9 => self.join(),
            5 if self.faults != Faults::Planned && self.live.len() > 4 => self.kill(),
            6 if self.faults == Faults::Any && self.live.len() > 4 => {
                self.kill();
                self.kill()
            }
            _ => "wait".to_owned(),
        };
        self.log.push(format!("{at}: {action}"));
    }

    fn move_domain(&mut self) -> String {
        if let Some(number) = self.out.take() {
            self.net.domain_in(number);
            return format!("domain {number} in");
        }
        let number = self.net.rng.random_range(0..3);
        let remaining = self.admitted.iter().filter(|n| **n % 3 != number).count();
        if remaining < 2 {
            return "wait".to_owned();
        }
        self.out = Some(number);
        self.net.domain_out(number);
        format!("domain {number} out")
    }

    /// Removes a VM from `live` whose failure domain keeps at least one other VM.
    fn pick(&mut self) -> Option<usize> {
        let first = self.net.rng.random_range(0..self.live.len());
        let rotated = (0..self.live.len()).map(|n| (n + first) % self.live.len());
        let at = rotated.into_iter().find(|at| {
            let domain = self.live[*at] % 3;
            self.live.iter().filter(|n| **n % 3 == domain).count() > 1
        })?;
        Some(self.live.remove(at))
    }

    fn stop(&mut self) -> String {
        let Some(number) = self.pick() else {
            return "wait".to_owned();
        };
        self.net.stop(&vm(number));
        for _ in 0..40 {
            self.net.run_ms(500);
            if self.net.machines[&vm(number)].flows.is_handed_over() {
                break;
            }
        }
        self.net.kill(&vm(number));
        format!("stop {number}")
    }

    fn join(&mut self) -> String {
        let number = self.next_vm;
        self.next_vm += 1;
        self.net.join(number);
        self.live.push(number);
        format!("join {number}")
    }

    fn kill(&mut self) -> String {
        let Some(number) = self.pick() else {
            return "wait".to_owned();
        };
        self.net.kill(&vm(number));
        if self.faults == Faults::Single {
            self.net.run_ms(500);
            let lost = self.net.continue_flows(0..self.net.flows.len());
            assert!(
                lost.is_empty(),
                "{lost:?} after {:?} kill {number}",
                self.log
            );
            self.net.run_ms(3_000);
        }
        format!("kill {number}")
    }
}

fn seeds(first: u64) -> std::ops::Range<u64> {
    let count = std::env::var("FLOW_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    first..first + count.unwrap_or(6)
}

#[test]
fn random_planned_changes_break_no_flow() {
    for seed in seeds(1_000) {
        Sequence::new(seed, Faults::Planned).run();
    }
}

#[test]
fn random_single_crashes_during_planned_changes_break_no_flow() {
    for seed in seeds(2_000) {
        Sequence::new(seed, Faults::Single).run();
    }
}

#[test]
fn random_faults_together_send_no_packet_to_another_upstream() {
    for seed in seeds(3_000) {
        Sequence::new(seed, Faults::Any).run();
    }
}
