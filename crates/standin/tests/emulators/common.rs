//! What the tests of the emulators share.

use std::{
    cell::RefCell,
    future::Future,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use model::name::Name;
use standin::{
    caller::{self, Command, Report, Traffic},
    channel,
    fabric::Entry,
    ports::Ports,
    run_log::RunLog,
    upstream::{Server, Upstream},
};
use tokio::{runtime::Builder, task::LocalSet, time::sleep};
use tokio_util::sync::CancellationToken;

pub(crate) const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Looks before a state that doesn't come counts as missing, 20 ms apart.
const LOOKS: u32 = 500;

pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// Runs a test on one thread, as the emulators run.
pub(crate) fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

pub(crate) fn upstream(upstream: &str, service: &str) -> Upstream {
    Upstream {
        name: name(upstream),
        service: name(service),
        domain: name("aarhus-a"),
        ip: LOCALHOST,
        slots: 3,
        connections: 100,
        service_min_ms: 5,
        service_mean_ms: 5,
        cold: false,
        collapses: false,
        entries: Vec::new(),
    }
}

pub(crate) async fn start(settings: Upstream, runs: &Rc<RefCell<RunLog>>) -> Server {
    let server = Server::bind(settings, 1, runs.clone()).await.unwrap();
    server.start(&CancellationToken::new());
    server
}

/// A fabric's view that leads straight to an upstream.
pub(crate) fn straight(server: &Server) -> Entry {
    let flows = server.flow_address().unwrap();
    entry(flows, server.request_address().unwrap())
}

pub(crate) fn entry(fabric_address: SocketAddr, request_address: SocketAddr) -> Entry {
    Entry {
        name: name(&format!("entry-{}", fabric_address.port())),
        domain: name("aarhus-a"),
        fabric_address,
        request_address,
        http_address: None,
        service: None,
    }
}

pub(crate) fn traffic(service: &str) -> Traffic {
    Traffic {
        service: name(service),
        address: "10.9.0.1:443".parse().unwrap(),
        feeds: 0,
        feeds_per_second: 100,
        poll_ms: 20,
        uploads_per_100_s: 0,
        upload_chunks: 20,
        chunk_bytes: 200,
        requests_per_second: 0,
        idempotent_percent: 50,
        deadline_ms: 1_000,
    }
}

/// Callers that run in this process.
pub(crate) struct Callers(SocketAddr);

impl Callers {
    pub(crate) fn start(entries: Vec<Entry>, services: Vec<Traffic>) -> Self {
        let control = Ports::default().free(LOCALHOST).unwrap();
        let settings = caller::Settings {
            control,
            seed: 1,
            ip: LOCALHOST,
            sockets: 2,
            entries,
            services,
            retransmit_ms: 100,
            stall_ms: 2_000,
        };
        tokio::task::spawn_local(async {
            caller::run(settings, CancellationToken::new())
                .await
                .unwrap();
        });
        Self(control)
    }

    pub(crate) async fn ask(&self, command: Command) -> Report {
        let control = self.0;
        let ask = tokio::task::spawn_blocking(move || channel::ask(control, &command));
        ask.await.unwrap().unwrap()
    }

    /// Waits until the report is as wanted.
    pub(crate) async fn until(&self, wanted: impl Fn(&Report) -> bool) -> Report {
        let mut last = None;
        for _ in 0..LOOKS {
            sleep(Duration::from_millis(20)).await;
            let report = self.ask(Command::Report).await;
            if wanted(&report) {
                return report;
            }
            last = Some(report);
        }
        panic!("the wanted state doesn't come; last: {last:?}");
    }
}
