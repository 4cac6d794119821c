//! Two heartbeats of another writer name the addresses of live servers: in one fields are missing, and
//! one has a service that no desired state names.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::deployment::{self, ZONES, client, profile, wait_for_servers};
use super::text;
use crate::client::Outcome;
use crate::record;
use crate::server::Server;
use crate::system::{CALL_TIMEOUT, System};
use crate::wire::call;

const CLIENTS: usize = 64;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time that a request takes: longer than clients wait before they repeat a packet.
const WORK: Duration = Duration::from_millis(450);

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let system = deployment::start()?;
    let mut servers = Vec::new();
    for number in 0..8 {
        let zone = number % ZONES.len();
        let mut profile = profile(&system, number, "booking", ZONES[zone], zone);
        profile.work = WORK;
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
    }
    let plan = deployment::plan(1, "booking", deployment::MAX_FLOWS);
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    thread::sleep(deployment::CONTACT_WINDOW);

    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = client(&system, number, ZONES[number % ZONES.len()])?;
        if client.open() == Outcome::Opened {
            clients.push((number, client));
        }
    }
    record::show(&format!("{} flows are open", clients.len()));
    if has_trouble {
        let incomplete = (r#""service":"booking""#, "");
        let unknown = (
            r#""service":"ghost""#,
            r#""version":"v1","warmupRemainingMs":0,"#,
        );
        write_heartbeat(&system, &servers[0], "i-0badf001", incomplete)?;
        write_heartbeat(&system, &servers[1], "i-0badf002", unknown)?;
    }
    thread::sleep(Duration::from_millis(100));
    let started = Instant::now();
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let workers = clients.into_iter().map(|(number, mut client)| {
            scope.spawn(move || client.request(&format!("c{number}"), DEADLINE))
        });
        let workers: Vec<_> = workers.collect();
        let ended = workers.into_iter().map(|worker| worker.join());
        ended.map(|o| o.unwrap_or(Outcome::Nothing)).collect()
    });
    record::line(&format!("the requests took {:?}", started.elapsed()));
    let answered = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::Answer(_)))
        .count();
    let reset = outcomes
        .iter()
        .filter(|o| **o == Outcome::BalancerReset)
        .count();
    let ran: usize = servers.iter().map(|server| server.runs().len()).sum();
    record::show(&format!(
        "of {} requests on open flows {ran} were run and {answered} were answered; the load balancer \
         reset {reset} flows of live servers",
        outcomes.len()
    ));
    Ok(reset > 0)
}

/// Sends one heartbeat for `id`, a server that does not exist, at the address of `server`, with the given
/// service and further fields.
fn write_heartbeat(
    system: &System,
    server: &Server,
    id: &str,
    (service, fields): (&str, &str),
) -> Result<(), String> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let body = format!(
        r#"{{{service},"address":"{}","zone":"{}",{fields}"concurrency":3,"state":"ready","sequence":1,"born":{}}}"#,
        server.profile.address,
        server.profile.zone,
        now.as_millis(),
    );
    let path = format!("/api/instances/{id}");
    let answer = call(system.control(0), "PUT", &path, &body, CALL_TIMEOUT).map_err(text)?;
    record::show(&format!(
        "disruption: another writer sends {body}: status {}",
        answer.0
    ));
    Ok(())
}
