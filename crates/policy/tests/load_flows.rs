//! Admission of new flows by the steward: connections, the pace of a cold upstream, take-over.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use std::sync::Arc;

use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::{Config, Service},
    name::Name,
};
use policy::{
    io::Context,
    load::{Admission, Load},
    time::Instant,
    view::{View, Vm},
};

/// Connections of the upstream.
const CONNECTIONS: u32 = 2_000;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A VM alone that is the steward of one upstream.
struct Dispatcher {
    now: Instant,
    view: View,
    config: Arc<Config>,
    load: Load,
    said: Announcement,
}

impl Dispatcher {
    fn new() -> Self {
        let said = Announcement {
            service: name("feeds"),
            upstream: name("up"),
            domain: name("north"),
            flow_address: "10.1.0.1:6080".parse().unwrap(),
            request_address: "10.1.0.1:5683".parse().unwrap(),
            slots: 3,
            connections: CONNECTIONS,
            incarnation: 1,
            held_flows: 0,
            warmth_percent: 100,
            leaving: false,
        };
        let mut config = Config::default();
        let commands = [
            Command::PutDomain {
                name: said.domain.clone(),
            },
            Command::PutService {
                name: said.service.clone(),
                service: Service::at("10.9.0.1:443".parse().unwrap()),
            },
            Command::Admit {
                service: said.service.clone(),
                upstream: said.upstream.clone(),
                announced: said.admitted(),
            },
        ];
        for (n, command) in commands.into_iter().enumerate() {
            let index = n as u64 + 1;
            config
                .apply(index, &Entry::new("op", index.to_string(), None, command))
                .unwrap();
        }
        let address = "10.0.0.1:7000".parse().unwrap();
        Self {
            now: Instant::ZERO,
            view: View::new(Vm::new(name("vm-1"), name("north"), address)),
            config: Arc::new(config),
            load: Load::new(1),
            said,
        }
    }

    /// A steward that has learned all and whose upstream is warm.
    fn warm() -> Self {
        let mut steward = Self::new();
        steward.run_ms(4_000);
        steward.warm_up();
        steward
    }

    /// Has flows come and go until the pace has grown to the connections.
    fn warm_up(&mut self) {
        for _ in 0..150 {
            let admitted = self.admitted(3_000);
            self.end(admitted);
            self.run_ms(100);
        }
    }

    fn end(&mut self, flows: u32) {
        for _ in 0..flows {
            self.load
                .end_flow(self.now, &self.said.service, &self.said.upstream);
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus_ms(10);
            let Self {
                now,
                view,
                config,
                load,
                said,
            } = self;
            let context = Context {
                now: *now,
                view,
                config,
                fresh: true,
            };
            let mut out = Vec::new();
            load.on_tick(context, &mut out);
            if now.0 % 1_000_000 == 0 {
                load.on_announce(context, said, &mut out);
            }
        }
    }

    fn announce(&mut self) {
        let Self {
            now,
            view,
            config,
            load,
            said,
        } = self;
        let context = Context {
            now: *now,
            view,
            config,
            fresh: true,
        };
        load.on_announce(context, said, &mut Vec::new());
    }

    fn admit(&mut self) -> Admission {
        self.load
            .admit_flow(self.now, &self.said.service, &self.said.upstream)
    }

    /// How many of `tries` new flows are admitted now.
    fn admitted(&mut self, tries: u32) -> u32 {
        (0..tries)
            .map(|_| u32::from(self.admit() == Admission::Admitted))
            .sum()
    }
}

#[test]
fn an_upstream_gets_exactly_its_connections() {
    let mut steward = Dispatcher::warm();
    assert_eq!(steward.admitted(3_000), CONNECTIONS);
    assert_eq!(steward.admit(), Admission::Full);
    steward.end(5);
    assert_eq!(steward.admitted(100), 5);
}

#[test]
fn a_cold_start_bounds_new_flows_in_each_window() {
    let mut steward = Dispatcher::warm();
    steward.said.incarnation += 1;
    steward.announce();
    let first = steward.admitted(1_000);
    assert!(first <= CONNECTIONS / 100, "{first} flows at once");
    assert!(first > 0);
    steward.run_ms(100);
    steward.warm_up();
    assert_eq!(
        steward.admitted(3_000),
        CONNECTIONS - first,
        "it is warm again"
    );
}

#[test]
fn a_new_steward_waits_for_the_homes_counts() {
    let mut steward = Dispatcher::new();
    steward.run_ms(1_500);
    assert_eq!(steward.admit(), Admission::NotSteward);
    let Dispatcher { load, said, .. } = &mut steward;
    load.count_flows(
        &name("vm-1"),
        &said.service,
        &said.upstream,
        CONNECTIONS - 3,
    );
    let mut admitted = 0;
    for _ in 0..100 {
        admitted += steward.admitted(10);
        steward.run_ms(100);
    }
    assert_eq!(admitted, 3);
}

#[test]
fn an_upstream_that_no_longer_announces_itself_or_leaves_gets_no_new_flow() {
    let mut steward = Dispatcher::warm();
    steward.said.leaving = true;
    steward.announce();
    assert_eq!(steward.admit(), Admission::Gone);
    let mut steward = Dispatcher::warm();
    // Announcements of another address are not of the upstream that was admitted.
    steward.said.request_address.set_port(9);
    steward.run_ms(6_000);
    assert_eq!(steward.admit(), Admission::Gone);
}

#[test]
fn a_vm_that_is_not_the_steward_admits_nothing() {
    let mut steward = Dispatcher::warm();
    let other = name("other");
    let admission = steward
        .load
        .admit_flow(steward.now, &other, &steward.said.upstream);
    assert_eq!(admission, Admission::NotSteward);
}
