//! Reads: status, lists, single changes and dumps.

use std::cell::Cell;

use clap::ArgMatches;
use rpc::schema::{DumpRequest, ReadRequest};
use serde_json::{Value, json};

use crate::{
    args::{self, Output, text},
    call::{Attempt, Controls},
    change,
    exit::{Code, Failure},
    render, show,
};

const ENTRY_VMS: &[&str] = &["name", "domain", "live", "index", "age_ms"];
const DOMAINS: &[&str] = &["name", "state"];
const SERVICES: &[&str] = &[
    "name",
    "address",
    "upstreams",
    "draining",
    "deadline_ms",
    "idle_ms",
    "generations",
];
const UPSTREAMS: &[&str] = &[
    "service",
    "name",
    "domain",
    "state",
    "live",
    "slots",
    "connections",
    "flow_address",
    "request_address",
];
const CHANGES: &[&str] = &["number", "kind", "subject", "operator", "state", "missing"];

/// Runs a read and prints the answer.
///
/// # Errors
///
/// Fails when no control VM answers, or what is asked for is unknown.
pub(crate) async fn run(controls: &mut Controls, matches: &ArgMatches) -> Result<(), Failure> {
    let output = args::output(matches);
    let read = ReadRequest {
        allow_old: matches.get_flag("allow-old"),
    };
    let path = matches.subcommand().map(|(noun, matches)| {
        let verb = matches.subcommand_name().unwrap_or_default();
        (noun, verb, matches)
    });
    match path {
        Some(("status", _, _)) => show_status(&status(controls, &read).await?, output),
        Some(("service", "list", _)) => {
            let status = status(controls, &read).await?;
            show_list(&status, "services", SERVICES, output);
        }
        Some(("domain", "list", _)) => {
            let status = status(controls, &read).await?;
            show_list(&status, "domains", DOMAINS, output);
        }
        Some(("upstream", "list", _)) => {
            let list = controls
                .call(async |client| Ok(Attempt::Final(client.list_upstreams(&read).await?)))
                .await?;
            show_list(&render::upstreams(&list), "upstreams", UPSTREAMS, output);
        }
        Some(("change", "list", _)) => {
            let list = controls
                .call(async |client| Ok(Attempt::Final(client.list_changes(&read).await?)))
                .await?;
            show_list(&render::changes(&list), "changes", CHANGES, output);
        }
        Some(("change", verb, matches)) => one_change(controls, matches, verb, output).await?,
        Some(("dump", _, matches)) => dump(controls, text(matches, "vm")).await?,
        _ => return Err(Failure::new(Code::Usage, "no such command: see --help")),
    }
    Ok(())
}

async fn status(controls: &mut Controls, read: &ReadRequest) -> Result<Value, Failure> {
    let status = controls
        .call(async |client| Ok(Attempt::Final(client.status(read).await?)))
        .await?;
    Ok(render::status(&status))
}

fn show_status(status: &Value, output: Output) {
    if output == Output::Json {
        show::json(status);
        return;
    }
    warn_if_old(status);
    let summary = json!({
        "cluster": status["cluster"],
        "leader": status["leader"],
        "term": status["term"],
        "version": status["freshness"]["version"],
        "voters": status["voters"],
    });
    let mut text = show::lines(&summary);
    for (title, key, columns) in [
        ("Entry VMs", "entry_vms", ENTRY_VMS),
        ("Failure domains", "domains", DOMAINS),
        ("Services", "services", SERVICES),
    ] {
        text += &format!("\n{title}\n{}", show::table(&status[key], columns));
    }
    show::print(text);
}

fn show_list(value: &Value, key: &str, columns: &[&str], output: Output) {
    match output {
        Output::Json => {
            let list = json!({
                "freshness": value["freshness"],
                key: value[key],
            });
            show::json(&list);
        }
        Output::Table => {
            warn_if_old(value);
            show::print(show::table(&value[key], columns));
        }
    }
}

/// Says how old an answer is that may not hold the newest commands.
fn warn_if_old(value: &Value) {
    let freshness = &value["freshness"];
    if freshness["linearizable"] == Value::Bool(false) {
        eprintln!(
            "oriolectl: the answer of {} is {} ms old: {}",
            freshness["answered_by"].as_str().unwrap_or("-"),
            freshness["age_ms"],
            freshness["reason"].as_str().unwrap_or("-"),
        );
    }
}

async fn one_change(
    controls: &mut Controls,
    matches: &ArgMatches,
    verb: &str,
    output: Output,
) -> Result<(), Failure> {
    let matches = matches.subcommand().map_or(matches, |(_, matches)| matches);
    let number = matches.get_one("number").copied().unwrap_or_default();
    if verb == "wait" {
        change::wait_in_force(controls, number).await?;
    }
    let change = change::get(controls, number, matches.get_flag("allow-old")).await?;
    show::object(output, &render::change(&change));
    Ok(())
}

/// Prints a dump. Each control VM knows itself and the entry VMs, so all of them are asked.
async fn dump(controls: &mut Controls, vm: &str) -> Result<(), Failure> {
    let request = DumpRequest { vm: vm.into() };
    let asked = Cell::new(0);
    let all = controls.count();
    let answer = controls
        .call(async |client| {
            let response = client.dump(&request).await?;
            asked.set(asked.get() + 1);
            if !response.json.is_empty() {
                return Ok(Attempt::Final(Ok(response.json)));
            }
            let reason = response.reason.to_string();
            if asked.get() < all {
                return Ok(Attempt::NotRun(reason));
            }
            Ok(Attempt::Final(Err(reason)))
        })
        .await?;
    let text = answer.map_err(|reason| Failure::new(Code::Refused, reason))?;
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text.to_string()));
    show::json(&value);
    Ok(())
}
