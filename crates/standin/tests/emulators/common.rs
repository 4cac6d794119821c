//! Helpers shared by the tests of the emulators.

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

/// Maximum number of checks for a wanted state, 20 ms apart.
const MAX_CHECKS: u32 = 500;

pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// Runs a test on one thread, like the emulators.
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

/// Returns a fabric destination that leads directly to an upstream.
pub(crate) fn direct_entry(server: &Server) -> Entry {
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

/// Command channel of callers that run in the test process.
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

    /// Requests reports until `wanted` returns true; returns that report.
    pub(crate) async fn wait_until(&self, wanted: impl Fn(&Report) -> bool) -> Report {
        let mut last = None;
        for _ in 0..MAX_CHECKS {
            sleep(Duration::from_millis(20)).await;
            let report = self.ask(Command::Report).await;
            if wanted(&report) {
                return report;
            }
            last = Some(report);
        }
        panic!("the wanted state was not reached; last report: {last:?}");
    }
}
