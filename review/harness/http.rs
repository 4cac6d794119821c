//! A small HTTP/1.1 client.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Formats a request; the connection stays open after it.
pub fn request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let kind = if body.is_empty() {
        String::new()
    } else {
        "Content-Type: application/json\r\n".to_owned()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\n{kind}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads one response: status and body.
pub fn read_response(stream: &mut TcpStream, limit: Duration) -> Result<(u16, String), String> {
    let start = Instant::now();
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        if let Some(response) = parse(&bytes) {
            return Ok(response);
        }
        let left = limit.saturating_sub(start.elapsed());
        if left.is_zero() {
            return Err("no answer".to_owned());
        }
        stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        match stream.read(&mut part) {
            Ok(0) => return Err("connection closed".to_owned()),
            Ok(n) => bytes.extend_from_slice(&part[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok()).flatten()
    });
    let length = length.unwrap_or(0);
    (body.len() >= length).then(|| (status, body[..length].to_owned()))
}

/// Sends a request on a new connection and waits `limit_ms` for the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit_ms: u64,
) -> Result<(u16, String), String> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&to, limit).map_err(|e| e.to_string())?;
    stream.write_all(&request(method, path, body)).map_err(|e| e.to_string())?;
    read_response(&mut stream, limit)
}

/// Sends a request on a new connection and waits `limit_ms` for the answer. Without an answer, also
/// returns the connection, which stays open for a late one.
pub fn call_open(
    to: SocketAddr,
    method: &str,
    path: &str,
    limit_ms: u64,
) -> Result<(Option<u16>, TcpStream), String> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&to, limit).map_err(|e| e.to_string())?;
    stream.write_all(&request(method, path, "")).map_err(|e| e.to_string())?;
    let answer = read_response(&mut stream, limit).ok();
    Ok((answer.map(|(status, _)| status), stream))
}
