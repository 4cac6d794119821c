//! Three control VM processes, one of which is killed, frozen, restarted or replaced. Guards
//! against lost commands, failed calls during a planned stop, and entry VMs that stay with a
//! control VM which can't answer.

mod common;

use common::{
    Cluster, accepted, block_on, entry::Entry, eventually, put_domain, put_service, request,
    upstream::name,
};
use rpc::schema::{self, ReadRequest, apply_request, apply_response::Outcome};

/// Returns the number of the leading control VM, according to control VM `asked`.
async fn leader(cluster: &Cluster, asked: usize) -> usize {
    eventually(async || {
        let client = cluster.client(asked).await;
        let status = client.status(&ReadRequest::default()).await.ok()?;
        let leads = |s: &settings::control::Settings| s.name.as_str() == &*status.leader;
        let fresh = status.freshness.linearizable;
        cluster.settings.iter().position(leads).filter(|_| fresh)
    })
    .await
}

/// Returns the number of failure domains that a linearizable read through control VM `asked` shows.
async fn domains(cluster: &Cluster, asked: usize) -> usize {
    eventually(async || {
        let client = cluster.client(asked).await;
        let status = client.status(&ReadRequest::default()).await.ok()?;
        status
            .freshness
            .linearizable
            .then_some(status.domains.len())
    })
    .await
}

#[test]
fn accepted_commands_survive_the_leaders_death_and_a_restart_of_all() {
    block_on(async {
        let mut cluster = Cluster::start(3);
        for number in 0..10 {
            let domain = format!("domain-{number}");
            accepted(cluster.apply(&request(&domain, put_domain(&domain))).await);
        }
        let dead = leader(&cluster, 0).await;
        cluster.kill(dead);
        let first = request("10", put_domain("domain-10"));
        let answer = accepted(cluster.apply(&first).await);
        for number in 0..3 {
            if number != dead {
                cluster.kill(number);
            }
        }
        for number in 0..3 {
            cluster.run(number);
        }
        assert_eq!(domains(&cluster, dead).await, 11);
        // The repeated command still gets its first answer.
        assert_eq!(accepted(cluster.apply(&first).await), answer);
    });
}

#[test]
fn an_entry_vm_leaves_a_frozen_control_vm_and_receives_new_commands() {
    block_on(async {
        let cluster = Cluster::start(3);
        accepted(cluster.apply(&request("1", put_domain("vejle"))).await);
        let frozen = (leader(&cluster, 0).await + 1) % 3;
        let mut controls: Vec<_> = cluster.settings.iter().map(|s| s.delivery_listen).collect();
        let entry = Entry::start("entry-1", vec![controls.remove(frozen)]);
        eventually(async || (!entry.config().domains.is_empty()).then_some(())).await;
        drop(entry);

        let all = cluster.settings.iter().map(|s| s.delivery_listen).collect();
        let entry = Entry::start("entry-1", all);
        eventually(async || (!entry.config().domains.is_empty()).then_some(())).await;
        cluster.signal(frozen, "STOP");
        let others = (0..3).find(|number| *number != frozen).unwrap();
        let client = cluster.client(others).await;
        let service = request("2", put_service("booking", "10.9.0.1:443"));
        // Another VM may have to become the leader first. Meanwhile the command is refused or its
        // outcome is unknown, and it is sent again.
        eventually(async || {
            let outcome = client.apply(&service).await.ok()?.outcome?;
            matches!(outcome, Outcome::Accepted(_)).then_some(())
        })
        .await;
        eventually(async || {
            entry
                .config()
                .services
                .contains_key(&name("booking"))
                .then_some(())
        })
        .await;
        cluster.signal(frozen, "CONT");
        assert_eq!(domains(&cluster, frozen).await, 1);
    });
}

#[test]
fn a_control_vm_without_quorum_reports_the_age_of_its_answer_and_renews_no_lease() {
    block_on(async {
        let mut cluster = Cluster::start(3);
        accepted(cluster.apply(&request("1", put_domain("vejle"))).await);
        assert_eq!(domains(&cluster, 0).await, 1);
        cluster.kill(1);
        cluster.kill(2);
        let client = cluster.client(0).await;
        let old = eventually(async || {
            let status = client.status(&ReadRequest::default()).await.ok()?;
            (!status.freshness.linearizable).then_some(status)
        })
        .await;
        assert_eq!(old.domains.len(), 1);
        assert!(!old.freshness.reason.is_empty());
        // Without a leader, the command is either refused and not run, or its outcome is unknown.
        let second = request("2", put_domain("horsens"));
        let outcome = client.apply(&second).await.unwrap().outcome.unwrap();
        match outcome {
            Outcome::Refused(refused) => assert_eq!(refused.kind, schema::RefusalKind::NoLeader),
            Outcome::Unknown(_) => {}
            Outcome::Accepted(_) => panic!("accepted without a quorum"),
        }
        let entry = Entry::start("entry-1", vec![cluster.settings[0].delivery_listen]);
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
        assert_eq!(
            entry.config().index,
            0,
            "a control VM without a leader confirmed a configuration"
        );
        cluster.run(1);
        eventually(async || (entry.config().index > 0).then_some(())).await;
    });
}

#[test]
fn a_control_vm_with_an_emptied_disk_is_replaced_under_its_name() {
    block_on(async {
        let mut cluster = Cluster::start(3);
        accepted(cluster.apply(&request("1", put_domain("vejle"))).await);
        let lost = (leader(&cluster, 0).await + 1) % 3;
        cluster.kill(lost);
        std::fs::remove_dir_all(&cluster.settings[lost].data_folder).unwrap();
        cluster.run(lost);
        let lost_name = cluster.settings[lost].name.to_string();
        let command = apply_request::Command::ControlReplace(schema::ControlReplace {
            old: lost_name.as_str().into(),
            new: lost_name.as_str().into(),
        });
        accepted(cluster.apply(&request("2", command)).await);
        // A second loss right after the replacement must lose no data.
        let second = (lost + 1) % 3;
        cluster.kill(second);
        accepted(cluster.apply(&request("3", put_domain("horsens"))).await);
        assert_eq!(domains(&cluster, lost).await, 2);
    });
}

#[test]
fn a_planned_stop_of_the_leader_fails_no_call() {
    block_on(async {
        let mut cluster = Cluster::start(3);
        accepted(cluster.apply(&request("0", put_domain("vejle"))).await);
        let leader = leader(&cluster, 0).await;
        let client = cluster.client(leader).await;
        let (sent, mut answers) = tokio::sync::mpsc::unbounded_channel();
        for number in 0..20 {
            let (client, sent) = (client.clone(), sent.clone());
            ntex::rt::spawn(async move {
                let domain = format!("domain-{number}");
                let answer = client.apply(&request(&domain, put_domain(&domain))).await;
                drop(sent.send(answer.map_err(|error| error.to_string())));
            });
        }
        drop(sent);
        // Once the first call is answered, the other calls are in progress.
        let first = answers.recv().await.unwrap();
        accepted(first.unwrap().outcome.unwrap());
        cluster.signal(leader, "TERM");
        while let Some(answer) = answers.recv().await {
            accepted(answer.unwrap().outcome.unwrap());
        }
        assert!(cluster.stop(leader));
        let next = (leader + 1) % 3;
        assert_eq!(domains(&cluster, next).await, 21);
    });
}

#[test]
fn each_control_vm_knows_the_entry_vms_of_the_others() {
    block_on(async {
        let cluster = Cluster::start(3);
        accepted(cluster.apply(&request("1", put_domain("vejle"))).await);
        let entries: Vec<Entry> = cluster
            .settings
            .iter()
            .enumerate()
            .map(|(n, s)| Entry::start(&format!("entry-{n}"), vec![s.delivery_listen]))
            .collect();
        for number in 0..3 {
            let client = cluster.client(number).await;
            eventually(async || {
                let status = client.status(&ReadRequest::default()).await.ok()?;
                let live = status.entry_vms.iter().filter(|vm| vm.live && vm.index > 0);
                (live.count() == entries.len()).then_some(())
            })
            .await;
        }
    });
}
