//! Reads `/health`, `/metrics` and `/dump` of a process over HTTP.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout for the connection and for the answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the body of a `GET`; `None` unless the status is 200.
#[must_use]
pub fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = format!("GET {path} HTTP/1.0\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?;
    (status == "200").then(|| body.to_owned())
}

/// Reports whether the process is in service.
#[must_use]
pub fn is_healthy(address: SocketAddr) -> bool {
    get(address, "/health").is_some()
}

/// Returns the values of a metric of the process by the value of `label`; empty when the process has
/// no such metric.
#[must_use]
pub fn metric(address: SocketAddr, name: &str, label: &str) -> BTreeMap<String, f64> {
    let text = get(address, "/metrics").unwrap_or_default();
    let mut values = BTreeMap::new();
    for line in text.lines() {
        let Some((metric, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Some(labels) = metric.strip_prefix(name) else {
            continue;
        };
        let key = labels
            .split_once(&format!("{label}=\""))
            .map(|(_, rest)| rest);
        let key = key.and_then(|rest| rest.split('"').next());
        if let (Some(key), Ok(value)) = (key, value.parse()) {
            values.insert(key.to_owned(), value);
        }
    }
    values
}
