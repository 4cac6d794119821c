//! Serves metrics, health and the state dump over HTTP.
//!
//! - `GET /metrics`: Prometheus text format.
//! - `GET /health`: 200 and `ok` if the process is in service, otherwise 503 and the reason.
//! - `GET /dump`: the whole state of the process as JSON.
//! - `GET /place?to=ADDRESS&from=CLIENT_IP`: where a new flow would go, as JSON; 404 if the daemon
//!   places no flows, 400 for invalid parameters, 409 and the reason if the daemon can't say.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
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

/// Time after which a state query counts as unanswered.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A query to the task that owns the state, with the channel for the answer.
#[derive(Debug)]
pub enum StateQuery {
    /// Query for the whole state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Query whether the process is in service; the error is the reason why not.
    Health(oneshot::Sender<Result<(), String>>),
    /// Query where a new flow would go, as JSON.
    Place(
        PlaceRequest,
        oneshot::Sender<Result<serde_json::Value, PlaceFault>>,
    ),
}

/// A flow whose placement is queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRequest {
    /// Address that the flow is opened to.
    pub to: SocketAddrV4,
    /// Address of the client, if the answer is for one client.
    pub from: Option<Ipv4Addr>,
}

impl PlaceRequest {
    /// Parses the query of a URL, such as `to=198.18.0.1:443&from=100.64.0.7`.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing, malformed, unknown or repeated.
    pub fn parse(query: &str) -> Result<Self, String> {
        let (mut to, mut from) = (None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = value.replace("%3A", ":").replace("%3a", ":");
            let malformed = || format!("{key} is malformed: {value:?}");
            match key {
                "to" if to.is_none() => to = Some(value.parse().map_err(|_| malformed())?),
                "from" if from.is_none() => from = Some(value.parse().map_err(|_| malformed())?),
                _ => return Err(format!("{key} is unknown or repeated")),
            }
        }
        let to = to.ok_or("to is missing: pass to=ADDRESS:PORT")?;
        Ok(Self { to, from })
    }
}

/// The reason why a query for a placement has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceFault {
    /// The daemon places no flows in this mode.
    Unsupported,
    /// The daemon can't say, for the given reason.
    CannotSay(String),
}

/// Sends state queries to the task that owns the state.
pub type StateQuerySender = mpsc::Sender<StateQuery>;

/// A failure to serve HTTP or to record metrics.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen for HTTP at {0}: {1}; set another `http_listen` address
    Listen(SocketAddr, std::io::Error),
    /// can't serve HTTP: {0}
    Serve(std::io::Error),
    /// can't start to record metrics: {0}
    Recorder(String),
}

impl std::error::Error for Error {}

/// Starts to record metrics in this process.
///
/// # Errors
///
/// Fails when the process already records metrics.
pub fn record_metrics() -> Result<PrometheusHandle, Error> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| Error::Recorder(e.to_string()))
}

/// Listens at `address`. A process calls this before it serves any client, to learn early whether
/// the address is in use.
///
/// # Errors
///
/// Fails when the address can't be listened at.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|e| Error::Listen(address, e))
}

/// Starts a child of `supervisor` that serves the connections to `listener`.
pub fn start(
    supervisor: &Supervisor,
    restart: Restart,
    listener: TcpListener,
    metrics: PrometheusHandle,
    query_sender: StateQuerySender,
) {
    let listener = Rc::new(listener);
    supervisor.start_child("http", restart, move |token| {
        let (listener, metrics) = (Rc::clone(&listener), metrics.clone());
        let query_sender = query_sender.clone();
        async move {
            let served = serve(&listener, metrics, query_sender, token).await;
            served.map_err(|e| e.to_string())
        }
    });
}

/// Serves HTTP until `token` is cancelled. The listener stays open, so that a restarted task can
/// serve it again.
async fn serve(
    listener: &TcpListener,
    metrics: PrometheusHandle,
    query_sender: StateQuerySender,
    token: CancellationToken,
) -> Result<(), Error> {
    let listener = listener.try_clone().map_err(Error::Serve)?;
    let server = web::server(async move || {
        App::new()
            .state(metrics.clone())
            .state(query_sender.clone())
            .service((
                web::resource("/metrics").route(web::get().to(get_metrics)),
                web::resource("/health").route(web::get().to(get_health)),
                web::resource("/dump").route(web::get().to(get_dump)),
                web::resource("/place").route(web::get().to(get_place)),
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

async fn get_health(query_sender: web::types::State<StateQuerySender>) -> HttpResponse {
    match query_state(&query_sender, StateQuery::Health).await {
        Some(Ok(())) => HttpResponse::Ok().body("ok\n"),
        Some(Err(reason)) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
        None => no_answer(),
    }
}

async fn get_dump(query_sender: web::types::State<StateQuerySender>) -> HttpResponse {
    match query_state(&query_sender, StateQuery::Dump).await {
        Some(dump) => HttpResponse::Ok()
            .content_type("application/json")
            .body(dump.to_string()),
        None => no_answer(),
    }
}

async fn get_place(
    request: web::HttpRequest,
    query_sender: web::types::State<StateQuerySender>,
) -> HttpResponse {
    let place = match PlaceRequest::parse(request.query_string()) {
        Ok(place) => place,
        Err(reason) => return HttpResponse::BadRequest().body(format!("{reason}\n")),
    };
    match query_state(&query_sender, |answer| StateQuery::Place(place, answer)).await {
        Some(Ok(explanation)) => HttpResponse::Ok()
            .content_type("application/json")
            .body(explanation.to_string()),
        Some(Err(PlaceFault::CannotSay(reason))) => {
            HttpResponse::Conflict().body(format!("{reason}\n"))
        }
        Some(Err(PlaceFault::Unsupported)) => {
            HttpResponse::NotFound().body("this daemon places no flows\n")
        }
        None => no_answer(),
    }
}

/// Sends a query to the task that owns the state. Returns `None` if the task doesn't answer within
/// [`QUERY_TIMEOUT`].
pub async fn query_state<T>(
    query_sender: &StateQuerySender,
    query: impl FnOnce(oneshot::Sender<T>) -> StateQuery,
) -> Option<T> {
    let (answer, answered) = oneshot::channel();
    query_sender.try_send(query(answer)).ok()?;
    tokio::time::timeout(QUERY_TIMEOUT, answered)
        .await
        .ok()?
        .ok()
}

fn no_answer() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the process is overloaded or stopping: try again\n")
}
