//! A few servers are cut off from all machines of the system for some seconds. Flows at them are used again
//! more than `contactWindowMs` after the end of the cut.

use std::thread;
use std::time::{Duration, Instant};

use super::deployment::{self, CONTACT_WINDOW, ZONES, client, profile, wait_for_servers};
use super::text;
use crate::client::Outcome;
use crate::record;
use crate::server::Server;

const CLIENTS: usize = 64;

/// Servers, and how many of them are cut off.
const SERVERS: usize = 8;
const CUT: usize = 2;

/// Length of the cut.
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// Time after the contact window at which the clients use their flows again.
const AFTER: Duration = Duration::from_millis(500);

const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let system = deployment::start()?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let zone = number % ZONES.len();
        let profile = profile(&system, number, "booking", ZONES[zone], zone);
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
    }
    let plan = deployment::plan(1, "booking", deployment::MAX_FLOWS);
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    thread::sleep(CONTACT_WINDOW);

    let cut_ids: Vec<String> = servers[..CUT].iter().map(|s| s.profile.id()).collect();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = client(&system, number, ZONES[number % ZONES.len()])?;
        if client.open() == Outcome::Opened
            && let Outcome::Answer(server) = client.request(&format!("c{number}-0"), DEADLINE)
        {
            let is_cut = cut_ids.iter().any(|id| server.starts_with(id));
            clients.push((number, client, is_cut));
        }
    }
    let at_cut = clients.iter().filter(|(_, _, is_cut)| *is_cut).count();
    record::show(&format!(
        "{} flows are open, {at_cut} of them at {cut_ids:?}",
        clients.len()
    ));
    if has_trouble {
        record::show(&format!(
            "disruption: {cut_ids:?} are cut off for {CUT_TIME:?}"
        ));
    }
    for server in &servers[..CUT] {
        server.set_cut(has_trouble);
    }
    thread::sleep(CUT_TIME);
    let healed = Instant::now();
    for server in &servers[..CUT] {
        server.set_cut(false);
    }
    thread::sleep(CONTACT_WINDOW + AFTER);

    record::show(&format!(
        "{:?} after the cut the flows are used again",
        healed.elapsed()
    ));
    let outcomes: Vec<(bool, Outcome)> = thread::scope(|scope| {
        let workers = clients.into_iter().map(|(number, mut client, is_cut)| {
            scope.spawn(move || (is_cut, client.request(&format!("c{number}-1"), DEADLINE)))
        });
        let workers: Vec<_> = workers.collect();
        let ended = workers.into_iter().filter_map(|worker| worker.join().ok());
        ended.collect()
    });
    let reset = |wanted: bool| {
        let resets = outcomes
            .iter()
            .filter(|(is_cut, o)| *is_cut == wanted && *o == Outcome::BalancerReset);
        resets.count()
    };
    record::show(&format!(
        "the load balancer reset {} of {at_cut} flows of servers that had been back for {:?}, and {} of {} \
         others",
        reset(true),
        CONTACT_WINDOW + AFTER,
        reset(false),
        outcomes.len() - at_cut
    ));
    Ok(reset(true) + reset(false) > 0)
}
