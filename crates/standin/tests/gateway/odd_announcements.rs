//! Announcements of another writer among those of live upstreams, with all processes. Guards against
//! entry VMs that reset flows of a live upstream, give it no new flows, or end, because an announcement
//! names its address.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use standin::platform::{
    client::{ClientOutcome, Flow},
    system::System,
    upstream::ResponseDelay,
    wire,
};

use super::system::{DEADLINE, TestSystem, wait_for};

/// Time that upstreams take so long to answer that entry VMs probe them.
const SLOW_ANSWER: Duration = Duration::from_millis(350);

/// Values of fields that no upstream has, each a part of an announcement.
const REFUSED: [&str; 6] = [
    r#""warmupRemainingMs":0,"sequence":1,"born":1785196633048"#,
    r#""version":"v1","sequence":1,"born":1785196633048"#,
    r#""version":[[[]]],"warmupRemainingMs":0,"sequence":1,"born":1785196633048"#,
    r#""version":"v1","warmupRemainingMs":-1,"sequence":1,"born":1785196633048"#,
    r#""version":"v1","warmupRemainingMs":0,"sequence":1,"born":9223372036854775807"#,
    r#""version":"v1","warmupRemainingMs":0,"sequence":18446744073709551615,"born":5"#,
];

/// Names of services that no plan defines, in JSON.
const UNDEFINED: [&str; 4] = ["ghost", "a b", r"\u0000", r"\n"];

/// Returns an announcement at `address` for `service`, with the fields `rest`.
fn announcement(address: &str, service: &str, rest: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"north","concurrency":2,"state":"ready",{rest}}}"#
    )
}

/// Returns the end of a valid announcement whose start is later than that of each upstream.
fn valid_rest() -> String {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let born = since_1970.as_millis() + 60_000;
    format!(r#""version":"v1","warmupRemainingMs":0,"sequence":1,"born":{born}"#)
}

/// Sends an announcement for upstream `id` to each control VM, and checks that all answer `status`.
fn announce(system: &System, id: &str, body: &str, status: u16) {
    for control in system.api_addresses() {
        let answer = wire::call(control, "PUT", &format!("/api/instances/{id}"), body);
        assert_eq!(
            answer.map(|(status, _)| status).ok(),
            Some(status),
            "{body}"
        );
    }
}

/// Sends odd announcements at the address of each upstream, each for an id of its own.
fn announce_oddly(system: &System) {
    for number in 1..=3 {
        let address = system.upstream(number, 1).to_string();
        for (index, rest) in REFUSED.iter().enumerate() {
            let body = announcement(&address, "booking", rest);
            announce(system, &format!("i-bad{number}{index}"), &body, 400);
        }
        for (index, service) in UNDEFINED.iter().enumerate() {
            let body = announcement(&address, service, &valid_rest());
            announce(system, &format!("i-dad{number}{index}"), &body, 200);
        }
    }
}

/// Sends a slow request on each flow, so that entry VMs probe the upstreams, and opens new flows.
fn check_service(system: &TestSystem, flows: &mut [Flow]) {
    for upstream in &system.upstreams {
        upstream.set_response_delay(ResponseDelay::Delayed(SLOW_ANSWER));
    }
    for flow in &mut flows[..3] {
        let got = system.client.ask(system.entry(0), flow, 4 * DEADLINE);
        assert!(matches!(got, ClientOutcome::Answer(_)), "{got:?}");
    }
    for upstream in &system.upstreams {
        upstream.set_response_delay(ResponseDelay::Immediate);
    }
    for flow in flows {
        system.ask(1, flow);
    }
    for number in 0..10 {
        system.serve_one(number % 2);
    }
}

#[test]
fn odd_announcements_at_the_addresses_of_live_upstreams_change_nothing() {
    let mut system = TestSystem::start();
    let mut flows: Vec<_> = (0..12).map(|n| system.serve_one(n % 2)).collect();
    announce_oddly(&system);
    check_service(&system, &mut flows);
    // Each process is started again while the announcements are remembered.
    for number in 0..2 {
        system.entries[number].kill();
        system.entries[number].restart().unwrap();
        wait_for("the entry VM is ready", || {
            system.is_ready(u8::try_from(number).unwrap(), 3)
        });
    }
    announce_oddly(&system);
    check_service(&system, &mut flows);
    for number in 0..3 {
        system.controls[number].kill();
        system.controls[number].restart().unwrap();
        wait_for("the plan is read", || system.read_plan().is_some());
    }
    system.wait_until_ready();
    check_service(&system, &mut flows);
    let parts: &mut System = &mut system;
    let mut all = parts.controls.iter_mut().chain(&mut parts.entries);
    assert!(all.all(|process| process.is_running()));
}
