//! Tries to connect to upstreams that seem silent.
//!
//! A connection without a request takes none of the upstream's slots.

use std::{io::ErrorKind, net::SocketAddrV4, time::Duration};

use daemon::supervisor::{Restart, Supervisor};
use model::routing::ProbeOutcome;
use tokio::{net::TcpStream, time::timeout};

use super::{shell::Shell, sleep_for};

/// Time that a connection may take.
const CONNECT_WAIT: Duration = Duration::from_millis(250);

/// Probes what is due until the supervisor ends.
pub fn start(supervisor: &Supervisor, shell: &Shell) {
    let shell = shell.clone();
    supervisor.child("probes", Restart::Never, move |token| {
        let shell = shell.clone();
        async move {
            loop {
                for due in shell.due_probes() {
                    ntex::rt::spawn(probe(shell.clone(), due.id, due.address));
                }
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = shell.probes_changed.notified() => {}
                    () = sleep_for(shell.until_probe()) => {}
                }
            }
        }
    });
}

async fn probe(shell: Shell, id: u64, address: SocketAddrV4) {
    let connected = timeout(CONNECT_WAIT, TcpStream::connect(address)).await;
    let outcome = match connected {
        Ok(Ok(_)) => ProbeOutcome::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    };
    shell.probed(id, outcome);
}
