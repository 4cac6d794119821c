//! Sends commands that change the configuration and waits until they are in force.

use std::time::Duration;

use clap::ArgMatches;
use rpc::schema::{
    self, Accepted, ApplyRequest, GetChangeRequest, ReadRequest, RefusalKind, Refused,
    apply_request::Command, apply_response::Outcome,
};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    args::{self, string_arg},
    call::{Attempt, ControlClient},
    exit::{Code, Failure},
    render, show,
};

/// Time between two reads of the state of a planned change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the command that the arguments describe, or `None` for a subcommand that only reads.
///
/// # Errors
///
/// Returns no error at present, because the parser has already checked the arguments.
pub fn command_from_args(matches: &ArgMatches) -> Result<Option<Command>, Failure> {
    let Some((noun, matches)) = matches.subcommand() else {
        return Ok(None);
    };
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(None);
    };
    let argument = |id: &str| string_arg(matches, id).into();
    let command = match (noun, verb) {
        ("service", "put") => Command::PutService(put_service(matches)),
        ("service", "remove") => Command::RemoveService(schema::RemoveService {
            name: argument("service"),
        }),
        ("domain", "put") => Command::PutDomain(schema::PutDomain {
            name: argument("domain"),
        }),
        ("domain", "out") => Command::DomainOut(schema::DomainOut {
            name: argument("domain"),
        }),
        ("domain", "in") => Command::DomainIn(schema::DomainIn {
            name: argument("domain"),
        }),
        ("upstream", "admit") => Command::Admit(schema::Admit {
            service: argument("service"),
            upstream: argument("upstream"),
        }),
        ("upstream", "drain") => Command::Drain(schema::Drain {
            service: argument("service"),
            upstream: argument("upstream"),
        }),
        ("control", "replace") => Command::ControlReplace(schema::ControlReplace {
            old: argument("old"),
            new: argument("new"),
        }),
        _ => return Ok(None),
    };
    Ok(Some(command))
}

fn put_service(matches: &ArgMatches) -> schema::PutService {
    let milliseconds_arg = |id| matches.get_one::<u32>(id).copied().unwrap_or_default();
    let address = matches.get_one::<std::net::SocketAddr>("address");
    schema::PutService {
        name: string_arg(matches, "service").into(),
        address: address.map(ToString::to_string).unwrap_or_default().into(),
        deadline_ms: milliseconds_arg("deadline-ms"),
        idle_ms: milliseconds_arg("idle-ms"),
    }
}

/// Runs a command and prints its outcome.
///
/// # Errors
///
/// Returns a failure that tells whether the command was refused, may have been run, was not run, or
/// was accepted but is not in force yet.
pub async fn run(
    control_client: &mut ControlClient,
    matches: &ArgMatches,
    command: Command,
) -> Result<(), Failure> {
    let request = build_request(matches, command);
    if matches.get_one::<String>("request-id").is_none() {
        eprintln!("request id: {}", request.request_id);
    }
    let outcome = control_client.call(async |client| {
        let response = client.apply(&request).await?;
        Ok(classify_outcome(response.outcome))
    });
    let outcome = outcome.await.map_err(|failure| match failure.code {
        Code::Unknown => add_resend_advice(failure, &request),
        _ => failure,
    })?;
    let accepted = match outcome {
        Ok(accepted) => accepted,
        Err(refused) => return Err(report_refusal(matches, &request, &refused)),
    };
    if matches.get_flag("wait") {
        wait_for_accepted(control_client, &accepted).await?;
    }
    let printed = json!({
        "outcome": if matches.get_flag("wait") { "in-force" } else { "accepted" },
        "request_id": request.request_id.as_str(),
        "index": accepted.index,
        "version": accepted.version,
        "change": accepted.change,
    });
    show::print_object(args::output_format(matches), &printed);
    Ok(())
}

fn build_request(matches: &ArgMatches, command: Command) -> ApplyRequest {
    let given = string_arg(matches, "operator").to_owned();
    let operator = if given.is_empty() {
        std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
    } else {
        given
    };
    let given = string_arg(matches, "request-id").to_owned();
    let request_id = if given.is_empty() {
        generate_request_id()
    } else {
        given
    };
    ApplyRequest {
        operator: operator.into(),
        request_id: request_id.into(),
        expected_version: matches.get_one("expect-version").copied(),
        command: Some(command),
    }
}

/// Returns a random request id of 128 bits.
fn generate_request_id() -> String {
    use std::hash::{BuildHasher, RandomState};
    // Each `RandomState` has different keys, seeded from the operating system.
    let random_half = || RandomState::new().hash_one(std::process::id());
    format!("{:016x}{:016x}", random_half(), random_half())
}

/// Decides whether an answer is final or another control VM has to be asked.
fn classify_outcome(outcome: Option<Outcome>) -> Attempt<Result<Accepted, Refused>> {
    match outcome {
        Some(Outcome::Accepted(accepted)) => Attempt::Final(Ok(accepted)),
        Some(Outcome::Refused(refused)) if refused.kind == RefusalKind::NoLeader => {
            Attempt::NotRun(refused.reason.to_string())
        }
        Some(Outcome::Refused(refused)) => Attempt::Final(Err(refused)),
        Some(Outcome::Unknown(unknown)) => Attempt::Unknown(unknown.reason.to_string()),
        None => Attempt::Unknown("the control VM returned an answer of an unknown kind".to_owned()),
    }
}

fn add_resend_advice(failure: Failure, request: &ApplyRequest) -> Failure {
    let message = format!(
        "outcome unknown: {}; run the command again with --request-id {} to learn the outcome",
        failure.message, request.request_id
    );
    Failure { message, ..failure }
}

fn report_refusal(matches: &ArgMatches, request: &ApplyRequest, refused: &Refused) -> Failure {
    if args::output_format(matches) == args::Output::Json {
        let printed = json!({
            "outcome": "refused",
            "request_id": request.request_id.as_str(),
            "kind": render::refusal_kind(&refused.kind),
            "field": refused.field.as_str(),
            "reason": refused.reason.as_str(),
            "index": refused.index,
            "version": refused.version,
        });
        show::print_object(args::Output::Json, &printed);
    }
    Failure::new(Code::Refused, format!("refused: {}", refused.reason))
}

async fn wait_for_accepted(
    control_client: &mut ControlClient,
    accepted: &Accepted,
) -> Result<(), Failure> {
    if accepted.change == 0 {
        wait_until_applied(control_client, accepted.index).await
    } else {
        wait_until_in_force(control_client, accepted.change).await
    }
}

/// Reads one planned change.
///
/// # Errors
///
/// Returns a failure if no control VM answers or the change doesn't exist.
pub async fn get_change(
    control_client: &mut ControlClient,
    number: u64,
    allow_old: bool,
) -> Result<schema::Change, Failure> {
    let request = GetChangeRequest { number, allow_old };
    let response = control_client
        .call(async |client| Ok(Attempt::Final(client.get_change(&request).await?)))
        .await?;
    response.change.ok_or_else(|| {
        let message = format!("no planned change has number {number}: see `oriolectl change list`");
        Failure::new(Code::Refused, message)
    })
}

/// Waits until the planned change `number` is in force or superseded by a later change.
///
/// # Errors
///
/// Returns a failure if the change doesn't exist, or if the deadline passes; the message then names
/// the VMs that have not applied the change.
pub async fn wait_until_in_force(
    control_client: &mut ControlClient,
    number: u64,
) -> Result<(), Failure> {
    loop {
        let change = get_change(control_client, number, false).await?;
        if change.state == "in-force" || change.state == "superseded" {
            return Ok(());
        }
        let missing: Vec<&str> = change.missing.iter().map(|name| &**name).collect();
        wait_for_next_poll(control_client, &missing).await?;
    }
}

/// Waits until every live entry VM has applied the command at `index`.
async fn wait_until_applied(control_client: &mut ControlClient, index: u64) -> Result<(), Failure> {
    let request = ReadRequest::default();
    loop {
        let status = control_client
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
        wait_for_next_poll(control_client, &missing).await?;
    }
}

async fn wait_for_next_poll(
    control_client: &ControlClient,
    missing: &[&str],
) -> Result<(), Failure> {
    if control_client.time_left().is_zero() {
        let message = if missing.is_empty() {
            "change accepted, but the leader has not put it in force within the time limit; the rollout continues".to_owned()
        } else {
            format!(
                "change accepted, but not in force at {} within the time limit; the rollout continues",
                missing.join(", ")
            )
        };
        return Err(Failure::new(Code::NotInForce, message));
    }
    sleep(POLL_INTERVAL).await;
    Ok(())
}
