//! A test entry VM, which receives configurations, sends heartbeats, and applies configurations
//! unless it is paused.

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

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// State shared between the task and the test.
#[derive(Default)]
struct Shared {
    applied: Mutex<Arc<Config>>,
    is_paused: AtomicBool,
}

pub struct Entry {
    shared: Arc<Shared>,
    to_control: mpsc::Sender<ToControl>,
    token: CancellationToken,
}

impl Entry {
    /// Starts an entry VM whose stream connects to one of `controls`.
    pub fn start(vm: &str, controls: Vec<SocketAddr>) -> Self {
        let (to_control, outgoing) = mpsc::channel(64);
        let (incoming, configs) = mpsc::channel(64);
        let token = CancellationToken::new();
        let shared = Arc::<Shared>::default();
        let hello_state = shared.clone();
        let vm = name(vm);
        let hello = move || {
            let applied = hello_state.applied.lock().unwrap().clone();
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
        tokio::spawn(run(shared.clone(), configs, to_control.clone()));
        Self {
            shared,
            to_control,
            token,
        }
    }

    /// Sends a message besides the heartbeats.
    pub fn send(&self, message: ToControl) {
        self.to_control.try_send(message).unwrap();
    }

    /// Pauses or resumes applying configurations.
    pub fn pause(&self, is_paused: bool) {
        self.shared.is_paused.store(is_paused, Ordering::Relaxed);
    }

    /// Returns the applied configuration.
    pub fn config(&self) -> Arc<Config> {
        self.shared.applied.lock().unwrap().clone()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Receives configurations and sends heartbeats until the stream's task ends.
async fn run(
    shared: Arc<Shared>,
    mut configs: mpsc::Receiver<ToEntry>,
    to_control: mpsc::Sender<ToControl>,
) {
    let mut newest = Arc::<Config>::default();
    loop {
        let message = tokio::time::timeout(HEARTBEAT_INTERVAL, configs.recv()).await;
        let is_answer = matches!(message, Ok(Some(ToEntry::Current { .. })));
        match message {
            Ok(None) => return,
            Ok(Some(ToEntry::Config(config))) => {
                assert!(config.index > newest.index, "an older configuration came");
                newest = config;
            }
            Ok(Some(_)) | Err(_) => {}
        }
        if !shared.is_paused.load(Ordering::Relaxed) {
            *shared.applied.lock().unwrap() = newest.clone();
        }
        if is_answer {
            continue;
        }
        let heartbeat = Heartbeat {
            index: shared.applied.lock().unwrap().index,
            ..Heartbeat::default()
        };
        drop(to_control.try_send(ToControl::Heartbeat(heartbeat)));
    }
}
