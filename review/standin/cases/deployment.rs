//! A small deployment like that of Lysgård: four zones, four control VMs and six entry VMs.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use super::text;
use crate::client::Client;
use crate::server::{Profile, Server};
use crate::system::{Layout, System};

pub const ZONES: [&str; 4] = ["aarhus-a", "aarhus-b", "vejle", "horsens"];

const ENTRIES: [&str; 6] = [
    "aarhus-a", "aarhus-a", "aarhus-b", "aarhus-b", "vejle", "horsens",
];

/// Route of the service `booking`.
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);

/// Bounds of the deployment that the cases use.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
pub const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
pub const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// Number of flows that a server holds, unless the case says otherwise.
pub const MAX_FLOWS: usize = 2_000;

pub fn start() -> Result<System, String> {
    let layout = Layout {
        controls: &ZONES,
        entries: &ENTRIES,
    };
    System::start(&layout).map_err(text)
}

/// Returns a desired state whose only route leads to `service`.
pub fn plan(version: u64, service: &str, max_flows: usize) -> String {
    let service_text = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/healthz","maxFlows":{max_flows},"protocol":"h1","tlsEnabled":false,"warmupS":2.0,"warmupPerS":0.0}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"{}","prefix":"/{}/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":250,"priority":1,"service":"{service}","maxAttempts":2}}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        ROUTE.ip(),
        ROUTE.port(),
        service_text("booking"),
        service_text("booking-next"),
    )
}

/// Returns the profile of server `number` in `zone`, which calls control VM `control` first.
pub fn profile(
    system: &System,
    number: usize,
    service: &str,
    zone: &str,
    control: usize,
) -> Profile {
    let mut controls = system.control_list();
    controls.rotate_left(control);
    Profile {
        number: 0x7f3a_9100 + number as u64,
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: system.server(number),
        client_port: system.client_port(),
        controls,
        work: Duration::from_millis(40),
        max_flows: MAX_FLOWS,
        lost_to: Arc::default(),
    }
}

/// Waits until all entry VMs are ready and know the given servers.
pub fn wait_for_servers(system: &System, servers: &[&Server]) -> Result<(), String> {
    let known = servers
        .iter()
        .map(|server| format!("\"started_ms\":{}", server.born));
    match system.wait_for_entries(&known.collect::<Vec<_>>()) {
        true => Ok(()),
        false => Err("the entry VMs did not become ready".to_owned()),
    }
}

/// Creates client `number` in `zone`, behind the routers.
pub fn client(system: &System, number: usize, zone: &str) -> Result<Client, String> {
    let address = system.client(number);
    let port = 40_001 + number as u16;
    Client::new(address, port, ROUTE, &system.routers, zone).map_err(text)
}
