//! Metrics, health and the state dump over HTTP.
//!
//! - `GET /metrics`: Prometheus text format.
//! - `GET /health`: 200 and `ok` once the process is in service, 503 with the reason before.
//! - `GET /dump`: the process's whole state as JSON.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use displaydoc::Display;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use ntex::{
    time::Seconds,
    web::{self, App, HttpResponse},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::supervisor::{Restart, Supervisor};

/// Longest wait for the process to answer a question about itself.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// A question to the task that owns the state.
#[derive(Debug)]
pub enum StateQuery {
    /// The whole state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Whether the process is in service; the reason where it isn't.
    Health(oneshot::Sender<Result<(), String>>),
}

/// Where questions go.
pub type StateQuerySender = mpsc::Sender<StateQuery>;

/// Why the HTTP server can't run.
#[derive(Debug, Display)]
pub enum Error {
    /// HTTP can't listen at {0}: {1}; choose another `http_listen`
    Listen(SocketAddr, std::io::Error),
    /// HTTP can't be served: {0}
    Serve(std::io::Error),
    /// metrics can't be recorded: {0}
    Recorder(String),
}

impl std::error::Error for Error {}

/// Starts to record metrics in this process.
///
/// # Errors
///
/// Fails when the process records already.
pub fn record_metrics() -> Result<PrometheusHandle, Error> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| Error::Recorder(e.to_string()))
}

/// Listens at `address`, so that a process learns that it is taken before it serves anyone.
///
/// # Errors
///
/// Fails when the address can't be listened at.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|e| Error::Listen(address, e))
}

/// Serves what comes to `listener` as a child of `supervisor`.
pub fn start(
    supervisor: &Supervisor,
    restart: Restart,
    listener: TcpListener,
    metrics: PrometheusHandle,
    questions: StateQuerySender,
) {
    let listener = Rc::new(listener);
    supervisor.child("http", restart, move |token| {
        let (listener, metrics) = (Rc::clone(&listener), metrics.clone());
        let questions = questions.clone();
        async move {
            let served = serve(&listener, metrics, questions, token).await;
            served.map_err(|e| e.to_string())
        }
    });
}

/// Serves until `token` is cancelled; the listener stays open for another time.
async fn serve(
    listener: &TcpListener,
    metrics: PrometheusHandle,
    questions: StateQuerySender,
    token: CancellationToken,
) -> Result<(), Error> {
    let listener = listener.try_clone().map_err(Error::Serve)?;
    let server = web::server(async move || {
        App::new()
            .state(metrics.clone())
            .state(questions.clone())
            .service((
                web::resource("/metrics").route(web::get().to(get_metrics)),
                web::resource("/health").route(web::get().to(get_health)),
                web::resource("/dump").route(web::get().to(get_dump)),
            ))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(Seconds(1))
    .listen(listener)
    .map_err(Error::Serve)?
    .run();
    token.cancelled().await;
    server.stop(true).await;
    Ok(())
}

async fn get_metrics(metrics: web::types::State<PrometheusHandle>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(metrics.render())
}

async fn get_health(questions: web::types::State<StateQuerySender>) -> HttpResponse {
    match ask(&questions, StateQuery::Health).await {
        Some(Ok(())) => HttpResponse::Ok().body("ok\n"),
        Some(Err(reason)) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
        None => no_answer(),
    }
}

async fn get_dump(questions: web::types::State<StateQuerySender>) -> HttpResponse {
    match ask(&questions, StateQuery::Dump).await {
        Some(dump) => HttpResponse::Ok()
            .content_type("application/json")
            .body(dump.to_string()),
        None => no_answer(),
    }
}

/// Asks the task that owns the state; `None` when it doesn't answer in time.
pub async fn ask<T>(
    questions: &StateQuerySender,
    question: impl FnOnce(oneshot::Sender<T>) -> StateQuery,
) -> Option<T> {
    let (answer, answered) = oneshot::channel();
    questions.try_send(question(answer)).ok()?;
    tokio::time::timeout(ANSWER_WAIT, answered).await.ok()?.ok()
}

fn no_answer() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the process is busy or stops: try again\n")
}
