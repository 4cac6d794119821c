//! The desired state moves a route to another service while the servers of the old service are full,
//! so that they leave opening packets without an answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::deployment::{self, DOWNGRADE_SLACK, ROUTE, client, profile, wait_for_servers};
use super::text;
use crate::client::{Client, Outcome};
use crate::record;
use crate::server::Server;

/// Zone with a single entry VM, through which all flows that are judged pass.
const ZONE: &str = "vejle";

/// Zone of the clients that fill the servers.
const OTHER_ZONE: &str = "aarhus-b";

/// Number of flows that a server holds.
const MAX_FLOWS: usize = 60;

/// Clients that open a flow while the servers are full.
const WAITING: usize = 24;

/// Time between two of the later ones.
const PACE: Duration = Duration::from_millis(15);

const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let system = deployment::start()?;
    let mut servers = Vec::new();
    for (number, service) in ["booking", "booking", "booking-next", "booking-next"]
        .iter()
        .enumerate()
    {
        let mut profile = profile(&system, number, service, ZONE, number);
        profile.max_flows = MAX_FLOWS;
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
    }
    let plan = deployment::plan(1, "booking", MAX_FLOWS);
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    thread::sleep(deployment::CONTACT_WINDOW);

    // A few clients of the zone keep a flow open and use it.
    let mut next = 0;
    let mut make = |zone: &str| -> Result<Client, String> {
        next += 1;
        client(&system, next, zone)
    };
    let mut feeds = Vec::new();
    for _ in 0..8 {
        let mut feed = make(ZONE)?;
        if feed.open() == Outcome::Opened {
            feeds.push(feed);
        }
    }
    // Many clients of another zone come at once, and the servers are full.
    let mut crowd = Vec::new();
    for _ in 0..2 * MAX_FLOWS {
        crowd.push(make(OTHER_ZONE)?);
    }
    let waiting = (0..WAITING)
        .map(|_| make(ZONE))
        .collect::<Result<Vec<_>, _>>()?;
    let mut probes = (0..4).map(|_| make(ZONE)).collect::<Result<Vec<_>, _>>()?;

    let (old, new) = servers.split_at(2);
    let full = || old.iter().all(|server| server.open_flows() >= MAX_FLOWS);
    let mut effect_at = None;
    let may_leave = AtomicBool::new(false);
    let may_leave = &may_leave;
    let waited = thread::scope(|scope| {
        let crowd: Vec<_> = crowd
            .into_iter()
            .enumerate()
            .map(|(number, mut one)| {
                scope.spawn(move || {
                    one.open();
                    // Half of the crowd leave after the change, so that the servers have room again.
                    while !may_leave.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    if number % 2 == 0 {
                        one.close();
                    }
                    one
                })
            })
            .collect();
        let end = Instant::now() + Duration::from_millis(500);
        while !full() && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
        record::show(&format!(
            "the old service holds {} flows",
            old.iter().map(Server::open_flows).sum::<usize>()
        ));
        let waiting: Vec<_> = waiting
            .into_iter()
            .enumerate()
            .map(|(number, mut one)| {
                scope.spawn(move || {
                    // Half of them come while the change is being made.
                    thread::sleep(PACE * number.saturating_sub(WAITING / 2) as u32);
                    if one.open() == Outcome::Opened {
                        one.request(&format!("waiting-{number}"), DEADLINE);
                    }
                    one
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(60));
        let feeds: Vec<_> = feeds
            .into_iter()
            .enumerate()
            .map(|(n, mut feed)| {
                scope.spawn(move || (feed.request(&format!("feed-{n}"), DEADLINE), feed))
            })
            .collect();
        if has_trouble {
            let plan = deployment::plan(2, "booking-next", MAX_FLOWS);
            let status = system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
            record::show(&format!(
                "planned work: the route moves to booking-next: {status:?}"
            ));
            thread::sleep(Duration::from_millis(60));
            for probe in &mut probes {
                probe.open();
            }
            effect_at = new.iter().flat_map(Server::openings).map(|o| o.at).min();
        }
        thread::sleep(Duration::from_millis(100));
        may_leave.store(true, Ordering::SeqCst);
        let stay: Vec<_> = crowd
            .into_iter()
            .filter_map(|one| one.join().ok())
            .collect();
        let waited: Vec<_> = waiting.into_iter().filter_map(|w| w.join().ok()).collect();
        let feeds: Vec<_> = feeds.into_iter().filter_map(|f| f.join().ok()).collect();
        record::line(&format!(
            "{} feeds were answered, {} clients stayed",
            feeds.len(),
            stay.len()
        ));
        waited
    });
    let Some(effect_at) = effect_at else {
        record::show("no change of the desired state was made");
        return Ok(false);
    };
    let mut late = 0;
    let mut worst = Duration::ZERO;
    for one in &waited {
        for opening in old
            .iter()
            .flat_map(Server::openings)
            .filter(|o| o.client == one.address)
        {
            let sent_at = one.syn_times[opening.copy as usize];
            let after = sent_at.saturating_duration_since(effect_at);
            record::line(&format!(
                "{}: copy {} was taken by the old service {} ms after the first effect of version 2",
                one.address,
                opening.copy,
                after.as_millis()
            ));
            late += usize::from(after > DOWNGRADE_SLACK);
            worst = worst.max(after);
        }
    }
    let is_waiting = |(attempt, _): &&(String, Instant)| attempt.starts_with("waiting");
    let ran = old
        .iter()
        .map(|server| server.runs().iter().filter(is_waiting).count());
    let ran: usize = ran.sum();
    record::show(&format!(
        "{late} of {} opening packets to {ROUTE} that were sent later than {DOWNGRADE_SLACK:?} after a \
         server saw version 2 were taken by the old service, the latest {} ms after; it ran {ran} of \
         their requests",
        waited.len(),
        worst.as_millis()
    ));
    Ok(late > 0)
}
