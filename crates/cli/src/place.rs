//! Asks an entry VM where it would place a new flow, and prints the answer.

use std::{
    fmt::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use clap::ArgMatches;
use ntex::{client::Client, http::StatusCode};
use serde_json::{Value, json};

use crate::{
    args::Output,
    exit::{Code, Failure},
    show,
};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

const COLUMNS: &[&str] = &[
    "id",
    "domain",
    "slots",
    "state",
    "chance",
    "cost",
    "demand",
    "room",
    "flows",
    "slowness",
    "age_ms",
    "source",
    "own_flows",
    "own_requests",
];

/// Asks the entry VM given in the arguments and prints the answer.
///
/// # Errors
///
/// Returns a failure if the entry VM doesn't answer or can't say where the flow would go.
pub async fn run(matches: &ArgMatches, output: Output, limit: Duration) -> Result<(), Failure> {
    let missing = |what| Failure::new(Code::Usage, format!("{what} is missing"));
    let to: Option<&SocketAddrV4> = matches.get_one("address");
    let entry: Option<&SocketAddr> = matches.get_one("entry");
    let to = to.ok_or_else(|| missing("ADDRESS"))?;
    let entry = entry.ok_or_else(|| missing("--entry"))?;
    let from: Option<&Ipv4Addr> = matches.get_one("from");
    let query = from.map_or_else(String::new, |from| format!("&from={from}"));
    let url = format!("http://{entry}/place?to={to}{query}");
    let fetched = tokio::time::timeout(limit, fetch(&url)).await;
    let (status, body) = fetched
        .unwrap_or_else(|_| Err(format!("no answer within {limit:?}")))
        .map_err(|reason| {
            let message = format!("entry VM at {entry} does not answer: {reason}");
            Failure::new(Code::NoAnswer, message)
        })?;
    let explanation = read_answer(status, &body)?;
    match output {
        Output::Json => show::print_json(&explanation),
        Output::Table => show::print(format_text(&explanation)),
    }
    Ok(())
}

async fn fetch(url: &str) -> Result<(StatusCode, Vec<u8>), String> {
    let client = Client::new().await;
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|e| e.to_string())?;
    Ok((response.status(), body.to_vec()))
}

fn read_answer(status: StatusCode, body: &[u8]) -> Result<Value, Failure> {
    let text = String::from_utf8_lossy(body);
    let reason = text.trim();
    let refused = |message: String| Err(Failure::new(Code::Refused, message));
    match status {
        StatusCode::OK => serde_json::from_slice(body).map_err(|e| {
            let message =
                format!("the answer can't be read: {e}; use the oriolectl of the VM's build");
            Failure::new(Code::Refused, message)
        }),
        StatusCode::NOT_FOUND => refused(
            "the daemon can't explain placements: it is no entry VM in gateway mode, or its build \
             is older"
                .to_owned(),
        ),
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::new(Code::NoAnswer, reason)),
        _ => refused(format!("the entry VM can't say: {reason}")),
    }
}

/// Formats an explanation as text.
#[must_use]
pub fn format_text(explanation: &Value) -> String {
    let mut text = String::new();
    let terms = match &explanation["terms"] {
        Value::Null => "terms unknown".to_owned(),
        terms => format!(
            "{}, priority {}, goal {}",
            word(&terms["kind"]),
            terms["priority"],
            match terms["goal_ms"].as_u64() {
                Some(goal_ms) => format!("{goal_ms} ms"),
                None => "none".to_owned(),
            },
        ),
    };
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "route {} (plan {}): {terms}; requests take {} ms",
        word(&explanation["route"]),
        explanation["plan_version"],
        number(&explanation["request_ms"]),
    );
    let sources = explanation["view"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let ages = sources.iter().filter_map(|s| s["age_ms"].as_u64());
    let _ = match ages.max() {
        Some(age_ms) => writeln!(
            text,
            "shared view: {} control VMs, oldest summary {age_ms} ms ago",
            sources.len()
        ),
        None => writeln!(text, "shared view: none"),
    };
    if explanation["held"] == true {
        text.push_str("opening packets are held: most upstreams have yet to announce themselves\n");
    }
    let services = explanation["services"].as_array();
    for service in services.into_iter().flatten() {
        format_service(&mut text, service);
    }
    text
}

fn format_service(text: &mut String, service: &Value) {
    let _ = writeln!(
        text,
        "\nservice {} (probability {})",
        word(&service["service"]),
        number(&service["probability"]),
    );
    let admission = &service["admission"];
    let caller = &admission["caller"];
    let caller = match caller["decision"].as_str() {
        Some(decision) => format!(
            "; caller {decision}, {} flows in this second, {} in the last",
            caller["flows"], caller["flows_before"]
        ),
        None => String::new(),
    };
    let class = admission["class"].as_str().unwrap_or("none");
    let _ = writeln!(
        text,
        "admission: class {class}, admitted share {}{caller}; capacity {}",
        number(&admission["admitted_share"]),
        match admission["short"] == true {
            true => "short",
            false => "sufficient",
        },
    );
    let _ = writeln!(
        text,
        "  inputs: requests {}, refused {}, late {}, slowness {}, refusing upstreams {} of {}, view {}",
        number(&admission["requests"]),
        number(&admission["refused_share"]),
        number(&admission["late_share"]),
        number(&admission["slowness"]),
        admission["refusing"],
        admission["upstreams"],
        match &admission["view"] {
            Value::Null => "not used".to_owned(),
            view => format!(
                "refused {}, {} ms old",
                number(&view["refused_share"]),
                view["age_ms"]
            ),
        },
    );
    let _ = writeln!(
        text,
        "placement: by {} ({} ms old), leaving share {} by {}, {} flow of {} slots, flow limit {}",
        word(&service["basis"]),
        service["survey_age_ms"],
        number(&service["leaving_share"]),
        word(&service["leaving_share_source"]),
        word(&service["flow_kind"]),
        number(&service["flow_demand"]),
        match service["flow_limit"].as_u64() {
            Some(limit) => limit.to_string(),
            None => "none".to_owned(),
        },
    );
    let choice = &service["choice"];
    let _ = match choice["id"].as_str() {
        Some(id) => writeln!(
            text,
            "most likely: {id} at {} with probability {}: {}",
            word(&choice["address"]),
            number(&choice["probability"]),
            word(&choice["reason"]),
        ),
        None => writeln!(text, "most likely: none, because no upstream accepts flows"),
    };
    let candidates = service["candidates"].as_array();
    let rows: Vec<Value> = candidates.into_iter().flatten().map(row).collect();
    text.push_str(&show::format_table(&Value::Array(rows), COLUMNS));
    if let Some(unlisted) = service["unlisted"].as_u64().filter(|count| *count > 0) {
        let _ = writeln!(text, "and {unlisted} less likely upstreams");
    }
}

fn row(candidate: &Value) -> Value {
    let (view, own) = (&candidate["view"], &candidate["own"]);
    let state = match candidate["excluded"].as_str() {
        Some("cold") => format!("cold for {} ms", candidate["warm_in_ms"]),
        Some(excluded) => excluded.to_owned(),
        None => "warm".to_owned(),
    };
    let source = match view["controls"].as_u64() {
        Some(count) => format!("view of {count}"),
        None => "own sight".to_owned(),
    };
    json!({
        "id": candidate["id"],
        "domain": candidate["domain"],
        "slots": candidate["slots"],
        "state": state,
        "chance": number(&candidate["probability"]),
        "cost": number(&candidate["cost"]),
        "demand": number(&view["demand"]),
        "room": number(&candidate["room"]),
        "flows": view["flows"],
        "slowness": number(match view {
            Value::Null => &own["slowness"],
            view => &view["slowness"],
        }),
        "age_ms": view["age_ms"],
        "source": source,
        "own_flows": own["flows"],
        "own_requests": number(&own["requests"]),
    })
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Formats a number with three decimals; `-` if there is none.
fn number(value: &Value) -> String {
    let value = value.as_f64();
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"))
}
