//! Tests of commands on a configuration: the states of planned changes, and refusals.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::net::SocketAddr;

use model::{
    command::{Command, Entry, SYSTEM},
    config::{
        ChangeKind, ChangeState, Config, MAX_GENERATIONS, Outcome, Refusal, Service, Upstream,
        UpstreamState,
    },
    name::Name,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn upstream(domain: &str) -> Upstream {
    let address: SocketAddr = "10.0.0.1:1".parse().unwrap();
    Upstream {
        domain: name(domain),
        flow_address: address,
        request_address: address,
        slots: 3,
        connections: 2_000,
        state: UpstreamState::Admitted,
    }
}

fn admit(upstream_name: &str, domain: &str) -> Command {
    Command::Admit {
        service: name("booking"),
        upstream: name(upstream_name),
        announced: upstream(domain),
    }
}

fn drain(upstream: &str) -> Command {
    Command::Drain {
        service: name("booking"),
        upstream: name(upstream),
    }
}

/// A configuration under test; commands are applied at consecutive indices.
struct Fixture(Config);

impl Fixture {
    /// Creates service `booking` with `u1` in domain `north` and `u2` in `south`, all in force.
    fn new() -> Self {
        let mut fixture = Self(Config::default());
        for domain in ["north", "south"] {
            fixture.ok(Command::PutDomain { name: name(domain) });
        }
        fixture.ok(Command::PutService {
            name: name("booking"),
            service: Service::at("10.9.0.1:443".parse().unwrap()),
        });
        fixture.ok(admit("u1", "north"));
        fixture.ok(admit("u2", "south"));
        fixture.activate();
        fixture
    }

    fn apply(&mut self, command: Command) -> Outcome {
        let index = self.0.index + 1;
        let operator = if command.is_step() { SYSTEM } else { "op" };
        let entry = Entry::new(operator, index.to_string(), None, command);
        self.0.apply(index, &entry)
    }

    /// Applies a command that must be accepted, and returns the command's index.
    fn ok(&mut self, command: Command) -> u64 {
        assert_eq!(self.apply(command), Ok(()));
        self.0.index
    }

    fn service(&self) -> &Service {
        &self.0.services[&name("booking")]
    }

    /// Applies the system's step that activates the newest generation.
    fn activate(&mut self) {
        let generation = self.service().generations.last().unwrap().number;
        let service = name("booking");
        self.ok(Command::Activate {
            service,
            generation,
        });
    }

    fn state(&self, change: u64) -> ChangeState {
        self.0.changes[&change].state
    }
}

#[test]
fn a_drain_undone_before_activation_is_superseded_and_the_admission_is_in_force() {
    let mut fixture = Fixture::new();
    let drained = fixture.ok(drain("u1"));
    assert_eq!(fixture.state(drained), ChangeState::Accepted);
    let admitted = fixture.ok(admit("u1", "north"));
    assert_eq!(fixture.state(drained), ChangeState::Superseded);
    assert_eq!(fixture.state(admitted), ChangeState::InForce);
    assert_eq!(fixture.0.changes[&drained].done_index, Some(admitted));
}

#[test]
fn a_change_whose_generation_is_replaced_is_in_force_once_the_replacement_is_active() {
    let mut fixture = Fixture::new();
    fixture.ok(admit("u3", "north"));
    fixture.activate();
    let first = fixture.ok(drain("u1"));
    let second = fixture.ok(drain("u2"));
    assert_eq!(fixture.state(first), ChangeState::Accepted);
    fixture.activate();
    let states = [fixture.state(first), fixture.state(second)];
    assert_eq!(states, [ChangeState::InForce; 2]);
}

#[test]
fn an_admission_is_in_force_if_its_domain_is_taken_out_before_activation() {
    let mut fixture = Fixture::new();
    fixture.ok(Command::PutDomain { name: name("west") });
    let admitted = fixture.ok(admit("u3", "west"));
    fixture.ok(Command::DomainOut { name: name("west") });
    assert_eq!(fixture.state(admitted), ChangeState::InForce);
}

#[test]
fn a_generation_number_is_never_reused_for_other_weights() {
    let mut fixture = Fixture::new();
    fixture.ok(drain("u1"));
    let dropped = fixture.service().generations.last().unwrap().number;
    fixture.ok(admit("u1", "north"));
    fixture.ok(drain("u2"));
    let next = fixture.service().generations.last().unwrap().number;
    assert!(next > dropped, "{next} after {dropped}");
}

#[test]
fn a_drained_upstream_is_removed_when_no_generation_names_it() {
    let mut fixture = Fixture::new();
    fixture.ok(drain("u1"));
    fixture.activate();
    assert!(fixture.service().upstreams.contains_key(&name("u1")));
    let keep = fixture.service().generations.last().unwrap().number;
    let service = name("booking");
    fixture.ok(Command::Retire { service, keep });
    assert!(!fixture.service().upstreams.contains_key(&name("u1")));
    // A drained upstream that never got work is removed at once.
    fixture.ok(Command::PutDomain { name: name("west") });
    fixture.ok(Command::DomainOut { name: name("west") });
    fixture.ok(admit("u3", "west"));
    fixture.ok(drain("u3"));
    assert!(!fixture.service().upstreams.contains_key(&name("u3")));
}

#[test]
fn draining_the_last_upstream_is_refused_unless_its_domain_is_out() {
    let mut fixture = Fixture::new();
    fixture.ok(drain("u1"));
    let refused = Err(Refusal::LastUpstream(name("u2")));
    assert_eq!(fixture.apply(drain("u2")), refused);
    let state = fixture.service().upstreams[&name("u2")].state;
    assert_eq!(state, UpstreamState::Admitted, "a refusal changes nothing");
    fixture.ok(Command::DomainOut {
        name: name("south"),
    });
    fixture.ok(drain("u2"));
}

#[test]
fn taking_out_the_last_domain_is_accepted_and_records_the_services_left_empty() {
    let mut fixture = Fixture::new();
    let first = fixture.ok(Command::DomainOut {
        name: name("north"),
    });
    assert!(fixture.0.changes[&first].leaves_empty.is_empty());
    let second = fixture.ok(Command::DomainOut {
        name: name("south"),
    });
    let change = &fixture.0.changes[&second];
    assert_eq!(change.kind, ChangeKind::DomainOut(name("south")));
    assert!(change.leaves_empty.contains(&name("booking")));
}

#[test]
fn the_generation_limit_refuses_admissions_but_not_taking_a_domain_out() {
    let mut fixture = Fixture::new();
    for number in 3.. {
        let command = admit(&format!("u{number}"), "north");
        if let Err(refusal) = fixture.apply(command) {
            assert_eq!(refusal, Refusal::TooManyGenerations(name("booking")));
            break;
        }
        fixture.activate();
        assert!(fixture.service().generations.len() <= MAX_GENERATIONS);
    }
    let before = fixture.0.version;
    fixture.ok(Command::DomainOut {
        name: name("north"),
    });
    assert!(fixture.0.version > before);
    fixture.activate();
    let newest = &fixture.service().generations.last().unwrap().weights;
    assert_eq!(newest.keys().collect::<Vec<_>>(), [&name("u2")]);
}

#[test]
fn a_domain_can_be_brought_back_when_admissions_have_used_their_generations_up() {
    let mut fixture = Fixture::new();
    for number in 3.. {
        if fixture
            .apply(admit(&format!("u{number}"), "north"))
            .is_err()
        {
            break;
        }
        fixture.activate();
    }
    let north = || name("north");
    fixture.ok(Command::DomainOut { name: north() });
    fixture.activate();
    fixture.ok(Command::DomainIn { name: north() });
    fixture.activate();
    assert!(fixture.service().generations.len() <= MAX_GENERATIONS);
}

#[test]
fn no_answers_are_kept_for_the_systems_own_steps() {
    let fixture = Fixture::new();
    let operators: Vec<_> = fixture.0.answers.keys().map(|(o, _)| o.as_str()).collect();
    assert!(!operators.is_empty() && operators.iter().all(|o| *o == "op"));
}

#[test]
fn a_race_with_equal_versions_has_one_winner_and_a_resend_gets_the_first_answer() {
    let mut fixture = Fixture::new();
    let version = fixture.0.version;
    let entry = |operator: &str| Entry::new(operator, "r", Some(version), drain("u1"));
    let index = fixture.0.index;
    assert_eq!(fixture.0.apply(index + 1, &entry("a")), Ok(()));
    let lost = Err(Refusal::Version {
        expected: version,
        actual: index + 1,
    });
    assert_eq!(fixture.0.apply(index + 2, &entry("b")), lost);
    let before = fixture.0.version;
    assert_eq!(fixture.0.apply(index + 3, &entry("a")), Ok(()));
    assert_eq!(fixture.0.apply(index + 4, &entry("b")), lost);
    assert_eq!(fixture.0.version, before);
}

#[test]
fn a_refused_command_changes_only_the_index_and_the_answers() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut fixture = Fixture::new();
    fixture.ok(Command::PutDomain { name: name("west") });
    let mut refused = 0;
    for _ in 0..3_000 {
        let upstream = format!("u{}", rng.random_range(1..6));
        let domain = ["north", "south", "west"][rng.random_range(0..3)];
        let command = match rng.random_range(0..10) {
            0..3 => admit(&upstream, domain),
            3..6 => drain(&upstream),
            6 => Command::DomainOut { name: name(domain) },
            7 => Command::DomainIn { name: name(domain) },
            8 => Command::Activate {
                service: name("booking"),
                generation: fixture.service().last_generation,
            },
            _ => Command::Retire {
                service: name("booking"),
                keep: fixture.service().last_generation.saturating_sub(6),
            },
        };
        let before = fixture.0.clone();
        if fixture.apply(command).is_err() {
            refused += 1;
            let after = Config {
                index: before.index,
                answers: before.answers.clone(),
                ..fixture.0.clone()
            };
            assert_eq!(after, before);
        }
        let generations = &fixture.service().generations;
        assert!(generations.len() <= MAX_GENERATIONS + fixture.0.domains.len());
        assert!(generations.is_sorted_by(|a, b| a.number < b.number));
    }
    assert!(refused > 100, "{refused}");
}

#[test]
fn a_request_id_that_was_used_for_another_command_is_refused_and_not_answered_as_run() {
    let mut config = Config::default();
    let ask = |domain| {
        let command = Command::PutDomain { name: name(domain) };
        Entry::new("anna", "same-id", None, command)
    };
    assert_eq!(config.apply(1, &ask("vejle")), Ok(()));
    let reused = Err(Refusal::RequestReused("same-id".to_owned()));
    assert_eq!(config.apply(2, &ask("horsens")), reused);
    assert!(!config.domains.contains_key(&name("horsens")));
    assert_eq!(config.apply(3, &ask("vejle")), Ok(()), "the resend");
}
