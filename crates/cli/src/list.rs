//! Subcommands that only read: status, lists, single changes and dumps.

use std::cell::Cell;

use clap::ArgMatches;
use rpc::schema::{DumpRequest, ReadRequest};
use serde_json::{Value, json};

use crate::{
    args::{self, Output, string_arg},
    call::{Attempt, ControlClient},
    change,
    exit::{Code, Failure},
    render, show,
};

const ENTRY_VM_COLUMNS: &[&str] = &["name", "domain", "live", "index", "age_ms"];
const DOMAIN_COLUMNS: &[&str] = &["name", "state"];
const SERVICE_COLUMNS: &[&str] = &[
    "name",
    "address",
    "upstreams",
    "draining",
    "deadline_ms",
    "idle_ms",
    "generations",
];
const UPSTREAM_COLUMNS: &[&str] = &[
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
const CHANGE_COLUMNS: &[&str] = &["number", "kind", "subject", "operator", "state", "missing"];

/// Runs a subcommand that only reads, and prints the answer.
///
/// # Errors
///
/// Returns a failure if no control VM answers or the requested object doesn't exist.
pub(crate) async fn run(
    control_client: &mut ControlClient,
    matches: &ArgMatches,
) -> Result<(), Failure> {
    let output = args::output_format(matches);
    let query = ReadRequest {
        allow_old: matches.get_flag("allow-old"),
    };
    let path = matches.subcommand().map(|(noun, matches)| {
        let verb = matches.subcommand_name().unwrap_or_default();
        (noun, verb, matches)
    });
    match path {
        Some(("status", _, _)) => show_status(&fetch_status(control_client, &query).await?, output),
        Some(("service", "list", _)) => {
            let status = fetch_status(control_client, &query).await?;
            show_list(&status, "services", SERVICE_COLUMNS, output);
        }
        Some(("domain", "list", _)) => {
            let status = fetch_status(control_client, &query).await?;
            show_list(&status, "domains", DOMAIN_COLUMNS, output);
        }
        Some(("upstream", "list", _)) => {
            let list = control_client
                .call(async |client| Ok(Attempt::Final(client.list_upstreams(&query).await?)))
                .await?;
            show_list(
                &render::upstreams(&list),
                "upstreams",
                UPSTREAM_COLUMNS,
                output,
            );
        }
        Some(("change", "list", _)) => {
            let list = control_client
                .call(async |client| Ok(Attempt::Final(client.list_changes(&query).await?)))
                .await?;
            show_list(&render::changes(&list), "changes", CHANGE_COLUMNS, output);
        }
        Some(("change", verb, matches)) => {
            show_change(control_client, matches, verb, output).await?
        }
        Some(("dump", _, matches)) => print_dump(control_client, string_arg(matches, "vm")).await?,
        _ => return Err(Failure::new(Code::Usage, "unknown command: see --help")),
    }
    Ok(())
}

async fn fetch_status(
    control_client: &mut ControlClient,
    query: &ReadRequest,
) -> Result<Value, Failure> {
    let status = control_client
        .call(async |client| Ok(Attempt::Final(client.status(query).await?)))
        .await?;
    Ok(render::status(&status))
}

fn show_status(status: &Value, output: Output) {
    if output == Output::Json {
        show::print_json(status);
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
    let mut text = show::format_lines(&summary);
    for (title, key, columns) in [
        ("Entry VMs", "entry_vms", ENTRY_VM_COLUMNS),
        ("Failure domains", "domains", DOMAIN_COLUMNS),
        ("Services", "services", SERVICE_COLUMNS),
    ] {
        text += &format!("\n{title}\n{}", show::format_table(&status[key], columns));
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
            show::print_json(&list);
        }
        Output::Table => {
            warn_if_old(value);
            show::print(show::format_table(&value[key], columns));
        }
    }
}

/// Warns on stderr, with the age of the answer, if the answer may lack the newest commands.
fn warn_if_old(value: &Value) {
    let freshness = &value["freshness"];
    if freshness["linearizable"] == Value::Bool(false) {
        eprintln!(
            "oriolectl: warning: the answer of {} is {} ms old: {}",
            freshness["answered_by"].as_str().unwrap_or("-"),
            freshness["age_ms"],
            freshness["reason"].as_str().unwrap_or("-"),
        );
    }
}

async fn show_change(
    control_client: &mut ControlClient,
    matches: &ArgMatches,
    verb: &str,
    output: Output,
) -> Result<(), Failure> {
    let matches = matches.subcommand().map_or(matches, |(_, matches)| matches);
    let number = matches.get_one("number").copied().unwrap_or_default();
    if verb == "wait" {
        change::wait_until_in_force(control_client, number).await?;
    }
    let change = change::get_change(control_client, number, matches.get_flag("allow-old")).await?;
    show::print_object(output, &render::change(&change));
    Ok(())
}

/// Prints the dump of a VM. A control VM can dump only itself and the entry VMs, so every control VM
/// is asked before the dump counts as unavailable.
async fn print_dump(control_client: &mut ControlClient, vm: &str) -> Result<(), Failure> {
    let request = DumpRequest { vm: vm.into() };
    let answered = Cell::new(0);
    let control_count = control_client.count();
    let answer = control_client
        .call(async |client| {
            let response = client.dump(&request).await?;
            answered.set(answered.get() + 1);
            if !response.json.is_empty() {
                return Ok(Attempt::Final(Ok(response.json)));
            }
            let reason = response.reason.to_string();
            if answered.get() < control_count {
                return Ok(Attempt::NotRun(reason));
            }
            Ok(Attempt::Final(Err(reason)))
        })
        .await?;
    let text = answer.map_err(|reason| Failure::new(Code::Refused, reason))?;
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text.to_string()));
    show::print_json(&value);
    Ok(())
}
