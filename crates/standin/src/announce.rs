//! Announcements of upstreams to an entry VM of their failure domain, once every
//! [`model::announce::INTERVAL_MS`].

use std::{net::SocketAddr, time::Duration};

use model::announce::{Announcement, INTERVAL_MS};
use tokio::{task::spawn_local, time};
use tokio_util::sync::CancellationToken;

use crate::upstream::Server;

/// Announces an upstream until the token is cancelled.
pub fn start(server: Server, token: CancellationToken) {
    spawn_local(token.run_until_cancelled_owned(run(server)));
}

async fn run(server: Server) {
    let entries = server.entries();
    let mut interval = time::interval(Duration::from_millis(INTERVAL_MS));
    let mut next = 0;
    loop {
        interval.tick().await;
        if server.is_quiet() || entries.is_empty() {
            continue;
        }
        let Ok(announcement) = server.announcement() else {
            continue;
        };
        // Another entry VM of the domain takes over where one doesn't answer.
        for _ in 0..entries.len() {
            if send(entries[next], &announcement).await {
                break;
            }
            next = (next + 1) % entries.len();
        }
    }
}

/// Sends one announcement, and says whether the entry VM took it.
async fn send(_entry: SocketAddr, _announcement: &Announcement) -> bool {
    false
}
