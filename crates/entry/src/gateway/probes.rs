//! Probes upstreams that seem silent by opening a TCP connection to each.
//!
//! A connection without a request occupies none of the upstream's slots.

use std::{io::ErrorKind, net::SocketAddrV4, time::Duration};

use daemon::supervisor::{Restart, Supervisor};
use model::routing::ProbeOutcome;
use policy::token::health::MAX_PROBE_WAIT_MS;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::{driver::GatewayDriver, sleep_for};

/// Time after which a connection attempt counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which packets wait for the result of a connection attempt.
const MAX_PACKET_WAIT: Duration = Duration::from_millis(MAX_PROBE_WAIT_MS);

/// Starts the task that sends due probes until the supervisor's token is cancelled.
pub fn start(supervisor: &Supervisor, driver: &GatewayDriver) {
    let driver = driver.clone();
    supervisor.start_child("probes", Restart::Never, move |token| {
        let driver = driver.clone();
        async move {
            loop {
                for due in driver.due_probes() {
                    ntex::rt::spawn(probe(driver.clone(), due.id, due.address));
                }
                tokio::select! {
                    () = token.cancelled() => return Ok(()),
                    () = driver.probes_changed.notified() => {}
                    () = sleep_for(driver.time_until_probe()) => {}
                }
            }
        }
    });
}

async fn probe(driver: GatewayDriver, id: u64, address: SocketAddrV4) {
    let started = Instant::now();
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let mut connect = std::pin::pin!(connect);
    let connected = tokio::select! {
        biased;
        connected = &mut connect => connected,
        // The packets that wait for the result go elsewhere.
        () = sleep(MAX_PACKET_WAIT) => {
            driver.retry_held();
            connect.await
        }
    };
    let outcome = match connected {
        Ok(Ok(_)) => ProbeOutcome::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    };
    metrics::histogram!("oriole_probe_seconds", "outcome" => outcome_label(outcome))
        .record(started.elapsed());
    driver.record_probe_outcome(id, outcome);
}

/// Returns an outcome as the value of a metric label.
fn outcome_label(outcome: ProbeOutcome) -> &'static str {
    match outcome {
        ProbeOutcome::Accepted => "accepted",
        ProbeOutcome::Refused => "refused",
        ProbeOutcome::Silent => "silent",
    }
}
