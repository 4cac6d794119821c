//! A zone is evacuated and taken back right after its servers have become cold.

use std::thread;
use std::time::{Duration, Instant};

use super::deployment::{self, ZONES, client, profile, wait_for_servers};
use super::text;
use crate::client::Outcome;
use crate::record;
use crate::server::Server;

/// Zone that is evacuated.
const ZONE: &str = "aarhus-b";

/// Servers in the zone.
const LOCAL: usize = 4;

/// Time between two new flows of clients of the zone.
const PACE: Duration = Duration::from_millis(10);

/// Flows that the clients of the zone open.
const FLOWS: usize = 900;

/// Time for which the servers are cold (`warmupS`).
const COLD: Duration = Duration::from_millis(2_000);

/// Time before the withdrawal at which the servers become cold: with the disruption within the time
/// between two heartbeats, without it longer before.
const SHORTLY_BEFORE: Duration = Duration::from_millis(250);
const LONG_BEFORE: Duration = Duration::from_millis(1_500);

/// `warmupPerS` of the desired state, `warmupBurstFactor` and `warmupTolerance` of the settings.
const WARMUP_PER_S: f64 = 2.0;
const BURST_FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let system = deployment::start()?;
    let mut servers = Vec::new();
    for number in 0..LOCAL + 6 {
        let others = ["aarhus-a", "vejle", "horsens"];
        let zone = if number < LOCAL {
            ZONE
        } else {
            others[number % 3]
        };
        let control = ZONES.iter().position(|z| *z == zone).unwrap_or_default();
        let profile = profile(&system, number, "booking", zone, control);
        servers.push(Server::start(profile, Duration::ZERO).map_err(text)?);
        thread::sleep(Duration::from_millis(190));
    }
    let plan = deployment::plan(1, "booking", deployment::MAX_FLOWS)
        .replace("\"warmupPerS\":0.0", "\"warmupPerS\":2.0");
    system.order("PUT", "/api/config", &plan, &[0, 1, 2, 3]);
    wait_for_servers(&system, &servers.iter().collect::<Vec<_>>())?;
    let path = format!("/api/evacuations/{ZONE}");
    record::show(&format!("planned work: {ZONE} is evacuated"));
    system.order("POST", &path, "", &[0, 1, 2, 3]);
    thread::sleep(Duration::from_millis(3_000));
    let (system, servers) = (&system, &servers);
    let cold_at = thread::scope(|scope| {
        let order = scope.spawn(move || {
            thread::sleep(Duration::from_millis(3_000));
            let cold_at = Instant::now();
            let before = if has_trouble {
                SHORTLY_BEFORE
            } else {
                LONG_BEFORE
            };
            record::show(&format!(
                "the servers of {ZONE} are cold, {before:?} before the withdrawal"
            ));
            for server in &servers[..LOCAL] {
                server.turn_cold(COLD);
            }
            thread::sleep(before);
            system.order("DELETE", &path, "", &[0, 1, 2, 3]);
            record::show(&format!("planned work: {ZONE} is taken back"));
            cold_at
        });
        for number in 0..FLOWS {
            let Ok(mut client) = client(system, number, ZONE) else {
                continue;
            };
            scope.spawn(move || {
                if client.open() == Outcome::Opened {
                    client.request(&format!("c{number}"), Duration::from_millis(1_500));
                    client.close();
                }
            });
            thread::sleep(PACE);
        }
        order.join().unwrap_or_else(|_| Instant::now())
    });
    let bound = WARMUP_PER_S * BURST_FACTOR + TOLERANCE;
    let mut worst = 0;
    for server in &servers[..LOCAL] {
        let openings = server.openings().into_iter().map(|o| o.at);
        let cold: Vec<Instant> = openings
            .filter(|at| *at >= cold_at && *at < cold_at + COLD)
            .collect();
        let in_second = |from: &Instant| {
            let to = *from + Duration::from_secs(1);
            cold.iter().filter(|at| *at >= from && **at < to).count()
        };
        let most = cold.iter().map(in_second).max().unwrap_or_default();
        record::show(&format!(
            "server {} got {} flows while it was cold, {most} of them in one second",
            server.profile.id(),
            cold.len()
        ));
        worst = worst.max(most);
    }
    record::show(&format!(
        "a cold server got up to {worst} requests in one second; the bound is {bound}"
    ));
    Ok(worst as f64 > bound)
}
