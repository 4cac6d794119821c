//! Runs commands that change the configuration, and follows them until they are in force.

use std::time::Duration;

use clap::ArgMatches;
use rpc::schema::{
    self, Accepted, ApplyRequest, GetChangeRequest, ReadRequest, RefusalKind, Refused,
    apply_request::Command, apply_response::Outcome,
};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    args::{self, text},
    call::{Attempt, Controls},
    exit::{Code, Failure},
    render, show,
};

/// Time between two looks at a planned change.
const POLL: Duration = Duration::from_millis(100);

/// The command that the command line asks for, if it asks for one.
///
/// # Errors
///
/// Never today; the parser has checked the arguments.
pub fn asked(matches: &ArgMatches) -> Result<Option<Command>, Failure> {
    let Some((noun, matches)) = matches.subcommand() else {
        return Ok(None);
    };
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(None);
    };
    let word = |id: &str| text(matches, id).into();
    let command = match (noun, verb) {
        ("service", "put") => Command::PutService(put_service(matches)),
        ("service", "remove") => Command::RemoveService(schema::RemoveService {
            name: word("service"),
        }),
        ("domain", "put") => Command::PutDomain(schema::PutDomain {
            name: word("domain"),
        }),
        ("domain", "out") => Command::DomainOut(schema::DomainOut {
            name: word("domain"),
        }),
        ("domain", "in") => Command::DomainIn(schema::DomainIn {
            name: word("domain"),
        }),
        ("upstream", "admit") => Command::Admit(schema::Admit {
            service: word("service"),
            upstream: word("upstream"),
        }),
        ("upstream", "drain") => Command::Drain(schema::Drain {
            service: word("service"),
            upstream: word("upstream"),
        }),
        ("control", "replace") => Command::ControlReplace(schema::ControlReplace {
            old: word("old"),
            new: word("new"),
        }),
        _ => return Ok(None),
    };
    Ok(Some(command))
}

fn put_service(matches: &ArgMatches) -> schema::PutService {
    let milliseconds = |id| matches.get_one::<u32>(id).copied().unwrap_or_default();
    let address = matches.get_one::<std::net::SocketAddr>("address");
    schema::PutService {
        name: text(matches, "service").into(),
        address: address.map(ToString::to_string).unwrap_or_default().into(),
        deadline_ms: milliseconds("deadline-ms"),
        idle_ms: milliseconds("idle-ms"),
    }
}

/// Runs a command and prints what came of it.
///
/// # Errors
///
/// Says whether the command was refused, may have been run, or was not run.
pub async fn run(
    controls: &mut Controls,
    matches: &ArgMatches,
    command: Command,
) -> Result<(), Failure> {
    let request = request(matches, command);
    if matches.get_one::<String>("request-id").is_none() {
        eprintln!("request id: {}", request.request_id);
    }
    let outcome = controls.call(async |client| {
        let response = client.apply(&request).await?;
        Ok(sort(response.outcome))
    });
    let outcome = outcome.await.map_err(|failure| match failure.code {
        Code::Unknown => resend(failure, &request),
        _ => failure,
    })?;
    let accepted = match outcome {
        Ok(accepted) => accepted,
        Err(refused) => return Err(refusal(matches, &request, &refused)),
    };
    if matches.get_flag("wait") {
        wait(controls, &accepted).await?;
    }
    let printed = json!({
        "outcome": if matches.get_flag("wait") { "in-force" } else { "accepted" },
        "request_id": request.request_id.as_str(),
        "index": accepted.index,
        "version": accepted.version,
        "change": accepted.change,
    });
    show::object(args::output(matches), &printed);
    Ok(())
}

fn request(matches: &ArgMatches, command: Command) -> ApplyRequest {
    let given = text(matches, "operator").to_owned();
    let operator = if given.is_empty() {
        std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
    } else {
        given
    };
    let given = text(matches, "request-id").to_owned();
    let request_id = if given.is_empty() { draw_id() } else { given };
    ApplyRequest {
        operator: operator.into(),
        request_id: request_id.into(),
        expected_version: matches.get_one("expect-version").copied(),
        command: Some(command),
    }
}

/// A request id that no other request has: 128 bits at random.
fn draw_id() -> String {
    use std::hash::{BuildHasher, RandomState};
    // Each state has keys of its own, seeded from the operating system.
    let half = || RandomState::new().hash_one(std::process::id());
    format!("{:016x}{:016x}", half(), half())
}

/// Which answers are final, and which leave another control VM to be asked.
fn sort(outcome: Option<Outcome>) -> Attempt<Result<Accepted, Refused>> {
    match outcome {
        Some(Outcome::Accepted(accepted)) => Attempt::Final(Ok(accepted)),
        Some(Outcome::Refused(refused)) if refused.kind == RefusalKind::NoLeader => {
            Attempt::NotRun(refused.reason.to_string())
        }
        Some(Outcome::Refused(refused)) => Attempt::Final(Err(refused)),
        Some(Outcome::Unknown(unknown)) => Attempt::Unknown(unknown.reason.to_string()),
        None => Attempt::Unknown("the control VM gave an answer of no known kind".to_owned()),
    }
}

fn resend(failure: Failure, request: &ApplyRequest) -> Failure {
    let message = format!(
        "outcome unknown: {}; run it again with --request-id {}",
        failure.message, request.request_id
    );
    Failure { message, ..failure }
}

fn refusal(matches: &ArgMatches, request: &ApplyRequest, refused: &Refused) -> Failure {
    if args::output(matches) == args::Output::Json {
        let printed = json!({
            "outcome": "refused",
            "request_id": request.request_id.as_str(),
            "kind": render::refusal_kind(&refused.kind),
            "field": refused.field.as_str(),
            "reason": refused.reason.as_str(),
            "index": refused.index,
            "version": refused.version,
        });
        show::object(args::Output::Json, &printed);
    }
    Failure::new(Code::Refused, format!("refused: {}", refused.reason))
}

async fn wait(controls: &mut Controls, accepted: &Accepted) -> Result<(), Failure> {
    if accepted.change == 0 {
        wait_applied(controls, accepted.index).await
    } else {
        wait_in_force(controls, accepted.change).await
    }
}

/// Reads one planned change.
///
/// # Errors
///
/// Fails when no control VM answers, or when there is no such change.
pub async fn get(
    controls: &mut Controls,
    number: u64,
    allow_old: bool,
) -> Result<schema::Change, Failure> {
    let request = GetChangeRequest { number, allow_old };
    let response = controls
        .call(async |client| Ok(Attempt::Final(client.get_change(&request).await?)))
        .await?;
    response.change.ok_or_else(|| {
        let message = format!("change {number} is unknown: see `oriolectl change list`");
        Failure::new(Code::Refused, message)
    })
}

/// Waits until the planned change `number` is in force, or was replaced by a later one.
///
/// # Errors
///
/// Fails when the time is over, naming the VMs that are missing, or when there is no such change.
pub async fn wait_in_force(controls: &mut Controls, number: u64) -> Result<(), Failure> {
    loop {
        let change = get(controls, number, false).await?;
        if change.state == "in-force" || change.state == "superseded" {
            return Ok(());
        }
        let missing: Vec<&str> = change.missing.iter().map(|name| &**name).collect();
        pause(controls, &missing).await?;
    }
}

/// Waits until every live entry VM has applied the command at `index`.
async fn wait_applied(controls: &mut Controls, index: u64) -> Result<(), Failure> {
    let request = ReadRequest::default();
    loop {
        let status = controls
            .call(async |client| Ok(Attempt::Final(client.status(&request).await?)))
            .await?;
        let missing: Vec<&str> = status
            .entry_vms
            .iter()
            .filter(|vm| vm.live && vm.index < index)
            .map(|vm| &*vm.name)
            .collect();
        if missing.is_empty() {
            return Ok(());
        }
        pause(controls, &missing).await?;
    }
}

async fn pause(controls: &Controls, missing: &[&str]) -> Result<(), Failure> {
    if controls.left().is_zero() {
        let message = if missing.is_empty() {
            "accepted, but the leader has not put it in force yet; it goes on".to_owned()
        } else {
            format!(
                "accepted, but not in force at {} yet; it goes on",
                missing.join(", ")
            )
        };
        return Err(Failure::new(Code::NotInForce, message));
    }
    sleep(POLL).await;
    Ok(())
}
