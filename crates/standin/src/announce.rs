//! Announcements of upstreams to an entry VM of their failure domain, one every
//! [`model::announce::INTERVAL_MS`].

use std::{net::SocketAddr, time::Duration};

use model::announce::{Announcement, INTERVAL_MS};
use rpc::{client::Client, convert::announce_request};
use tokio::{
    task::spawn_local,
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use crate::upstream::Server;

/// Timeout for the connection to an entry VM and for its answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Announces an upstream until the token is cancelled.
pub fn start(server: Server, token: CancellationToken) {
    spawn_local(token.run_until_cancelled_owned(run(server)));
}

/// Entry VM that receives the announcements of an upstream, and the connection to that VM.
#[derive(Debug, Default)]
struct Target {
    next: usize,
    client: Option<Client>,
}

async fn run(server: Server) {
    let entries = server.entries();
    let mut target = Target::default();
    let mut interval = time::interval(Duration::from_millis(INTERVAL_MS));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if server.is_unresponsive() {
            continue;
        }
        let Ok(announcement) = server.announcement() else {
            continue;
        };
        // When an entry VM does not answer, the next entry VM of the domain gets the announcement.
        for _ in 0..entries.len() {
            if target.send(&entries, &announcement).await {
                break;
            }
            target.next = (target.next + 1) % entries.len();
        }
    }
}

impl Target {
    /// Sends one announcement and reports whether the entry VM accepted it.
    async fn send(&mut self, entries: &[SocketAddr], announcement: &Announcement) -> bool {
        let client = match self.client.take() {
            Some(client) => client,
            None => match Client::connect(entries[self.next], TIMEOUT).await {
                Ok(client) => client,
                Err(_) => return false,
            },
        };
        match client.announce(&announce_request(announcement)).await {
            Ok(answer) if answer.taken => self.client = Some(client),
            Ok(answer) => {
                let (upstream, reason) = (&announcement.upstream, answer.reason);
                log::warn!(target: "announce", "announcement of upstream {upstream} was refused: {reason}; trying the next entry VM.");
            }
            Err(error) => {
                let upstream = &announcement.upstream;
                log::info!(target: "announce", "announcement of upstream {upstream} failed: {error}; trying the next entry VM.");
            }
        }
        self.client.is_some()
    }
}
