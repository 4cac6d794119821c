//! Entry VMs of the previous build with control VMs of the current build. Guards against a control VM
//! that sends an older entry VM a message of a newer build, which ends the VM's stream.

use std::time::Duration;

use delivery::{ROUTING_PATH, dial};
use model::routing::{ToControl, ToEntry};
use standin::platform::client::ClientOutcome;
use tokio::{runtime, time::timeout};

use super::system::{DEADLINE, TestSystem, wait_for};

/// Timeout for a message.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Receives messages until one matches; each message must be known to the previous build.
async fn receive_until(
    stream: &mut dial::Stream,
    matches_wanted: impl Fn(&ToEntry) -> bool,
) -> ToEntry {
    loop {
        let received = timeout(WAIT_TIMEOUT, stream.receiver.receive()).await;
        let message: ToEntry = received.unwrap().unwrap();
        let is_unknown_to_older = matches!(
            message,
            ToEntry::ProbeReports(_)
                | ToEntry::Peers(_)
                | ToEntry::AnnouncedGroups(_)
                | ToEntry::RecalledGroups(_)
                | ToEntry::FindUpstream { .. }
        );
        assert!(!is_unknown_to_older, "{message:?}");
        if matches_wanted(&message) {
            return message;
        }
    }
}

#[test]
fn entry_vm_of_the_previous_build_gets_only_messages_it_knows() {
    let mut system = TestSystem::start();
    let control = system.forwarded(0)[0].0;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(async {
        let mut older = dial::open(control, ROUTING_PATH).await.unwrap();
        let vm = "older".into();
        older.sender.send(&ToControl::Hello { vm }).await.unwrap();
        receive_until(&mut older, |m| *m == ToEntry::Complete).await;
        // The control VM passes the older VM's report on to all entry VMs.
        older
            .sender
            .send(&ToControl::Down { id: 99 })
            .await
            .unwrap();
        let is_suspected = |m: &ToEntry| matches!(m, ToEntry::Suspected(_));
        let suspected = receive_until(&mut older, is_suspected).await;
        assert_eq!(suspected, ToEntry::Suspected(vec![99]));
        // An entry VM of the current build finds an upstream down; the older VM keeps its stream.
        let mut flow = system.serve_one(0);
        system.upstreams.clear();
        wait_for("the flow is reset", || {
            system.client.ask(system.entry(0), &mut flow, DEADLINE) == ClientOutcome::Reset
        });
        receive_until(&mut older, is_suspected).await;
    });
}
