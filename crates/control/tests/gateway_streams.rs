//! Control VMs on the platform as real processes, with real streams of entry VMs.
//!
//! Guards against entry VMs that don't learn of a control VM which joined while the configuration
//! doesn't change, against announcements that a control VM without entry VMs keeps to itself, and
//! against a plan whose terms don't reach entry VMs, or reach those of an older build.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    cell::Cell,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use delivery::{FOURTH_ROUTING_PATH, SECOND_ROUTING_PATH, THIRD_ROUTING_PATH, dial};
use model::{
    plan::Kind,
    routing::{Announced, ControlList, Group, Incarnation, Phase, ToControl, ToEntry},
};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Maximum wait for anything that must happen eventually.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Port of the HTTP API of control VMs, and first of the ports for traffic between VMs, as offsets
/// from the cluster's port.
const API: u16 = 0;
const FIRST: u16 = 1;

/// Control VMs on loopback addresses of their own. Dropping the cluster kills the processes.
struct Cluster {
    folder: TempDir,
    net: u8,
    port: u16,
    founders: u8,
    children: Vec<(u8, Child)>,
}

impl Cluster {
    /// Starts a cluster of control VMs with the numbers from 1 to `founders`.
    fn start(founders: u8) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let seed = std::process::id();
        // Addresses differ between test processes in most cases, and between tests of a process.
        let net =
            u8::try_from(100 + seed % 20).unwrap() + 20 * NEXT.fetch_add(1, Ordering::Relaxed);
        let ports = (0..400).map(|step| 21_000 + u16::try_from(seed % 1_000).unwrap() + 8 * step);
        let is_free = |port: &u16| {
            let own = (1..5).flat_map(|n| (0..5).map(move |step| (n, port + step)));
            own.map(|(n, port)| SocketAddr::from((Ipv4Addr::new(127, 0, net, n), port)))
                .all(|address| TcpListener::bind(address).is_ok())
        };
        let mut cluster = Self {
            folder: tempfile::tempdir().unwrap(),
            net,
            port: ports.into_iter().find(is_free).unwrap(),
            founders,
            children: Vec::new(),
        };
        for number in 1..=founders {
            cluster.run(number);
        }
        cluster
    }

    fn address(&self, number: u8, offset: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 0, self.net, number);
        SocketAddr::from((ip, self.port + offset))
    }

    /// Starts control VM `number`.
    fn run(&mut self, number: u8) {
        let seeds: Vec<String> = (1..=self.founders)
            .map(|n| format!("\"{}\"", self.address(n, API)))
            .collect();
        let path = self.folder.path().join(format!("control-{number}.yaml"));
        let settings = format!(
            "name: control-{number}\ndomain: north\ndata_folder: {}\ndesk_listen: \"{}\"\n\
             first_port: {}\nseeds: [{}]\nfound: true\nannounce_ms: 200\ntolerated: {}\n",
            self.folder.path().join(format!("data-{number}")).display(),
            self.address(number, API),
            self.port + FIRST,
            seeds.join(", "),
            self.founders / 2,
        );
        fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oriole-control"))
            .args(["--gateway", "--settings"])
            .arg(path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.children.push((number, child.unwrap()));
    }

    fn kill(&mut self, number: u8) {
        let position = self.children.iter().position(|(n, _)| *n == number);
        let (_, mut child) = self.children.remove(position.unwrap());
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Opens a stream of an entry VM to control VM `number`, waiting until it accepts streams.
    async fn open(&self, number: u8, path: &'static str) -> dial::Stream {
        let control = self.address(number, FIRST);
        let mut stream = eventually("a stream opens", async || {
            dial::open(control, path).await.ok()
        })
        .await;
        let join = ToControl::Join {
            vm: "entry-1".into(),
            domain: "north".parse().unwrap(),
        };
        stream.sender.send(&join).await.unwrap();
        stream
    }

    /// Calls the HTTP API of control VM `number`. Returns the status and the body.
    async fn call(
        &self,
        number: u8,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        call(self.address(number, API), method, path, body).await
    }

    /// Returns the metrics of control VM `number`.
    async fn metrics(&self, number: u8) -> Option<String> {
        let answer = call(self.address(number, FIRST + 3), "GET", "/metrics", "").await;
        answer
            .filter(|(status, _)| *status == 200)
            .map(|(_, text)| text)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Polls until there is a result, and fails the test after [`TEST_TIMEOUT`].
async fn eventually<T>(what: &str, poll: impl AsyncFn() -> Option<T>) -> T {
    let asked = async {
        loop {
            if let Some(answer) = poll().await {
                return answer;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let answer = timeout(TEST_TIMEOUT, asked).await;
    answer.unwrap_or_else(|_| panic!("{what}: not within {TEST_TIMEOUT:?}"))
}

async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    };
    timeout(Duration::from_secs(5), exchange).await.ok()?
}

async fn receive(stream: &mut dial::Stream) -> ToEntry {
    let message = timeout(TEST_TIMEOUT, stream.receiver.receive()).await;
    message.unwrap().unwrap()
}

/// Keeps a stream open and gives the messages on it to `record`.
fn follow(mut stream: dial::Stream, record: impl Fn(ToEntry) + 'static) {
    tokio::task::spawn_local(async move {
        while let Ok(message) = stream.receiver.receive().await {
            record(message);
            // The control VM ends a stream from which it hears nothing for 2.5 s.
            if stream.sender.send(&ToControl::Alive).await.is_err() {
                return;
            }
        }
    });
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.unwrap(), test);
}

/// What an entry VM has received.
#[derive(Default)]
struct Received {
    list: ControlList,
    /// Index of the agreed state, and the version of its plan.
    index: u64,
    plan: Option<u64>,
    /// Number of keep-alive messages, which come once a second.
    alive: usize,
    /// Number of keep-alive messages before the newest list.
    alive_before_list: usize,
}

impl Received {
    fn record(&mut self, message: ToEntry) {
        match message {
            ToEntry::Controls(list) => {
                assert!(
                    list.version > self.list.version,
                    "{list:?} after {:?}",
                    self.list
                );
                self.list = list;
                self.alive_before_list = self.alive;
            }
            ToEntry::Agreed(agreed) => (self.index, self.plan) = (agreed.index, agreed.plan),
            ToEntry::Alive => self.alive += 1,
            _ => {}
        }
    }

    fn ips(&self) -> Vec<IpAddr> {
        self.list.addresses.iter().map(SocketAddr::ip).collect()
    }
}

#[test]
fn entry_vms_learn_of_control_vms_that_join_or_are_replaced_without_a_change_of_the_configuration()
{
    block_on(async {
        let mut cluster = Cluster::start(3);
        let ips: Vec<IpAddr> = (0..5).map(|n| cluster.address(n, 0).ip()).collect();
        let received = Arc::<Mutex<Received>>::default();
        let shared = Arc::clone(&received);
        let stream = cluster.open(1, THIRD_ROUTING_PATH).await;
        follow(stream, move |message| {
            shared.lock().unwrap().record(message)
        });
        let has = |wanted: &[IpAddr]| received.lock().unwrap().ips() == wanted;
        eventually("the founders are listed", async || {
            has(&ips[1..4]).then_some(())
        })
        .await;
        // The last change of the configuration.
        put_plan(&cluster).await;
        eventually("the plan is agreed on", async || {
            (received.lock().unwrap().plan == Some(3)).then_some(())
        })
        .await;
        let index = received.lock().unwrap().index;

        cluster.run(4);
        let newcomer = cluster.address(4, FIRST + 1).to_string();
        eventually("control VM 4 is a learner", async || {
            let dump = call(cluster.address(1, FIRST + 3), "GET", "/dump", "").await?;
            let replica = dump.1.split("\"replica\"").nth(1)?;
            let learners = replica.split("\"learners\":[").nth(1)?.split(']').next()?;
            learners.contains(&newcomer).then_some(())
        })
        .await;
        let alive = received.lock().unwrap().alive;
        eventually("the learner is listed", async || {
            has(&ips[1..5]).then_some(())
        })
        .await;
        {
            let received = received.lock().unwrap();
            // Fewer than two keep-alive messages: less than a second, by the clock of the sender.
            assert!(received.alive_before_list <= alive + 1);
            assert_eq!(received.index, index, "the configuration did not change");
        }

        cluster.kill(2);
        let wanted = [ips[1], ips[3], ips[4]];
        eventually("the replaced VM is not listed", async || {
            has(&wanted).then_some(())
        })
        .await;
        assert_eq!(received.lock().unwrap().index, index);
        // An entry VM that connects now, to any control VM, gets the same list.
        let newest = received.lock().unwrap().list.clone();
        for number in [3, 4] {
            let mut late = cluster.open(number, THIRD_ROUTING_PATH).await;
            loop {
                if let ToEntry::Controls(list) = receive(&mut late).await
                    && list.version >= newest.version
                {
                    assert_eq!(list.addresses, newest.addresses);
                    break;
                }
            }
        }
    });
}

const ANNOUNCEMENT: &str = r#"{"service":"booking","address":"10.128.0.9:8080","zone":"north",
  "version":"v1","concurrency":2,"state":"ready","warmupRemainingMs":0,"sequence":SEQUENCE,"born":5}"#;

#[test]
fn announcements_that_reach_no_entry_vm_are_refused_until_a_stream_opens() {
    block_on(async {
        let cluster = Cluster::start(1);
        let sequence = Cell::new(0);
        let announce = || {
            sequence.set(sequence.get() + 1);
            let body = ANNOUNCEMENT.replace("SEQUENCE", &sequence.get().to_string());
            let cluster = &cluster;
            async move { cluster.call(1, "PUT", "/api/instances/i-7", &body).await }
        };
        let stop = || cluster.call(1, "DELETE", "/api/instances/i-7", "");
        eventually("the call is refused", async || {
            let (status, body) = announce().await?;
            (status == 503 && body.contains("no entry VM")).then_some(())
        })
        .await;
        assert_eq!(stop().await.unwrap().0, 503);

        let mut stream = cluster.open(1, THIRD_ROUTING_PATH).await;
        eventually("the call is accepted", async || {
            (announce().await?.0 == 200).then_some(())
        })
        .await;
        loop {
            if let ToEntry::AnnouncedGroups(groups) = receive(&mut stream).await {
                assert_eq!(groups.len(), 1);
                break;
            }
        }
        eventually("the stream is counted", async || {
            let metrics = cluster.metrics(1).await?;
            let counts = ["oriole_entry_streams 1", "oriole_upstreams_announced 1"];
            counts.iter().all(|c| metrics.contains(c)).then_some(())
        })
        .await;

        drop(stream);
        eventually("the call is refused again", async || {
            (announce().await?.0 == 503).then_some(())
        })
        .await;
        let metrics = cluster.metrics(1).await.unwrap();
        assert!(metrics.contains("oriole_entry_streams 0"), "{metrics}");
    });
}

/// A plan with terms in the platform's format.
const PLAN: &str = include_str!("../../../platform/tests/plans/terms.json");

/// Puts [`PLAN`] in force.
async fn put_plan(cluster: &Cluster) {
    eventually("the plan is acknowledged", async || {
        let (status, _) = cluster.call(1, "PUT", "/api/config", PLAN).await?;
        (status == 200).then_some(())
    })
    .await;
}

#[test]
fn a_plan_is_followed_by_its_terms_on_streams_that_know_them() {
    block_on(async {
        let cluster = Cluster::start(1);
        put_plan(&cluster).await;
        let wrong = PLAN
            .replace("150", "\"150\"")
            .replace("\"version\":3", "\"version\":4");
        let (status, body) = cluster.call(1, "PUT", "/api/config", &wrong).await.unwrap();
        assert_eq!(status, 400);
        let field = PLAN.split_once(":150").unwrap().0.rsplit('"').nth(1);
        let field = field.unwrap();
        assert!(body.contains("booking") && body.contains(field), "{body}");

        let mut stream = cluster.open(1, THIRD_ROUTING_PATH).await;
        stream
            .sender
            .send(&ToControl::Want { version: 3 })
            .await
            .unwrap();
        while !matches!(receive(&mut stream).await, ToEntry::Plan(plan) if plan.version == 3) {}
        let ToEntry::Terms(terms) = receive(&mut stream).await else {
            panic!("the terms don't follow the plan");
        };
        assert_eq!((terms.version, terms.routes.len()), (3, 1));
        let route = &terms.routes[0];
        assert_eq!((route.kind, route.priority), (Kind::Safe, 1));
        assert_eq!(route.goal_ms, Some(400));
        assert_eq!(terms.services[0].max_flows, Some(150));

        let mut older = cluster.open(1, SECOND_ROUTING_PATH).await;
        older
            .sender
            .send(&ToControl::Want { version: 3 })
            .await
            .unwrap();
        while !matches!(receive(&mut older).await, ToEntry::Plan(_)) {}
        // The terms would come before the next keep-alive message.
        loop {
            match receive(&mut older).await {
                ToEntry::Alive => break,
                message => assert!(!matches!(message, ToEntry::Terms(_))),
            }
        }
    });
}

/// Returns the body of an announcement of an upstream that started at `started_ms`.
fn announcement_body(started_ms: u64) -> String {
    format!(
        r#"{{"service":"booking","address":"10.0.0.7:8080","zone":"north","version":"v1","concurrency":2,"state":"ready","warmupRemainingMs":0,"sequence":1,"born":{started_ms}}}"#
    )
}

/// Receives the announcements up to the end of the initial state of a new stream.
async fn initial_announcements(stream: &mut dial::Stream) -> Vec<Announced> {
    let mut announced = Vec::new();
    loop {
        match receive(stream).await {
            ToEntry::AnnouncedGroups(groups) => {
                let all = groups.into_iter().flat_map(Group::into_announced);
                announced.extend(all.map(|(announced, _)| announced));
            }
            ToEntry::Complete => return announced,
            _ => {}
        }
    }
}

/// Answers questions on the stream of an entry VM with `known`.
fn answer_lookups(mut stream: dial::Stream, known: Option<Announced>) {
    tokio::task::spawn_local(async move {
        while let Ok(message) = stream.receiver.receive().await {
            let answer = match message {
                ToEntry::FindUpstream { id } => ToControl::FoundUpstream {
                    id,
                    announced: known.clone(),
                },
                _ => ToControl::Alive,
            };
            if stream.sender.send(&answer).await.is_err() {
                return;
            }
        }
    });
}

/// Guards against a stop that ends every incarnation of an upstream, and against one that is lost:
/// a control VM that has never heard of the upstream asks entry VMs, before it acknowledges the
/// stop, which incarnation they know.
#[test]
fn a_stop_names_the_newest_incarnation_that_entry_vms_know() {
    block_on(async {
        let cluster = Cluster::start(1);
        let known = |started_ms| Announced {
            incarnation: Incarnation { id: 7, started_ms },
            service: "booking".into(),
            address: "10.0.0.7:8080".parse().unwrap(),
            domain: "north".parse().unwrap(),
            slots: 2,
            phase: Phase::Draining,
            cold_ms: 0,
            sequence: 9,
        };
        // The first entry VM has just started, the second one is cut off from another control VM.
        for known in [None, Some(known(100)), Some(known(200))] {
            answer_lookups(cluster.open(1, FOURTH_ROUTING_PATH).await, known);
        }
        eventually("the streams are open", async || {
            let metrics = cluster.metrics(1).await?;
            metrics.contains("oriole_entry_streams 3").then_some(())
        })
        .await;
        eventually("the stop is acknowledged", async || {
            let (status, _) = cluster.call(1, "DELETE", "/api/instances/i-7", "").await?;
            (status == 200).then_some(())
        })
        .await;
        let mut late = cluster.open(1, FOURTH_ROUTING_PATH).await;
        let stopped = Announced {
            phase: Phase::Gone,
            ..known(200)
        };
        assert_eq!(initial_announcements(&mut late).await, [stopped]);

        // A late announcement of the stopped incarnation changes nothing; the next start does.
        for started_ms in [200, 300] {
            let body = announcement_body(started_ms);
            let call = cluster.call(1, "PUT", "/api/instances/i-7", &body).await;
            assert_eq!(call.unwrap().0, 200);
            let mut late = cluster.open(1, FOURTH_ROUTING_PATH).await;
            let newest = &initial_announcements(&mut late).await[0];
            assert_eq!(newest.incarnation.started_ms, started_ms);
            assert_eq!(newest.phase == Phase::Gone, started_ms == 200);
        }
        let metrics = cluster.metrics(1).await.unwrap();
        let counted = "oriole_upstream_stops_total{source=\"entry-vm\"} 1";
        assert!(metrics.contains(counted), "{metrics}");
    });
}

/// Guards against a delayed stop that ends the next incarnation: an upstream drains before it stops,
/// and one that doesn't drain is not the one that stops.
#[test]
fn a_stop_does_not_end_an_incarnation_that_is_not_draining() {
    block_on(async {
        let cluster = Cluster::start(1);
        let ready = Announced {
            incarnation: Incarnation {
                id: 7,
                started_ms: 200,
            },
            service: "booking".into(),
            address: "10.0.0.7:8080".parse().unwrap(),
            domain: "north".parse().unwrap(),
            slots: 2,
            phase: Phase::Ready,
            cold_ms: 0,
            sequence: 9,
        };
        answer_lookups(cluster.open(1, FOURTH_ROUTING_PATH).await, Some(ready));
        eventually("the stop is acknowledged", async || {
            let (status, _) = cluster.call(1, "DELETE", "/api/instances/i-7", "").await?;
            (status == 200).then_some(())
        })
        .await;
        let mut late = cluster.open(1, FOURTH_ROUTING_PATH).await;
        assert_eq!(initial_announcements(&mut late).await, []);
    });
}

/// Guards against flows of a live upstream that are reset by entry VMs which connect to a control VM
/// that got the stop of an earlier incarnation without ever having heard of the upstream.
#[test]
fn a_stop_without_known_incarnation_is_not_passed_on_to_later_streams() {
    block_on(async {
        let cluster = Cluster::start(1);
        // The entry VMs run the build before, or don't answer in time.
        for path in [THIRD_ROUTING_PATH, FOURTH_ROUTING_PATH] {
            let _listener = cluster.open(1, path).await;
            eventually("the stop is acknowledged", async || {
                let (status, _) = cluster.call(1, "DELETE", "/api/instances/i-7", "").await?;
                (status == 200).then_some(())
            })
            .await;
            let mut late = cluster.open(1, path).await;
            assert_eq!(initial_announcements(&mut late).await, []);
        }
    });
}

/// Announces two live upstreams again and again, as they do.
async fn announce_live(api: SocketAddr) {
    for sequence in 1.. {
        let body =
            announcement_body(5).replace("\"sequence\":1", &format!("\"sequence\":{sequence}"));
        for path in ["/api/instances/i-1", "/api/instances/i-2"] {
            // The control VM refuses announcements until it has started.
            drop(call(api, "PUT", path, &body).await);
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against an announcement of another writer that ends a control VM, is taken for an upstream,
/// hides those before or after it, or comes back from the cache file after a restart.
#[test]
fn odd_announcements_name_no_upstream_and_the_others_hold() {
    block_on(async {
        let mut cluster = Cluster::start(1);
        let listener = cluster.open(1, FOURTH_ROUTING_PATH).await;
        follow(listener, |_| {});
        let usual = announcement_body(5);
        let announce = async |cluster: &Cluster, id: &str, body: &str| {
            let path = format!("/api/instances/{id}");
            cluster
                .call(1, "PUT", &path, body)
                .await
                .map(|(status, _)| status)
        };
        let heartbeats = tokio::task::spawn_local(announce_live(cluster.address(1, API)));
        eventually("the live upstreams are accepted", async || {
            let metrics = cluster.metrics(1).await?;
            metrics
                .contains("oriole_upstreams_announced 2")
                .then_some(())
        })
        .await;
        let nested = "[".repeat(100_000);
        let megabyte = usual.replace("v1", &"v".repeat(1 << 20));
        let odd = [
            usual.replace("8080", "0"),
            usual.replace("8080", "65536"),
            usual.replace("10.0.0.7", "0.0.0.0"),
            usual.replace("10.0.0.7", "224.0.0.1"),
            usual.replace("\"v1\"", &format!("{nested}{}", "]".repeat(nested.len()))),
            usual.replace("\"v1\"", &nested),
            usual.replace("\"version\":\"v1\",", ""),
            usual.replace("Ms\":0", "Ms\":-1"),
            usual.replace("Ms\":0", "Ms\":1e18"),
            usual.replace("Ms\":0", "Ms\":1e400"),
            usual.replace("\"born\":5", "\"born\":18446744073709551615"),
            usual.replace("\"born\":5", "\"born\":9223372036854775807"),
            usual.replace("\"sequence\":1", "\"sequence\":9223372036854775808"),
            usual.replace("ready", "gone"),
            String::new(),
        ];
        for (number, body) in odd.iter().enumerate() {
            let status = announce(&cluster, &format!("i-bad{number}"), body).await;
            let is_refused = status.is_some_and(|status| (400..500).contains(&status));
            assert!(is_refused, "{number}: {status:?}");
            // An odd announcement of a live upstream doesn't end it.
            let status = announce(&cluster, "i-1", body).await;
            assert!(status.is_some_and(|s| (400..500).contains(&s)));
        }
        // A service that no plan defines, under the id of a live upstream.
        put_plan(&cluster).await;
        let other_service = usual
            .replace("booking", "ghost")
            .replace("\"sequence\":1", "\"sequence\":99999");
        assert_eq!(announce(&cluster, "i-1", &other_service).await, Some(200));
        // A body beyond the limit may be refused before it was read, which resets the connection.
        let status = announce(&cluster, "i-bad", &megabyte).await;
        assert_ne!(status, Some(200));
        let metrics = cluster.metrics(1).await.unwrap();
        let refused = "oriole_desk_invalid_total{what=\"announcement\"}";
        assert!(metrics.contains(refused), "{metrics}");
        let ids = |all: Vec<Announced>| {
            assert!(all.iter().all(|a| &*a.service == "booking"), "{all:?}");
            all.iter().map(|a| a.incarnation.id).collect::<Vec<_>>()
        };
        let mut late = cluster.open(1, FOURTH_ROUTING_PATH).await;
        assert_eq!(ids(initial_announcements(&mut late).await), [1, 2]);

        // The cache is written twice a second at most.
        sleep(Duration::from_millis(1_200)).await;
        heartbeats.abort();
        cluster.kill(1);
        cluster.run(1);
        let mut late = cluster.open(1, FOURTH_ROUTING_PATH).await;
        let recalled = loop {
            if let ToEntry::RecalledGroups(groups) = receive(&mut late).await {
                break groups.into_iter().flat_map(Group::into_announced);
            }
        };
        assert_eq!(ids(recalled.map(|(a, _)| a).collect()), [1, 2]);
    });
}
