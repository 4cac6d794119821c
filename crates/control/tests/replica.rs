//! Three replicas in one process, with TCP connections and files.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use control::replica::{Error, Handle, Settings};
use model::{
    command::{Command, Entry},
    name::Name,
};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Maximum wait for progress. The tests' results do not depend on this value otherwise.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A started replica.
struct Node {
    handle: Handle,
    token: CancellationToken,
}

impl Node {
    async fn start(settings: Settings) -> Self {
        let token = CancellationToken::new();
        let handle = Handle::start(settings, token.clone()).await.unwrap();
        Self { handle, token }
    }

    async fn stop(self) {
        self.token.cancel();
        timeout(TEST_TIMEOUT, self.handle.wait_stopped())
            .await
            .unwrap();
    }
}

/// Returns free addresses. All are bound at the same time, so that the kernel assigns each port
/// once.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let bound: Vec<_> = (0..count).map(bind).collect();
    bound.iter().map(|l| l.local_addr().unwrap()).collect()
}

fn settings(dir: &Path, names: &[&str]) -> Vec<Settings> {
    let addresses = free_addresses(names.len());
    let peers: BTreeMap<String, SocketAddr> = names
        .iter()
        .map(|n| (*n).to_owned())
        .zip(addresses)
        .collect();
    let one = |(name, address): (&String, &SocketAddr)| Settings {
        name: name.clone(),
        folder: dir.join(name),
        address: *address,
        peers: peers.clone(),
        snapshot_every: 50,
        ..Settings::default()
    };
    peers.iter().map(one).collect()
}

async fn put(handle: &Handle, number: usize) {
    let name = Name::new(format!("domain-{number}")).unwrap();
    let entry = Entry::new(
        "op",
        format!("put-{number}"),
        None,
        Command::PutDomain { name },
    );
    let tries = async {
        loop {
            match handle.propose(entry.clone()).await {
                Ok(applied) => return applied.outcome.unwrap(),
                Err(Error::NoLeader | Error::OutcomeUnknown) => {}
                Err(error) => panic!("{error}"),
            }
        }
    };
    timeout(TEST_TIMEOUT, tries).await.unwrap();
}

async fn read_count(handle: &Handle) -> usize {
    let tries = async {
        loop {
            if let Ok(config) = handle.read_linearizable().await {
                return config.domains.len();
            }
        }
    };
    timeout(TEST_TIMEOUT, tries).await.unwrap()
}

#[tokio::test]
async fn three_replicas_keep_all_entries_through_a_restart_and_a_replacement() {
    let dir = tempfile::tempdir().unwrap();
    let all = settings(dir.path(), &["c1", "c2", "c3"]);
    let mut nodes = Vec::new();
    for settings in &all {
        nodes.push(Node::start(settings.clone()).await);
    }
    for number in 0..120 {
        put(&nodes[number % 3].handle, number).await;
    }
    for node in &nodes {
        assert_eq!(read_count(&node.handle).await, 120);
    }
    // All replicas stop and start again.
    for node in nodes.drain(..) {
        node.stop().await;
    }
    for settings in &all {
        nodes.push(Node::start(settings.clone()).await);
    }
    assert_eq!(read_count(&nodes[1].handle).await, 120);
    // The disk of the last replica is emptied, and the replica is replaced under the same name.
    nodes.pop().unwrap().stop().await;
    std::fs::remove_dir_all(&all[2].folder).unwrap();
    nodes.push(Node::start(all[2].clone()).await);
    let repair = async {
        while let Err(error) = nodes[0].handle.replace("c3", "c3").await {
            assert!(!matches!(error, Error::Stopped(_)), "{error}");
        }
    };
    timeout(TEST_TIMEOUT, repair).await.unwrap();
    // A second replica is lost right after the replacement.
    nodes.remove(0).stop().await;
    assert_eq!(read_count(&nodes[1].handle).await, 120);
    put(&nodes[1].handle, 120).await;
    assert_eq!(read_count(&nodes[0].handle).await, 121);
    for node in nodes {
        node.stop().await;
    }
}

#[tokio::test]
async fn a_folder_in_use_is_refused_and_its_owner_goes_on() {
    let dir = tempfile::tempdir().unwrap();
    let one = settings(dir.path(), &["c1"]).remove(0);
    let node = Node::start(one.clone()).await;
    put(&node.handle, 1).await;
    let second = Settings {
        address: free_addresses(1)[0],
        ..one
    };
    let refused = Handle::start(second, CancellationToken::new()).await;
    let error = refused.unwrap_err().to_string();
    assert!(error.contains("in use by another process"), "{error}");
    put(&node.handle, 2).await;
    node.stop().await;
}

/// Flips a bit of the first byte of the record behind the file start, which is synced.
fn damage_log(folder: &Path) {
    let files = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap());
    let mut logs = files.filter(|f| f.file_name().to_string_lossy().starts_with("log-"));
    let path = logs.next().unwrap().path();
    let mut contents = std::fs::read(&path).unwrap();
    contents[14] ^= 1;
    std::fs::write(path, contents).unwrap();
}

/// Guards against a gateway-mode control VM that ends at each start for ever after damage, and
/// against one with operators that gives up its state by itself.
#[tokio::test]
async fn a_replica_with_a_damaged_log_rejoins_only_without_operators() {
    let dir = tempfile::tempdir().unwrap();
    let mut all = settings(dir.path(), &["c1", "c2", "c3"]);
    for settings in &mut all {
        settings.target_voters = Some(3);
        settings.retries_disk_errors = true;
    }
    let mut nodes = Vec::new();
    for settings in &all {
        nodes.push(Node::start(settings.clone()).await);
    }
    put(&nodes[0].handle, 1).await;
    nodes.pop().unwrap().stop().await;
    damage_log(&all[2].folder);
    let with_operators = Settings {
        target_voters: None,
        ..all[2].clone()
    };
    let refused = Handle::start(with_operators, CancellationToken::new()).await;
    let error = refused.unwrap_err().to_string();
    assert!(error.contains("replace this replica"), "{error}");
    let changed_at = nodes[0].handle.status().members.index;
    nodes.push(Node::start(all[2].clone()).await);
    let mut status = nodes[0].handle.watch_status();
    let replaced = status.wait_for(|s| {
        s.members.index > changed_at && s.members.names.len() == 3 && s.learners.is_empty()
    });
    timeout(TEST_TIMEOUT, replaced).await.unwrap().unwrap();
    assert_eq!(read_count(&nodes[2].handle).await, 1);
    // The quorum of the others is lost without the new replica.
    nodes.remove(0).stop().await;
    put(&nodes[1].handle, 2).await;
    assert_eq!(read_count(&nodes[0].handle).await, 2);
    for node in nodes {
        node.stop().await;
    }
}

/// Counts the refusals that replica threads log when they reopen a folder. Refusals of
/// [`Handle::start`] are logged by other threads.
struct RefusalCounter(AtomicUsize);

static REFUSALS: RefusalCounter = RefusalCounter(AtomicUsize::new(0));

impl log::Log for RefusalCounter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let text = record.args().to_string();
        if thread::current().name() == Some("replica") && text.contains("event=start-refused") {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn flush(&self) {}
}

/// Guards against a running replica that retries for ever, and logs an error at each try, when its
/// folder is refused after a failure of the disk, and against one that a failing disk alone stops.
#[tokio::test]
async fn a_running_replica_stops_when_its_folder_is_refused() {
    log::set_logger(&REFUSALS).unwrap();
    log::set_max_level(log::LevelFilter::Error);
    let dir = tempfile::tempdir().unwrap();
    let one = Settings {
        snapshot_every: 5,
        retries_disk_errors: true,
        ..settings(dir.path(), &["c1"]).remove(0)
    };
    let node = Node::start(one.clone()).await;
    put(&node.handle, 0).await;
    // The snapshot can't be written, and the folder can't be opened again, while a folder has the
    // name of the partial file.
    let obstacle = one.folder.join("snapshot.tmp");
    std::fs::create_dir(&obstacle).unwrap();
    let fail = async {
        for number in 1.. {
            let name = Name::new(format!("domain-{number}")).unwrap();
            let command = Command::PutDomain { name };
            let entry = Entry::new("op", format!("put-{number}"), None, command);
            if node.handle.propose(entry).await.is_err() {
                break;
            }
        }
        let mut status = node.handle.watch_status();
        status.wait_for(|s| !s.is_leader).await.unwrap();
    };
    timeout(TEST_TIMEOUT, fail).await.unwrap();
    // At least one attempt to reopen the folder fails.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(node.handle.status().stop_reason, None);
    damage_log(&one.folder);
    std::fs::remove_dir(&obstacle).unwrap();
    let stopped = timeout(TEST_TIMEOUT, node.handle.wait_stopped()).await;
    let reason = stopped.expect("the replica goes on retrying");
    assert!(reason.contains("replace this replica"), "{reason}");
    assert_eq!(REFUSALS.0.load(Ordering::SeqCst), 1);
}

/// Guards against a control VM that ends, and is started again for as long as its disk is full.
#[tokio::test]
async fn a_replica_whose_disk_refuses_writes_at_its_start_waits_for_it() {
    let dir = tempfile::tempdir().unwrap();
    let one = Settings {
        retries_disk_errors: true,
        ..settings(dir.path(), &["c1"]).remove(0)
    };
    let node = Node::start(one.clone()).await;
    put(&node.handle, 0).await;
    node.stop().await;
    // A folder with the name of a partial file can't be removed as one.
    let obstacle = one.folder.join("snapshot.tmp");
    std::fs::create_dir(&obstacle).unwrap();
    let without_retries = Settings {
        retries_disk_errors: false,
        ..one.clone()
    };
    let refused = Handle::start(without_retries, CancellationToken::new()).await;
    assert!(matches!(refused, Err(Error::Stopped(_))));

    let node = Node::start(one.clone()).await;
    // At least one further attempt to open the folder fails.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(node.handle.status().stop_reason, None);
    let early = timeout(TEST_TIMEOUT, node.handle.read_linearizable()).await;
    assert_eq!(early.unwrap(), Err(Error::NoLeader));
    std::fs::remove_dir(&obstacle).unwrap();
    put(&node.handle, 1).await;
    assert_eq!(read_count(&node.handle).await, 2);
    node.stop().await;
    // A stop ends the wait.
    std::fs::create_dir(&obstacle).unwrap();
    Node::start(one).await.stop().await;
}
