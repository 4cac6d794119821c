//! Output and exit codes of `oriolectl place` against a stub of an entry VM.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};

fn explanation() -> Value {
    let candidate = |id: &str, excluded: Value, view: Value| {
        json!({
            "id": id, "address": "10.0.0.1:8080", "domain": "a", "slots": 2,
            "excluded": excluded, "warm_in_ms": 1200, "probability": 0.75,
            "cost": 1.25, "room": 0.5, "capacity": 2.0, "view": view,
            "own": { "flows": 3, "requests": 1.5, "slowness": 1.1, "failure_cost": 1.0,
                     "recent_demand": 0.2 },
        })
    };
    let view = json!({ "flows": 9, "demand": 1.5, "slowness": 1.3, "refused_share": 0.0,
                       "age_ms": 640, "controls": 2 });
    json!({
        "plan_version": 4, "route": "feed", "deadline_ms": 900, "held": false,
        "terms": { "kind": "safe", "priority": 2, "goal_ms": 500 }, "request_ms": 40.0,
        "view": [{ "control": "127.0.0.1:7000", "age_ms": 640 }],
        "services": [{
            "service": "booking", "probability": 1.0, "flow_limit": null,
            "admission": {
                "class": "2-repeatable-500ms", "admitted_share": 0.4, "short": true,
                "caller": { "flows": 2, "flows_before": 5, "decision": "refused" },
                "requests": 80.0, "refused_share": 0.2, "late_share": 0.1, "slowness": 2.0,
                "upstreams": 6, "refusing": 5, "view": null,
            },
            "basis": "shared-view", "flow_kind": "long", "flow_demand": 0.08,
            "leaving_share": 0.25, "leaving_share_source": "shared-view", "survey_age_ms": 100,
            "choice": { "id": "a1", "address": "10.0.0.1:8080", "probability": 0.75,
                        "reason": "drawn by free room" },
            "candidates": [candidate("a1", Value::Null, view),
                           candidate("a2", json!("cold"), Value::Null)],
            "unlisted": 7,
        }],
    })
}

/// Starts a stub that answers one request. The handle returns the request line.
fn start_stub(status: &'static str, body: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let request = lines.next().unwrap().unwrap();
        while !lines.next().unwrap().unwrap().is_empty() {}
        write!(
            stream,
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        request
    });
    (address, handle)
}

fn run(entry: SocketAddr, arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oriolectl"))
        .args(["place", "198.18.0.1:443", "--entry", &entry.to_string()])
        .args(arguments.split_whitespace())
        .env_remove(cli::args::CONTROL_VARIABLE)
        .output()
        .unwrap()
}

/// Guards against an answer whose parts are left out of the text, and against a query without the
/// client.
#[test]
fn text_names_admission_candidates_and_choice() {
    let (entry, stub) = start_stub("200 OK", explanation().to_string());
    let output = run(entry, "--from 100.64.0.7");
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    let request = stub.join().unwrap();
    assert_eq!(
        request,
        "GET /place?to=198.18.0.1:443&from=100.64.0.7 HTTP/1.1"
    );
    for part in [
        "route feed (plan 4): safe, priority 2, goal 500 ms; requests take 40.000 ms",
        "shared view: 1 control VMs, oldest summary 640 ms ago",
        "admission: class 2-repeatable-500ms, admitted share 0.400; caller refused, 2 flows in this \
         second, 5 in the last; capacity short",
        "refusing upstreams 5 of 6, view not used",
        "leaving share 0.250 by shared-view, long flow of 0.080 slots, flow limit none",
        "most likely: a1 at 10.0.0.1:8080 with probability 0.750: drawn by free room",
        "and 7 less likely upstreams",
    ] {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    let row = |id: &str| {
        let line = text.lines().find(|l| l.starts_with(id)).unwrap();
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(
        row("a1"),
        "a1 a 2 warm 0.750 1.250 1.500 0.500 9 1.300 640 view of 2 3 1.500"
    );
    assert_eq!(
        row("a2"),
        "a2 a 2 cold for 1200 ms 0.750 1.250 - 0.500 - 1.100 - own sight 3 1.500"
    );
}

/// Guards against JSON output that differs from the answer of the entry VM.
#[test]
fn json_is_the_answer_of_the_entry_vm() {
    let (entry, stub) = start_stub("200 OK", explanation().to_string());
    let output = run(entry, "--output json");
    assert_eq!(output.status.code(), Some(0));
    let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed, explanation());
    let request = stub.join().unwrap();
    assert_eq!(request, "GET /place?to=198.18.0.1:443 HTTP/1.1");
}

/// Guards against success, or a wrong exit code, where the entry VM gives no explanation.
#[test]
fn exit_codes_without_an_explanation() {
    for (status, body, code, message) in [
        (
            "409 Conflict",
            "plan 4 has no route for it",
            1,
            "can't say: plan 4 has no route",
        ),
        (
            "404 Not Found",
            "",
            1,
            "no entry VM in gateway mode, or its build is older",
        ),
        ("400 Bad Request", "to is malformed", 1, "to is malformed"),
        ("503 Service Unavailable", "try again", 4, "try again"),
        ("200 OK", "no JSON", 1, "can't be read"),
    ] {
        let (entry, stub) = start_stub(status, body.to_owned());
        let output = run(entry, "");
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{status}: {errors}");
        assert!(errors.contains(message), "{status}: {errors}");
        stub.join().unwrap();
    }
    let unused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(run(unused, "--timeout 2").status.code(), Some(4));
    assert_eq!(run(unused, "--from nowhere").status.code(), Some(2));
}
