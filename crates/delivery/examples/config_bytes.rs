//! Prints the encoded size of the updates that an entry VM receives when an upstream is drained, as
//! a whole configuration and as deltas, by the number of services: `cargo run -p delivery --example
//! config_bytes`.

use std::error::Error;

use delivery::{
    delta::{Delta, Update},
    stream::encode,
};
use model::{
    command::{Command, Entry},
    config::{Config, Service, Upstream, UpstreamState},
    name::Name,
};

/// Number of upstreams of each service.
const UPSTREAMS: u8 = 7;

fn apply(config: &mut Config, command: Command) -> Result<(), Box<dyn Error>> {
    let index = config.index + 1;
    config.apply(index, &Entry::new("op", index.to_string(), None, command))?;
    config.answers.clear();
    Ok(())
}

/// Activates the newest generation of `service`.
fn activate(config: &mut Config, service: Name) -> Result<(), Box<dyn Error>> {
    let newest = config.services[&service].generations.last();
    let generation = newest.map_or(0, |generation| generation.number);
    apply(
        config,
        Command::Activate {
            service,
            generation,
        },
    )
}

fn name(text: &str, number: u32) -> Result<Name, Box<dyn Error>> {
    Ok(Name::new(format!("{text}-{number}"))?)
}

/// Returns a configuration with `services` services, all of whose changes are in force and removed
/// from the list of changes.
fn config(services: u32) -> Result<Config, Box<dyn Error>> {
    let mut config = Config::default();
    let domain = name("domain", 1)?;
    let name_of_domain = domain.clone();
    apply(&mut config, Command::PutDomain { name: domain })?;
    for number in 0..services {
        let service = name("service", number)?;
        let [_, _, high, low] = number.to_be_bytes();
        let put = Command::PutService {
            name: service.clone(),
            service: Service::at(([10, 9, high, low], 443).into()),
        };
        apply(&mut config, put)?;
        for upstream in 0..UPSTREAMS {
            let announced = Upstream {
                domain: name_of_domain.clone(),
                flow_address: ([10, high, low, upstream], 9_001).into(),
                request_address: ([10, high, low, upstream], 9_002).into(),
                slots: 3,
                connections: 2_000,
                state: UpstreamState::Admitted,
            };
            let admit = Command::Admit {
                service: service.clone(),
                upstream: name("upstream", upstream.into())?,
                announced,
            };
            apply(&mut config, admit)?;
        }
        activate(&mut config, service)?;
    }
    config.changes.clear();
    Ok(config)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("services  whole (bytes)  drain (bytes)  activate (bytes)");
    for services in [1, 10, 100, 900] {
        let before = config(services)?;
        let service = name("service", 0)?;
        let mut drained = before.clone();
        let drain = Command::Drain {
            service: service.clone(),
            upstream: name("upstream", 0)?,
        };
        apply(&mut drained, drain)?;
        let mut active = drained.clone();
        activate(&mut active, service)?;
        let whole = encode(&Update::Whole(before.clone().into()))?.len();
        let delta = |old, new| encode(&Update::Delta(Delta::between(old, new).into()));
        println!(
            "{services:8}  {whole:13}  {:13}  {:16}",
            delta(&before, &drained)?.len(),
            delta(&drained, &active)?.len()
        );
    }
    Ok(())
}
