//! The sizes of a deployment, and the configuration that admits its upstreams.

use model::{
    command::{Command, Entry},
    config::{Config, Service},
};

use super::{booking, domain, upstream::Upstream};

/// The sizes of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) domains: usize,
    pub(crate) vms: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u16,
    pub(crate) service_us: u64,
}

impl Shape {
    pub(crate) const LYSGARD: Self = Self {
        domains: 4,
        vms: 9,
        upstreams: 14,
        slots: 3,
        service_us: 20_000,
    };
    pub(crate) const BLUE_MAHOE: Self = Self {
        domains: 3,
        vms: 9,
        upstreams: 14,
        slots: 2,
        service_us: 20_000,
    };
}

pub(super) fn configure(shape: Shape, upstreams: &[Upstream]) -> Config {
    let mut commands = vec![Command::Found { cluster: 7 }];
    for n in 0..shape.domains {
        commands.push(Command::PutDomain { name: domain(n) });
    }
    commands.push(Command::PutService {
        name: booking(),
        service: Service::at("10.9.0.1:443".parse().unwrap()),
    });
    for upstream in upstreams {
        commands.push(Command::Admit {
            service: booking(),
            upstream: upstream.name.clone(),
            announced: upstream.announcement(&booking()).admitted(),
        });
    }
    let mut config = Config::default();
    for (n, command) in commands.into_iter().enumerate() {
        let index = n as u64 + 1;
        let entry = Entry::new("op", index.to_string(), None, command);
        config.apply(index, &entry).unwrap();
    }
    config
}
