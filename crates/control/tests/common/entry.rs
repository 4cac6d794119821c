//! A small entry VM: takes configurations and beats, and applies them unless it is held.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use delivery::client;
use model::{
    config::Config,
    delivery::{Heartbeat, Hello, ToControl, ToEntry},
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::upstream::name;

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(200);

/// What the task and the test share.
#[derive(Default)]
struct Shared {
    applied: Mutex<Arc<Config>>,
    is_held: AtomicBool,
}

pub struct Entry {
    shared: Arc<Shared>,
    to_control: mpsc::Sender<ToControl>,
    token: CancellationToken,
}

impl Entry {
    /// Starts an entry VM whose stream goes to one of `controls`.
    pub fn start(vm: &str, controls: Vec<SocketAddr>) -> Self {
        let (to_control, outgoing) = mpsc::channel(64);
        let (incoming, configs) = mpsc::channel(64);
        let token = CancellationToken::new();
        let shared = Arc::<Shared>::default();
        let greeter = shared.clone();
        let vm = name(vm);
        let hello = move || {
            let applied = greeter.applied.lock().unwrap().clone();
            Hello {
                vm: vm.clone(),
                domain: name("vejle"),
                incarnation: 1,
                peer_address: "127.0.0.1:1".parse().unwrap(),
                http_address: "127.0.0.1:1".parse().unwrap(),
                cluster: applied.cluster,
                index: applied.index,
            }
        };
        let settings = client::Settings {
            seed: 7,
            ..client::Settings::new(controls, hello)
        };
        tokio::spawn(client::run(settings, outgoing, incoming, token.clone()));
        tokio::spawn(live(shared.clone(), configs, to_control.clone()));
        Self {
            shared,
            to_control,
            token,
        }
    }

    /// Says something besides the beats.
    pub fn say(&self, message: ToControl) {
        self.to_control.try_send(message).unwrap();
    }

    /// Stops to apply what comes, or goes on.
    pub fn hold(&self, is_held: bool) {
        self.shared.is_held.store(is_held, Ordering::Relaxed);
    }

    /// The configuration that it decides by.
    pub fn config(&self) -> Arc<Config> {
        self.shared.applied.lock().unwrap().clone()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Takes configurations and beats until the stream's task ends.
async fn live(
    shared: Arc<Shared>,
    mut configs: mpsc::Receiver<ToEntry>,
    to_control: mpsc::Sender<ToControl>,
) {
    let mut newest = Arc::<Config>::default();
    loop {
        let message = tokio::time::timeout(BEAT, configs.recv()).await;
        let is_answer = matches!(message, Ok(Some(ToEntry::Current { .. })));
        match message {
            Ok(None) => return,
            Ok(Some(ToEntry::Config(config))) => {
                assert!(config.index > newest.index, "an older configuration came");
                newest = config;
            }
            Ok(Some(_)) | Err(_) => {}
        }
        if !shared.is_held.load(Ordering::Relaxed) {
            *shared.applied.lock().unwrap() = newest.clone();
        }
        if is_answer {
            continue;
        }
        let beat = Heartbeat {
            index: shared.applied.lock().unwrap().index,
            ..Heartbeat::default()
        };
        drop(to_control.try_send(ToControl::Heartbeat(beat)));
    }
}
