//! Entry VMs of the build before and control VMs of this one.

use std::time::Duration;

use delivery::{ROUTING_PATH, dial};
use model::routing::{ToControl, ToEntry};
use standin::platform::client::ClientOutcome;
use tokio::{runtime, time::timeout};

use super::system::{DEADLINE, Whole, eventually};

/// Longest wait for a message.
const PATIENCE: Duration = Duration::from_secs(30);

/// Receives messages until one fits; each must be one that the build before knows.
async fn receive_until(stream: &mut dial::Stream, fits: impl Fn(&ToEntry) -> bool) -> ToEntry {
    loop {
        let received = timeout(PATIENCE, stream.receiver.receive()).await;
        let message: ToEntry = received.unwrap().unwrap();
        let is_newer = matches!(
            message,
            ToEntry::Found(_)
                | ToEntry::Peers(_)
                | ToEntry::AnnouncedGroups(_)
                | ToEntry::RecalledGroups(_)
        );
        assert!(!is_newer, "{message:?}");
        if fits(&message) {
            return message;
        }
    }
}

#[test]
fn an_entry_vm_of_the_build_before_is_told_what_it_understands() {
    let mut system = Whole::start();
    let control = system.forwarded(0)[0].0;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(async {
        let mut older = dial::open(control, ROUTING_PATH).await.unwrap();
        let vm = "older".into();
        older.sender.send(&ToControl::Hello { vm }).await.unwrap();
        receive_until(&mut older, |m| *m == ToEntry::Complete).await;
        // What it finds itself, the others hear of.
        older
            .sender
            .send(&ToControl::Down { id: 99 })
            .await
            .unwrap();
        let is_doubted = |m: &ToEntry| matches!(m, ToEntry::Doubted(_));
        let told = receive_until(&mut older, is_doubted).await;
        assert_eq!(told, ToEntry::Doubted(vec![99]));
        // An entry VM of this build finds an upstream down; the older one keeps its stream.
        let mut flow = system.serve_one(0);
        system.upstreams.clear();
        eventually("the flow is reset", || {
            system.client.ask(system.entry(0), &mut flow, DEADLINE) == ClientOutcome::Reset
        });
        receive_until(&mut older, is_doubted).await;
    });
}
