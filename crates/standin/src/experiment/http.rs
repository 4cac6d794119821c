//! Reads `/health`, `/metrics` and `/dump` of a process.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for a connection or an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a `GET`; `None` unless the answer is 200.
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

/// Whether the process is in service.
#[must_use]
pub fn is_healthy(address: SocketAddr) -> bool {
    get(address, "/health").is_some()
}

/// Metrics by name, summed over their labels.
#[must_use]
pub fn metrics(address: SocketAddr) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for line in get(address, "/metrics").unwrap_or_default().lines() {
        let Some((metric, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let name = metric.split('{').next().unwrap_or_default();
        if let (false, Ok(value)) = (name.starts_with('#'), value.parse::<f64>()) {
            *sums.entry(name.to_owned()).or_default() += value;
        }
    }
    sums
}
