//! Admission of new flows by the dispatcher: connections, slow start of a cold upstream, takeover.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

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

/// Flows that the upstream can hold.
const CONNECTIONS: u32 = 2_000;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A single VM that is the dispatcher of one upstream.
struct Dispatcher {
    now: Instant,
    view: View,
    config: Arc<Config>,
    load: Load,
    announcement: Announcement,
}

impl Dispatcher {
    fn new() -> Self {
        let announcement = Announcement {
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
                name: announcement.domain.clone(),
            },
            Command::PutService {
                name: announcement.service.clone(),
                service: Service::at("10.9.0.1:443".parse().unwrap()),
            },
            Command::Admit {
                service: announcement.service.clone(),
                upstream: announcement.upstream.clone(),
                announced: announcement.admitted(),
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
            announcement,
        }
    }

    /// Creates a dispatcher whose takeover is over and whose upstream is warm.
    fn warmed_up() -> Self {
        let mut dispatcher = Self::new();
        dispatcher.run_ms(4_000);
        dispatcher.warm_up();
        dispatcher
    }

    /// Admits and ends flows until the rate has grown to the upstream's connections.
    fn warm_up(&mut self) {
        for _ in 0..150 {
            let admitted = self.count_admitted(3_000);
            self.end_flows(admitted);
            self.run_ms(100);
        }
    }

    fn end_flows(&mut self, flows: u32) {
        for _ in 0..flows {
            self.load.end_flow(
                self.now,
                &self.announcement.service,
                &self.announcement.upstream,
            );
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
                announcement,
            } = self;
            let context = Context {
                now: *now,
                view,
                config,
                is_config_fresh: true,
            };
            let mut out = Vec::new();
            load.on_tick(context, &mut out);
            if now.0 % 1_000_000 == 0 {
                load.on_announce(context, announcement, &mut out);
            }
        }
    }

    fn announce(&mut self) {
        let Self {
            now,
            view,
            config,
            load,
            announcement,
        } = self;
        let context = Context {
            now: *now,
            view,
            config,
            is_config_fresh: true,
        };
        load.on_announce(context, announcement, &mut Vec::new());
    }

    fn admit(&mut self) -> Admission {
        self.load.admit_flow(
            self.now,
            &self.announcement.service,
            &self.announcement.upstream,
        )
    }

    /// Returns how many of `tries` new flows are admitted now.
    fn count_admitted(&mut self, tries: u32) -> u32 {
        (0..tries)
            .map(|_| u32::from(self.admit() == Admission::Admitted))
            .sum()
    }
}

#[test]
fn an_upstream_gets_as_many_flows_as_its_connections() {
    let mut dispatcher = Dispatcher::warmed_up();
    assert_eq!(dispatcher.count_admitted(3_000), CONNECTIONS);
    assert_eq!(dispatcher.admit(), Admission::Full);
    dispatcher.end_flows(5);
    assert_eq!(dispatcher.count_admitted(100), 5);
}

#[test]
fn a_cold_start_bounds_new_flows_in_each_window() {
    let mut dispatcher = Dispatcher::warmed_up();
    dispatcher.announcement.incarnation += 1;
    dispatcher.announce();
    let first = dispatcher.count_admitted(1_000);
    assert!(first <= CONNECTIONS / 100, "{first} flows admitted at once");
    assert!(first > 0);
    dispatcher.run_ms(100);
    dispatcher.warm_up();
    assert_eq!(
        dispatcher.count_admitted(3_000),
        CONNECTIONS - first,
        "the upstream is not back at its full rate"
    );
}

#[test]
fn a_new_dispatcher_waits_for_the_flow_counts_of_all_vms() {
    let mut dispatcher = Dispatcher::new();
    dispatcher.run_ms(1_500);
    assert_eq!(dispatcher.admit(), Admission::NotDispatcher);
    let Dispatcher {
        load, announcement, ..
    } = &mut dispatcher;
    load.record_flow_count(
        &name("vm-1"),
        &announcement.service,
        &announcement.upstream,
        CONNECTIONS - 3,
    );
    let mut admitted = 0;
    for _ in 0..100 {
        admitted += dispatcher.count_admitted(10);
        dispatcher.run_ms(100);
    }
    assert_eq!(admitted, 3);
}

#[test]
fn an_upstream_that_leaves_or_stops_announcing_itself_gets_no_new_flow() {
    let mut dispatcher = Dispatcher::warmed_up();
    dispatcher.announcement.leaving = true;
    dispatcher.announce();
    assert_eq!(dispatcher.admit(), Admission::Unavailable);
    let mut dispatcher = Dispatcher::warmed_up();
    // An announcement with another address does not count for the admitted upstream.
    dispatcher.announcement.request_address.set_port(9);
    dispatcher.run_ms(6_000);
    assert_eq!(dispatcher.admit(), Admission::Unavailable);
}

#[test]
fn a_vm_that_is_not_the_dispatcher_admits_no_flow() {
    let mut dispatcher = Dispatcher::warmed_up();
    let other = name("other");
    let admission =
        dispatcher
            .load
            .admit_flow(dispatcher.now, &other, &dispatcher.announcement.upstream);
    assert_eq!(admission, Admission::NotDispatcher);
}
