//! What operators see of `oriolectl` against a real control VM: exit codes and resends.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

mod common;

use cli::exit::{Code, Failure};
use common::{Cluster, block_on, entry::Entry, eventually};

/// Runs one command line against all control VMs of `cluster`.
async fn ctl(cluster: &Cluster, line: &str) -> Result<(), Failure> {
    let controls: Vec<String> = cluster
        .settings
        .iter()
        .map(|s| s.rpc_listen.to_string())
        .collect();
    let mut words = vec!["oriolectl", "--operator", "anna"];
    for control in &controls {
        words.extend(["--control", control]);
    }
    words.extend(line.split_whitespace());
    let matches = cli::args::command().try_get_matches_from(words).unwrap();
    cli::dispatch(&matches).await
}

/// The exit code of a command line that fails.
async fn code(cluster: &Cluster, line: &str) -> Code {
    ctl(cluster, line).await.unwrap_err().code
}

#[test]
fn each_way_to_end_has_its_exit_code() {
    block_on(async {
        let mut cluster = Cluster::start(1);
        ctl(&cluster, "domain put vejle --request-id 1")
            .await
            .unwrap();
        ctl(&cluster, "service put booking 10.9.0.1:443 --wait")
            .await
            .unwrap();
        for line in [
            "status",
            "service list",
            "domain list",
            "upstream list",
            "change list",
        ] {
            ctl(&cluster, line).await.unwrap();
            ctl(&cluster, &format!("{line} --output json"))
                .await
                .unwrap();
        }
        ctl(&cluster, "dump control-1").await.unwrap();
        assert_eq!(code(&cluster, "domain out horsens").await, Code::Refused);
        assert_eq!(
            code(&cluster, "domain put vejle --expect-version 99").await,
            Code::Refused
        );
        assert_eq!(
            code(&cluster, "upstream admit booking booking-1").await,
            Code::Refused
        );
        assert_eq!(code(&cluster, "change show 99").await, Code::Refused);
        assert_eq!(code(&cluster, "dump entry-9").await, Code::Refused);
        // The resend of what was accepted is accepted again, whatever came between.
        ctl(&cluster, "domain put vejle --request-id 1")
            .await
            .unwrap();

        // Frozen, it takes the call and never answers: nobody knows.
        cluster.signal(0, "STOP");
        assert_eq!(
            code(&cluster, "domain put horsens --timeout 1").await,
            Code::Unknown
        );
        cluster.signal(0, "CONT");
        cluster.kill(0);
        assert_eq!(
            code(&cluster, "domain put horsens --timeout 1").await,
            Code::NoAnswer
        );
    });
}

#[test]
fn waiting_ends_with_a_code_of_its_own_and_names_who_is_missing() {
    block_on(async {
        let cluster = Cluster::start(1);
        ctl(&cluster, "domain put vejle").await.unwrap();
        let entry = Entry::start("entry-1", vec![cluster.settings[0].delivery_listen]);
        eventually(async || (entry.config().index > 0).then_some(())).await;
        entry.hold(true);
        let line = "service put booking 10.9.0.1:443 --wait --timeout 1";
        let failure = ctl(&cluster, line).await.unwrap_err();
        assert_eq!(failure.code, Code::NotInForce);
        assert!(failure.message.contains("entry-1"));
        entry.hold(false);
        ctl(&cluster, "service put booking 10.9.0.1:443 --wait")
            .await
            .unwrap();
    });
}
