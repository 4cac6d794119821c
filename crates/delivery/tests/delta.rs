//! Applying a delta yields the same configuration as sending the whole one.

use std::sync::Arc;

use bolero::check;
use delivery::delta::{Delta, History, MAX_DELTAS};
use model::{
    command::{Command, Entry},
    config::{Config, Service, Upstream, UpstreamState},
    name::Name,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of seeds, each of which runs random commands.
const SEEDS: u32 = 200;

/// Number of commands in each run.
const COMMANDS: u64 = 40;

fn name(text: &str, number: u8) -> Name {
    Name::new(format!("{text}-{number}")).expect("a name")
}

fn command(random: &mut impl Rng) -> Command {
    let service = name("service", random.random_range(0..3));
    let upstream = name("upstream", random.random_range(0..4));
    let domain = name("domain", random.random_range(0..2));
    match random.random_range(0..9) {
        0 => Command::PutDomain { name: domain },
        1 | 2 => Command::PutService {
            service: Service::at(([10, 9, 0, 1], random.random_range(1..9)).into()),
            name: service,
        },
        3 => Command::RemoveService { name: service },
        4 | 5 => Command::Admit {
            service,
            upstream,
            announced: Upstream {
                domain,
                flow_address: ([10, 1, 0, 1], 1).into(),
                request_address: ([10, 1, 0, 1], 2).into(),
                slots: 3,
                connections: 2_000,
                state: UpstreamState::Admitted,
            },
        },
        6 => Command::Drain { service, upstream },
        7 => Command::DomainOut { name: domain },
        _ => Command::Activate {
            service,
            generation: random.random_range(1..6),
        },
    }
}

/// Returns the configurations after each of some random commands, including refused ones.
fn run(seed: u32) -> Vec<Config> {
    let mut random = Pcg64Mcg::seed_from_u64(seed.into());
    let mut config = Config::default();
    let mut all = vec![config.clone()];
    for index in 1..=COMMANDS {
        let entry = Entry::new("op", index.to_string(), None, command(&mut random));
        drop(config.apply(index, &entry));
        config.answers.clear();
        all.push(config.clone());
    }
    all
}

#[test]
fn applying_a_delta_yields_the_newer_configuration() {
    check!()
        .exhaustive()
        .with_generator(0..SEEDS)
        .for_each(|seed| {
            let all = run(*seed);
            for pair in all.windows(2) {
                let delta = Delta::between(&pair[0], &pair[1]);
                assert_eq!(delta.apply(&pair[0]).as_ref(), Ok(&pair[1]));
            }
            // A delta over many commands works as well.
            let (first, last) = (&all[0], &all[all.len() - 1]);
            let delta = Delta::between(first, last);
            assert_eq!(delta.apply(first).as_ref(), Ok(last));
        });
}

#[test]
fn a_delta_for_another_configuration_is_not_applied() {
    let all = run(1);
    let delta = Delta::between(&all[4], &all[5]);
    assert!(delta.apply(&all[3]).is_err());
    let mut other = all[4].clone();
    other.cluster = 9;
    assert!(delta.apply(&other).is_err());
}

#[test]
fn a_history_has_deltas_from_each_kept_index_and_from_no_other() {
    let mut config = Config::default();
    let mut history = History::new(Arc::new(config.clone()));
    let mut all = vec![config.clone()];
    let last = u64::try_from(MAX_DELTAS).expect("a small number") + 6;
    for index in 1..=last {
        let command = Command::PutDomain {
            name: name("domain", u8::try_from(index).expect("a small number")),
        };
        let entry = Entry::new("op", index.to_string(), None, command);
        config.apply(index, &entry).expect("a good command");
        config.answers.clear();
        history.push(Arc::new(config.clone()));
        all.push(config.clone());
    }
    for (index, config) in (0_u64..).zip(&all) {
        let Some(deltas) = history.since(index) else {
            assert!(index < 6 || index == last, "no deltas from index {index}");
            continue;
        };
        let made = deltas.iter().fold(config.clone(), |config, delta| {
            delta.apply(&config).expect("the next one")
        });
        assert_eq!(made, *all.last().expect("some"));
    }
    assert!(history.since(last + 1).is_none());
}
