//! A calm day on which a few datagrams are lost on their way from servers to clients: the SYN+ACK of
//! a flow.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::deployment::{self, ZONES, client, profile, wait_for_servers};
use super::text;
use crate::client::Outcome;
use crate::record;
use crate::server::Server;

const CLIENTS: usize = 200;

/// One in this number of clients loses a datagram: 2.5% of the flows.
const LOSS: usize = 40;

/// Pause between the start of two clients, and between the opening of a flow and its first request.
const PACE: Duration = Duration::from_millis(60);
const PAUSE: Duration = Duration::from_millis(500);

const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let system = deployment::start()?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        clients.push(client(&system, number, ZONES[number % ZONES.len()])?);
    }
    let lost = clients
        .iter()
        .skip(LOSS / 2)
        .step_by(LOSS)
        .map(|client| client.address);
    let lost = Arc::new(Mutex::new(lost.collect()));
    let mut servers = Vec::new();
    for number in 0..14 {
        let zone = number % ZONES.len();
        let mut profile = profile(&system, number, "booking", ZONES[zone], zone);
        if has_trouble {
            profile.lost_to = Arc::clone(&lost);
        }
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
    }
    let plan = deployment::plan(1, "booking", deployment::MAX_FLOWS);
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    thread::sleep(deployment::CONTACT_WINDOW);

    let outcomes = thread::scope(|scope| {
        let mut workers = Vec::new();
        for (number, mut client) in clients.into_iter().enumerate() {
            workers.push(scope.spawn(move || {
                let opened = client.open();
                if opened != Outcome::Opened {
                    return (opened, Outcome::Nothing);
                }
                client.pause(PAUSE);
                (opened, client.request(&format!("c{number}"), DEADLINE))
            }));
            thread::sleep(PACE);
        }
        let ended = workers.into_iter().filter_map(|worker| worker.join().ok());
        ended.collect::<Vec<_>>()
    });
    let opened = outcomes
        .iter()
        .filter(|(opened, _)| *opened == Outcome::Opened)
        .count();
    let answered = outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::Answer(_)))
        .count();
    let reset = outcomes
        .iter()
        .filter(|(_, o)| *o == Outcome::ServerReset)
        .count();
    let ran: usize = servers.iter().map(|server| server.runs().len()).sum();
    record::show(&format!(
        "{opened} flows were opened, {ran} requests were run, {answered} were answered; {reset} flows got a \
         reset from a server at which they are not open"
    ));
    Ok(reset > 0)
}
