//! Announcements of upstreams to an entry VM of their failure domain, once every
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

/// Longest wait for an entry VM's answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Announces an upstream until the token is cancelled.
pub fn start(server: Server, token: CancellationToken) {
    spawn_local(token.run_until_cancelled_owned(run(server)));
}

/// The entry VM to which an upstream announces itself, and the connection to it.
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
        if server.is_quiet() {
            continue;
        }
        let Ok(announcement) = server.announcement() else {
            continue;
        };
        // Another entry VM of the domain takes over where one doesn't answer.
        for _ in 0..entries.len() {
            if target.send(&entries, &announcement).await {
                break;
            }
            target.next = (target.next + 1) % entries.len();
        }
    }
}

impl Target {
    /// Sends one announcement, and says whether the entry VM took it.
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
                log::warn!(target: "announce", "{upstream} is refused: {reason}.");
            }
            Err(error) => {
                let upstream = &announcement.upstream;
                log::info!(target: "announce", "{upstream} tries another entry VM: {error}.");
            }
        }
        self.client.is_some()
    }
}
