//! Turns messages of the schema into the types of [`model`] and back.

use std::{net::SocketAddr, str::FromStr};

use displaydoc::Display;
use model::{
    announce::Announcement,
    command::{Command, Entry, SYSTEM},
    config::{
        Change, ChangeKind, ChangeState, DEFAULT_DEADLINE_MS, DEFAULT_IDLE_MS, DomainState,
        Refusal, Service, Upstream, UpstreamState,
    },
    name::Name,
};
use ntex_grpc::ByteString;

use crate::schema::{self, apply_request};

/// Longest operator name, in bytes.
pub const MAX_OPERATOR: usize = 63;

/// Longest request id, in bytes.
pub const MAX_REQUEST_ID: usize = 128;

/// field `{field}`: {reason}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// Field of the message.
    pub field: &'static str,
    /// What is wrong and what to do.
    pub reason: String,
}

impl std::error::Error for Invalid {}

impl Invalid {
    /// Makes an error.
    pub fn new(field: &'static str, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { field, reason }
    }
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// A command for the replicated log.
    Command(Entry),
    /// The replacement of a control VM.
    Replace {
        /// Name of the control VM that goes.
        old: Name,
        /// Name of the control VM that comes.
        new: Name,
    },
}

/// Checks a request for a command. `announced` looks up what an upstream of a service announced,
/// or says why it can't be admitted.
///
/// # Errors
///
/// Names the first field that is wrong.
pub fn entry(
    request: &schema::ApplyRequest,
    announced: impl Fn(&Name, &Name) -> Result<Upstream, String>,
) -> Result<Asked, Invalid> {
    check_operator(&request.operator)?;
    check_request_id(&request.request_id)?;
    let Some(command) = &request.command else {
        return Err(Invalid::new("command", "is missing: set one"));
    };
    let command = match command {
        apply_request::Command::PutDomain(m) => Command::PutDomain {
            name: name("name", &m.name)?,
        },
        apply_request::Command::PutService(m) => Command::PutService {
            name: name("name", &m.name)?,
            service: service(m)?,
        },
        apply_request::Command::RemoveService(m) => Command::RemoveService {
            name: name("name", &m.name)?,
        },
        apply_request::Command::Admit(m) => admit(m, announced)?,
        apply_request::Command::Drain(m) => Command::Drain {
            service: name("service", &m.service)?,
            upstream: name("upstream", &m.upstream)?,
        },
        apply_request::Command::DomainOut(m) => Command::DomainOut {
            name: name("name", &m.name)?,
        },
        apply_request::Command::DomainIn(m) => Command::DomainIn {
            name: name("name", &m.name)?,
        },
        apply_request::Command::ControlReplace(m) => {
            return Ok(Asked::Replace {
                old: name("old", &m.old)?,
                new: name("new", &m.new)?,
            });
        }
    };
    let operator = request.operator.to_string();
    let request_id = request.request_id.to_string();
    let entry = Entry::new(operator, request_id, request.expected_version, command);
    Ok(Asked::Command(entry))
}

fn check_operator(operator: &str) -> Result<(), Invalid> {
    if operator.is_empty() || operator.len() > MAX_OPERATOR {
        let reason = format!("must have 1 to {MAX_OPERATOR} bytes: shorten or set it");
        return Err(Invalid::new("operator", reason));
    }
    if operator == SYSTEM {
        let reason = "\"control\" is kept for the system's own steps: use your own name";
        return Err(Invalid::new("operator", reason));
    }
    Ok(())
}

fn check_request_id(id: &str) -> Result<(), Invalid> {
    if id.is_empty() || id.len() > MAX_REQUEST_ID {
        let reason = format!("must have 1 to {MAX_REQUEST_ID} bytes: draw one at random");
        return Err(Invalid::new("request_id", reason));
    }
    Ok(())
}

fn service(message: &schema::PutService) -> Result<Service, Invalid> {
    let or_default = |value, default| if value == 0 { default } else { value };
    Ok(Service {
        deadline_ms: or_default(message.deadline_ms, DEFAULT_DEADLINE_MS),
        idle_ms: or_default(message.idle_ms, DEFAULT_IDLE_MS),
        ..Service::at(address("address", &message.address)?)
    })
}

fn admit(
    message: &schema::Admit,
    announced: impl Fn(&Name, &Name) -> Result<Upstream, String>,
) -> Result<Command, Invalid> {
    let service = name("service", &message.service)?;
    let upstream = name("upstream", &message.upstream)?;
    let announced =
        announced(&service, &upstream).map_err(|reason| Invalid::new("upstream", reason))?;
    Ok(Command::Admit {
        service,
        upstream,
        announced,
    })
}

/// Checks what an upstream announces.
///
/// # Errors
///
/// Names the first field that is wrong.
pub fn announcement(message: &schema::AnnounceRequest) -> Result<Announcement, Invalid> {
    let slots = narrow("slots", message.slots)?;
    let warmth_percent = narrow("warmth_percent", message.warmth_percent)?;
    if slots == 0 {
        return Err(Invalid::new("slots", "is 0: give at least 1"));
    }
    if message.connections == 0 {
        return Err(Invalid::new("connections", "is 0: give at least 1"));
    }
    if warmth_percent > 100 {
        return Err(Invalid::new("warmth_percent", "is over 100: give 0 to 100"));
    }
    Ok(Announcement {
        service: name("service", &message.service)?,
        upstream: name("upstream", &message.upstream)?,
        domain: name("domain", &message.domain)?,
        flow_address: address("flow_address", &message.flow_address)?,
        request_address: address("request_address", &message.request_address)?,
        slots,
        connections: message.connections,
        incarnation: message.incarnation,
        held_flows: message.held_flows,
        warmth_percent,
        leaving: message.leaving,
    })
}

/// The message for what an upstream announces.
#[must_use]
pub fn announce_request(announcement: &Announcement) -> schema::AnnounceRequest {
    schema::AnnounceRequest {
        service: text(&announcement.service),
        upstream: text(&announcement.upstream),
        domain: text(&announcement.domain),
        flow_address: text(announcement.flow_address),
        request_address: text(announcement.request_address),
        slots: u32::from(announcement.slots),
        connections: announcement.connections,
        incarnation: announcement.incarnation,
        held_flows: announcement.held_flows,
        warmth_percent: u32::from(announcement.warmth_percent),
        leaving: announcement.leaving,
    }
}

/// Kind of a refusal by the configuration, and the field that it names.
#[must_use]
pub fn refusal(refusal: &Refusal) -> (schema::RefusalKind, &str) {
    match refusal {
        Refusal::Version { .. } => (schema::RefusalKind::Version, "expected_version"),
        Refusal::UnknownService(_) => (schema::RefusalKind::UnknownName, "service"),
        Refusal::UnknownDomain(_) => (schema::RefusalKind::UnknownName, "name"),
        Refusal::UnknownUpstream(_) => (schema::RefusalKind::UnknownName, "upstream"),
        Refusal::AddressTaken(..) => (schema::RefusalKind::Conflict, "address"),
        Refusal::RequestReused(_) => (schema::RefusalKind::Conflict, "request_id"),
        Refusal::Field { field, .. } => (schema::RefusalKind::Field, field),
        _ => (schema::RefusalKind::Conflict, ""),
    }
}

/// The message for a planned change.
#[must_use]
pub fn change(number: u64, change: &Change, missing: &[Name]) -> schema::Change {
    let (kind, subject) = match &change.kind {
        ChangeKind::Service(service) => ("service", service.to_string()),
        ChangeKind::Admit(service, upstream) => ("admit", format!("{service}/{upstream}")),
        ChangeKind::Drain(service, upstream) => ("drain", format!("{service}/{upstream}")),
        ChangeKind::DomainOut(domain) => ("domain-out", domain.to_string()),
        ChangeKind::DomainIn(domain) => ("domain-in", domain.to_string()),
    };
    let state = match change.state {
        ChangeState::InForce if missing.is_empty() => "in-force",
        ChangeState::InForce | ChangeState::Accepted => "accepted",
        ChangeState::Superseded => "superseded",
    };
    schema::Change {
        number,
        kind: kind.into(),
        subject: subject.into(),
        operator: change.operator.as_str().into(),
        state: state.into(),
        done_index: change.done_index.unwrap_or_default(),
        missing: missing.iter().map(text).collect(),
    }
}

/// The word for a failure domain's state.
#[must_use]
pub fn domain_state(state: DomainState) -> &'static str {
    match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    }
}

/// The word for an upstream's state.
#[must_use]
pub fn upstream_state(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Admitted => "admitted",
        UpstreamState::Draining => "draining",
    }
}

/// A value as the text of a field.
pub fn text(value: impl ToString) -> ByteString {
    ByteString::from(value.to_string())
}

fn name(field: &'static str, text: &str) -> Result<Name, Invalid> {
    Name::from_str(text).map_err(|e| Invalid::new(field, e.to_string()))
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, Invalid> {
    let wrong = |_| {
        let reason = format!("{text:?} is no address: write IP address and port, as 10.0.0.1:443");
        Invalid::new(field, reason)
    };
    text.parse().map_err(wrong)
}

fn narrow<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, Invalid> {
    T::try_from(value).map_err(|_| Invalid::new(field, format!("{value} is too large: lower it")))
}
