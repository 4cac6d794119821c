//! Exit codes and repeated commands of `oriolectl` with a running control VM.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

mod common;

use cli::exit::{Code, Failure};
use common::{Cluster, block_on, entry::Entry, eventually};

/// Runs one command line with the addresses of all control VMs of `cluster`.
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

/// Returns the exit code of a command line that fails.
async fn code(cluster: &Cluster, line: &str) -> Code {
    ctl(cluster, line).await.unwrap_err().code
}

#[test]
fn each_outcome_has_its_own_exit_code() {
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
        // Repeating an accepted command is accepted again, whatever ran in between.
        ctl(&cluster, "domain put vejle --request-id 1")
            .await
            .unwrap();

        // A frozen control VM accepts the connection and never answers, so the outcome is unknown.
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
fn a_timed_out_wait_has_its_own_exit_code_and_names_the_missing_entry_vm() {
    block_on(async {
        let cluster = Cluster::start(1);
        ctl(&cluster, "domain put vejle").await.unwrap();
        let entry = Entry::start("entry-1", vec![cluster.settings[0].delivery_listen]);
        eventually(async || (entry.config().index > 0).then_some(())).await;
        entry.pause(true);
        let line = "service put booking 10.9.0.1:443 --wait --timeout 1";
        let failure = ctl(&cluster, line).await.unwrap_err();
        assert_eq!(failure.code, Code::NotInForce);
        assert!(failure.message.contains("entry-1"));
        entry.pause(false);
        ctl(&cluster, "service put booking 10.9.0.1:443 --wait")
            .await
            .unwrap();
    });
}
