//! The thread that runs a [`StateMachine`].
//!
//! Disk syncs block, so the state machine runs on its own thread and a slow sync delays neither the
//! runtime nor the transport.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        mpsc::{self, RecvTimeoutError, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

use daemon::process::random_nonzero;
use model::{
    command,
    config::{Applied, Config},
};
use store::Folder;
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
};
use tokio_util::sync::CancellationToken;

use super::{
    Error, Settings, Status,
    state_machine::{self, Answer, Fault, Output, StateMachine},
};
use crate::peer::{self, Client, Envelope};

/// Duration of one tick.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of inputs that wait for the thread.
const MAX_QUEUED_INPUTS: usize = 8_192;

/// Maximum number of additional inputs that are processed before one disk sync stores the result of
/// all.
const MAX_BATCH: usize = 256;

/// Time between two attempts to reopen the data folder.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for a leadership transfer before the thread ends.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An input of the replica thread.
#[derive(Debug)]
pub(super) enum Input {
    Peer(Envelope),
    Propose(command::Entry, oneshot::Sender<Result<Applied, Error>>),
    Read(oneshot::Sender<Result<Arc<Config>, Error>>),
    Replace(String, String, oneshot::Sender<Result<(), Error>>),
    Peers(BTreeMap<String, SocketAddr>),
    Stop,
}

impl Input {
    /// Answers the caller with [`Error::NoLeader`]. Send errors are ignored: the caller has stopped
    /// waiting.
    fn reject(self) {
        match self {
            Self::Propose(_, answer) => {
                let _ = answer.send(Err(Error::NoLeader));
            }
            Self::Read(answer) => {
                let _ = answer.send(Err(Error::NoLeader));
            }
            Self::Replace(_, _, answer) => {
                let _ = answer.send(Err(Error::NoLeader));
            }
            Self::Peer(_) | Self::Peers(_) | Self::Stop => {}
        }
    }
}

/// Sends inputs to the replica thread.
#[derive(Debug, Clone)]
pub(super) struct Sender(mpsc::SyncSender<Input>);

impl Sender {
    /// Queues an input, or fails at once with `when_full` when the queue is full.
    pub(super) fn send(&self, input: Input, when_full: Error) -> Result<(), Error> {
        self.0.try_send(input).map_err(|e| match e {
            TrySendError::Full(_) => when_full,
            TrySendError::Disconnected(_) => {
                Error::Stopped("its thread has ended, see the log of this control VM".to_owned())
            }
        })
    }
}

/// Opens the data folder and starts the replica thread and the transport.
pub(super) async fn start(
    settings: Settings,
    config: watch::Sender<Arc<Config>>,
    status: watch::Sender<Status>,
    token: CancellationToken,
) -> Result<Sender, Error> {
    if settings.target_voters.is_none() && settings.peers.len().is_multiple_of(2) {
        let reason = "field `peers`: list an odd number of initial replicas, including this one";
        return Err(Error::Stopped(reason.to_owned()));
    }
    let start_error = |e: &dyn std::fmt::Display| Error::Stopped(e.to_string());
    let listen = settings.listen.unwrap_or(settings.address);
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(|e| start_error(&format!("can't listen on {listen}: {e}")))?;
    let machine_settings = machine_settings(&settings);
    let machine = match open_folder(&settings.folder, machine_settings.clone()) {
        Ok(machine) => Some(machine),
        Err(fault) if settings.retries_disk_errors && fault.may_pass() => {
            log::error!(target: "replica", "event=start-delayed reason=\"{fault}\"");
            None
        }
        Err(fault) => return Err(start_error(&fault)),
    };
    let (sender, inputs) = mpsc::sync_channel(MAX_QUEUED_INPUTS);
    let sender = Sender(sender);
    // The transport runs until the leadership transfer has finished, after `token` is cancelled.
    let transport = CancellationToken::new();
    let deliver = {
        let sender = sender.clone();
        move |envelope| {
            // A message that finds the queue full is dropped; consensus and requests resend.
            let _ = sender.send(Input::Peer(envelope), Error::NoLeader);
        }
    };
    let (reason_sender, reason_receiver) = oneshot::channel();
    let serve = peer::serve(listener, deliver, transport.clone());
    let published = status.clone();
    // The stop reason is published last, when the folder and the address are free again.
    tokio::spawn(async move {
        serve.await;
        let reason: Result<String, _> = reason_receiver.await;
        published.send_modify(|s| {
            s.is_leader = false;
            s.stop_reason =
                Some(reason.unwrap_or_else(|_| "the replica thread panicked".to_owned()));
        });
    });
    let stop = sender.clone();
    tokio::spawn(async move {
        token.cancelled().await;
        while stop.send(Input::Stop, Error::NoLeader) == Err(Error::NoLeader) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    });
    let runtime = tokio::runtime::Handle::current();
    let driver = Driver {
        client: Client::new(runtime, transport.clone()),
        folder: settings.folder.clone(),
        settings: machine_settings,
        retries_disk_errors: settings.retries_disk_errors,
        config,
        status,
        callers: PendingCallers::default(),
        stop_at: None,
    };
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || {
            let _transport = transport.drop_guard();
            let reason = driver.run(machine, &inputs);
            // The receiver is gone if the runtime has ended too.
            let _ = reason_sender.send(reason);
        })
        .map_err(|e| start_error(&e))?;
    Ok(sender)
}

/// Opens the data folder and its state machine.
fn open_folder(
    folder: &Path,
    settings: state_machine::Settings,
) -> Result<StateMachine<Folder>, Fault> {
    let folder = Folder::open(folder).map_err(Fault::Store)?;
    open_machine(folder, settings)
}

/// Opens the state machine, and records what that did to the stored state.
fn open_machine(
    folder: Folder,
    settings: state_machine::Settings,
) -> Result<StateMachine<Folder>, Fault> {
    let machine = StateMachine::open(folder, settings).inspect_err(|fault| {
        if matches!(fault, Fault::Store(e) if e.is_lost_state()) {
            metrics::counter!("oriole_control_store_refused_total").increment(1);
        }
        if fault.is_permanent() {
            log::error!(target: "replica", "event=start-refused reason=\"{fault}\"");
        }
    })?;
    let recovery = machine.recovery();
    if recovery.dropped_bytes > 0 {
        metrics::counter!("oriole_control_store_dropped_writes_total").increment(1);
    }
    if recovery.has_rejoined {
        metrics::counter!("oriole_control_store_rejoins_total").increment(1);
    }
    Ok(machine)
}

fn machine_settings(settings: &Settings) -> state_machine::Settings {
    let peers = settings.peers.iter();
    state_machine::Settings {
        name: settings.name.clone(),
        address: settings.address.to_string(),
        peers: peers.map(|(n, a)| (n.clone(), a.to_string())).collect(),
        may_found_cluster: settings.may_found_cluster,
        target_voters: settings.target_voters,
        random_ids: (random_nonzero(), random_nonzero()),
        seed: random_nonzero(),
        snapshot_every: settings.snapshot_every.max(1),
        consensus: consensus::Settings {
            election_ticks: 12,
            first_election_ticks: 3,
            heartbeat_ticks: 3,
            ..consensus::Settings::default()
        },
    }
}

/// Callers that wait for an answer, by the token of the request.
#[derive(Debug, Default)]
struct PendingCallers {
    last_token: u64,
    commands: BTreeMap<u64, oneshot::Sender<Result<Applied, Error>>>,
    reads: BTreeMap<u64, oneshot::Sender<Result<Arc<Config>, Error>>>,
    replacements: BTreeMap<u64, oneshot::Sender<Result<(), Error>>>,
}

impl PendingCallers {
    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Sends an answer to the waiting caller. Send errors are ignored: the caller has stopped
    /// waiting.
    fn deliver_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Proposed(token, outcome) => {
                if let Some(sender) = self.commands.remove(&token) {
                    let _ = sender.send(outcome);
                }
            }
            Answer::Read(token, outcome) => {
                if let Some(sender) = self.reads.remove(&token) {
                    let _ = sender.send(outcome);
                }
            }
            Answer::Replaced(token, outcome) => {
                if let Some(sender) = self.replacements.remove(&token) {
                    let _ = sender.send(outcome);
                }
            }
        }
    }
}

struct Driver {
    client: Client,
    folder: PathBuf,
    settings: state_machine::Settings,
    /// Whether a disk failure makes the thread reopen the folder instead of ending.
    retries_disk_errors: bool,
    config: watch::Sender<Arc<Config>>,
    status: watch::Sender<Status>,
    callers: PendingCallers,
    /// Time at which the thread ends at the latest, once a stop was requested.
    stop_at: Option<Instant>,
}

impl Driver {
    /// Runs until a stop is requested or the disk fails permanently, and returns the reason. Without a
    /// `machine`, first waits until the folder can be opened.
    fn run(
        mut self,
        machine: Option<StateMachine<Folder>>,
        inputs: &mpsc::Receiver<Input>,
    ) -> String {
        let mut machine = match machine.map_or_else(|| self.reopen(inputs), Ok) {
            Ok(machine) => machine,
            Err(reason) => return reason,
        };
        loop {
            let fault = match self.run_until_stopped(&mut machine, inputs) {
                Ok(()) => return "stop requested".to_owned(),
                Err(fault) => fault,
            };
            log::error!(target: "replica", "event=fault reason=\"{fault}\"");
            if !self.retries_disk_errors || !matches!(fault, Fault::Store(_)) {
                return fault.to_string();
            }
            // The folder stays locked until the state machine is dropped.
            drop(machine);
            self.fail_pending_callers();
            machine = match self.reopen(inputs) {
                Ok(machine) => machine,
                Err(reason) => return reason,
            };
        }
    }

    /// Answers all waiting callers with an error.
    fn fail_pending_callers(&mut self) {
        let callers = std::mem::take(&mut self.callers);
        // Send errors are ignored: the caller has stopped waiting.
        for sender in callers.commands.into_values() {
            let _ = sender.send(Err(Error::OutcomeUnknown));
        }
        for sender in callers.reads.into_values() {
            let _ = sender.send(Err(Error::NoLeader));
        }
        for sender in callers.replacements.into_values() {
            let _ = sender.send(Err(Error::NoLeader));
        }
        self.status.send_modify(|status| {
            status.is_leader = false;
            status.leader = None;
        });
    }

    /// Retries opening the folder until the disk works again.
    ///
    /// # Errors
    ///
    /// Fails with the reason when a stop is requested, or when no later attempt can succeed.
    fn reopen(&self, inputs: &mpsc::Receiver<Input>) -> Result<StateMachine<Folder>, String> {
        loop {
            let until = Instant::now() + REOPEN_INTERVAL;
            loop {
                let wait = until.saturating_duration_since(Instant::now());
                match inputs.recv_timeout(wait) {
                    Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => {
                        return Err("stop requested".to_owned());
                    }
                    Ok(input) => input.reject(),
                    Err(RecvTimeoutError::Timeout) => break,
                }
            }
            // A replica that begins anew must not take the id that this process used before.
            let settings = state_machine::Settings {
                random_ids: (random_nonzero(), random_nonzero()),
                ..self.settings.clone()
            };
            match open_folder(&self.folder, settings) {
                Ok(machine) => {
                    let committed = machine.status().committed;
                    log::info!(target: "replica", "event=reopened committed={committed}");
                    return Ok(machine);
                }
                Err(fault) if fault.is_permanent() => return Err(fault.to_string()),
                Err(reason) => {
                    log::debug!(target: "replica", "event=still-closed reason=\"{reason}\"");
                }
            }
        }
    }

    fn run_until_stopped(
        &mut self,
        machine: &mut StateMachine<Folder>,
        inputs: &mpsc::Receiver<Input>,
    ) -> Result<(), Fault> {
        let mut next_tick = Instant::now();
        // Entries that are known to be committed are applied before any input is processed.
        self.flush(machine)?;
        loop {
            let now = Instant::now();
            if now >= next_tick {
                // After a long pause only one tick passes, so that messages received during the
                // pause are processed before an election starts.
                next_tick = now + TICK_INTERVAL;
                machine.tick()?;
                self.flush(machine)?;
            }
            if self.should_stop(machine, now) {
                return Ok(());
            }
            let wait = next_tick.saturating_duration_since(now);
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    self.handle_input(machine, input)?;
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        self.handle_input(machine, input)?;
                    }
                    self.flush(machine)?;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn should_stop(&self, machine: &StateMachine<Folder>, now: Instant) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        now >= stop_at || !machine.replica().is_leader()
    }

    fn handle_input(
        &mut self,
        machine: &mut StateMachine<Folder>,
        input: Input,
    ) -> Result<(), Fault> {
        match input {
            Input::Peer(envelope) => machine.receive(envelope)?,
            Input::Propose(entry, answer) => {
                let token = self.callers.next_token();
                self.callers.commands.insert(token, answer);
                machine.propose(token, entry);
            }
            Input::Read(answer) => {
                let token = self.callers.next_token();
                self.callers.reads.insert(token, answer);
                machine.request_read(token);
            }
            Input::Replace(old, new, answer) => {
                let token = self.callers.next_token();
                self.callers.replacements.insert(token, answer);
                machine.replace(token, &old, &new);
            }
            Input::Peers(peers) => {
                let peers = peers.into_iter().map(|(n, a)| (n, a.to_string()));
                self.settings.peers = peers.collect();
                machine.set_peers(self.settings.peers.clone());
            }
            Input::Stop => self.begin_stop(machine),
        }
        Ok(())
    }

    fn begin_stop(&mut self, machine: &mut StateMachine<Folder>) {
        let now = Instant::now();
        let was_leader = machine.transfer_leadership();
        self.stop_at = Some(if was_leader {
            now + HANDOVER_TIMEOUT
        } else {
            now
        });
    }

    fn flush(&mut self, machine: &mut StateMachine<Folder>) -> Result<(), Fault> {
        let Output {
            envelopes,
            answers,
            notices,
        } = machine.flush()?;
        for notice in notices {
            log::info!(target: "replica", "event=notice text=\"{notice}\"");
        }
        for (address, envelope) in envelopes {
            self.client.send(&address, envelope);
        }
        self.publish(machine);
        for answer in answers {
            self.callers.deliver_answer(answer);
        }
        Ok(())
    }

    /// Publishes changes of configuration and status, before answers are sent.
    fn publish(&self, machine: &StateMachine<Folder>) {
        let config = machine.config();
        self.config.send_if_modified(|published| {
            // A folder that was reopened may hold an older configuration than the published one.
            let is_changed = !Arc::ptr_eq(published, config) && config.index >= published.index;
            if is_changed {
                *published = Arc::clone(config);
            }
            is_changed
        });
        let status = machine.status();
        self.status.send_if_modified(|published| {
            let is_changed = *published != status;
            if published.leader != status.leader || published.voters != status.voters {
                log::info!(
                    target: "replica",
                    "event=cluster leader={:?} term={} committed={} voters={:?} learners={:?}",
                    status.leader, status.term, status.committed, status.voters, status.learners
                );
            }
            if is_changed {
                *published = status;
            }
            is_changed
        });
    }
}
