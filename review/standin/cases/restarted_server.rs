//! Servers start again under their ids, while a control VM that got the stops of their earlier lifetimes
//! had never heard of them. Then the entry VMs are restarted in turn.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::deployment::{self, DRAIN_TIMEOUT, ZONES, client, profile, wait_for_servers};
use super::text;
use crate::client::Outcome;
use crate::record;
use crate::server::Server;
use crate::system::HEARTBEAT;

/// Servers, and how many of them are replaced.
const SERVERS: usize = 14;
const REPLACED: usize = 7;

/// Clients that keep a flow open.
const CLIENTS: usize = 48;

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let mut system = deployment::start()?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let zone = number % ZONES.len();
        // The servers that will be replaced have all picked the first control VM. Heartbeats come at
        // different times.
        let control = if number < REPLACED { 0 } else { zone };
        let profile = profile(&system, number, "booking", ZONES[zone], control);
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
        thread::sleep(HEARTBEAT / REPLACED as u32);
    }
    let plan = deployment::plan(1, "booking", deployment::MAX_FLOWS);
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;

    // Planned work: half of the servers are replaced by new versions under the same ids.
    let old: Vec<Server> = servers.drain(..REPLACED).collect();
    let again: Vec<_> = old.iter().map(|server| server.profile.clone()).collect();
    for server in &old {
        server.drain();
    }
    thread::sleep(DRAIN_TIMEOUT + Duration::from_millis(300));
    if has_trouble {
        // The control VM that gets their heartbeats is restarted meanwhile.
        system.terminate_control(0);
        thread::sleep(Duration::from_millis(100));
    }
    for server in old {
        server.leave();
    }
    thread::sleep(Duration::from_millis(800));
    if has_trouble {
        system.start_control(0).map_err(text)?;
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut signatures = Vec::new();
    for profile in again {
        signatures.push(profile.id());
        servers.push(Server::start(profile, Duration::from_millis(2_000)).map_err(text)?);
    }
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    // The servers get warm, and all machines are in touch again.
    thread::sleep(deployment::CONTACT_WINDOW + Duration::from_millis(500));

    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = client(&system, number, ZONES[number % ZONES.len()])?;
        if client.open() == Outcome::Opened
            && let Outcome::Answer(server) = client.request(&format!("c{number}-0"), DEADLINE)
        {
            let is_there = signatures.iter().any(|id| server.starts_with(id));
            clients.push((number, client, is_there));
        }
    }
    let at_restarted = clients.iter().filter(|(_, _, is_there)| *is_there).count();
    record::show(&format!(
        "{} flows are open, {at_restarted} of them at restarted servers",
        clients.len()
    ));
    if at_restarted == 0 {
        return Err("no flow reached a restarted server".to_owned());
    }

    // Planned work: the entry VMs are restarted in turn, while the clients keep using their flows.
    let is_over = AtomicBool::new(false);
    let resets = thread::scope(|scope| {
        let workers = clients.into_iter().map(|(number, mut client, is_there)| {
            let is_over = &is_over;
            scope.spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    thread::sleep(PAUSE);
                    count += 1;
                    match client.request(&format!("c{number}-{count}"), DEADLINE) {
                        Outcome::Answer(_) => {}
                        Outcome::BalancerReset => return (is_there, true),
                        _ => return (is_there, false),
                    }
                }
                client.close();
                (is_there, false)
            })
        });
        let workers: Vec<_> = workers.collect();
        let started = Instant::now();
        for number in 0..system.entry_count() {
            if system.restart_entry(number).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(1_200));
        }
        thread::sleep(Duration::from_millis(2_000));
        record::line(&format!("the restarts took {:?}", started.elapsed()));
        is_over.store(true, Ordering::SeqCst);
        let ended = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or_default());
        ended.collect::<Vec<_>>()
    });
    let reset = |wanted: bool| {
        resets
            .iter()
            .filter(|(there, r)| *there == wanted && *r)
            .count()
    };
    record::show(&format!(
        "flows that the load balancer reset while their server lived: {} of {at_restarted} at \
         restarted servers, {} of {} elsewhere",
        reset(true),
        reset(false),
        resets.len() - at_restarted
    ));
    Ok(reset(true) + reset(false) > 0)
}
