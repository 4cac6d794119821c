//! The query for a placement: parameters, and the HTTP status of each answer.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::net::SocketAddr;

use daemon::{
    http::{self, PlaceFault, PlaceRequest, StateQuery},
    supervisor::{Restart, Supervisor},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
};
use tokio_util::sync::CancellationToken;

/// Returns the status code and the body of the answer to `GET path`.
async fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap_or_default();
    (status.to_owned(), body.trim().to_owned())
}

/// Guards against a status that the command line takes for another answer.
#[test]
fn status_tells_answers_from_faults() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let token = CancellationToken::new();
        let supervisor = Supervisor::new("test", token.clone());
        let (sender, mut queries) = mpsc::channel(4);
        let metrics = http::record_metrics().unwrap();
        http::start(&supervisor, Restart::Never, listener, metrics, sender);
        ntex::rt::spawn(async move {
            while let Some(query) = queries.recv().await {
                let StateQuery::Place(request, answer) = query else {
                    continue;
                };
                let outcome = match request.to.port() {
                    1 => Err(PlaceFault::Unsupported),
                    2 => Err(PlaceFault::CannotSay("no plan".to_owned())),
                    _ => Ok(json!({ "from": request.from })),
                };
                answer.send(outcome).unwrap();
            }
        });
        for (query, status, body) in [
            ("to=10.0.0.1:1", "404", "this daemon places no flows"),
            ("to=10.0.0.1:2", "409", "no plan"),
            ("to=10.0.0.1", "400", "to is malformed: \"10.0.0.1\""),
            (
                "to=10.0.0.1:3&from=10.0.0.9",
                "200",
                r#"{"from":"10.0.0.9"}"#,
            ),
        ] {
            let answer = get(address, &format!("/place?{query}")).await;
            assert_eq!(answer, (status.to_owned(), body.to_owned()), "{query}");
        }
        token.cancel();
    });
}

/// Guards against a query that is answered for another flow than the given one.
#[test]
fn parameters_are_read_or_refused() {
    let parsed = |query| PlaceRequest::parse(query).map(|p| (p.to.to_string(), p.from));
    let to = "198.18.0.1:443".to_owned();
    assert_eq!(parsed("to=198.18.0.1:443"), Ok((to.clone(), None)));
    let from = Some([100, 64, 0, 7].into());
    assert_eq!(
        parsed("from=100.64.0.7&to=198.18.0.1%3A443"),
        Ok((to, from))
    );
    for query in [
        "",
        "from=100.64.0.7",
        "to=198.18.0.1",
        "to=[::1]:443",
        "to=198.18.0.1:443&from=",
        "to=198.18.0.1:443&to=198.18.0.2:443",
        "to=198.18.0.1:443&form=100.64.0.7",
    ] {
        assert!(parsed(query).is_err(), "{query}");
    }
}
