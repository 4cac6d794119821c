//! Three control VM processes whose leader is frozen repeatedly. Guards against stale reads by a
//! leader that resumes after another one was elected.

mod common;

use common::{Cluster, accepted, block_on, eventually, put_domain, request};
use rpc::schema::ReadRequest;

/// Returns the leader and the failure domains that a linearizable read through control VM `asked`
/// shows.
async fn read(cluster: &Cluster, asked: usize) -> (usize, Vec<String>) {
    eventually(async || {
        let client = cluster.client(asked).await;
        let status = client.status(&ReadRequest::default()).await.ok()?;
        if !status.freshness.linearizable {
            return None;
        }
        let leads = |s: &settings::control::Settings| s.name.as_str() == &*status.leader;
        let leader = cluster.settings.iter().position(leads)?;
        let domains = status.domains.iter().map(|d| d.name.to_string());
        Some((leader, domains.collect()))
    })
    .await
}

#[test]
fn a_leader_that_was_frozen_serves_commands_accepted_meanwhile() {
    block_on(async {
        let cluster = Cluster::start(3);
        for round in 0..3 {
            let (frozen, _) = read(&cluster, round % 3).await;
            let others = [(frozen + 1) % 3, (frozen + 2) % 3];
            cluster.signal(frozen, "STOP");
            let name = format!("domain-{round}");
            for other in others {
                // The first control VM accepts the command, and the second one answers it as a
                // repetition.
                let put = request(&name, put_domain(&name));
                let outcome = eventually(async || {
                    use rpc::schema::apply_response::Outcome;
                    let client = cluster.client(other).await;
                    let outcome = client.apply(&put).await.ok()?.outcome?;
                    matches!(outcome, Outcome::Accepted(_)).then_some(outcome)
                })
                .await;
                accepted(outcome);
            }
            cluster.signal(frozen, "CONT");
            let (_, domains) = read(&cluster, frozen).await;
            assert_eq!(domains.len(), round + 1, "a stale read after {name}");
        }
    });
}
