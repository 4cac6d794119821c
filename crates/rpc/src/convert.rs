//! Converts between gRPC messages and the types of [`model`].

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

/// Maximum length of the name of an operator, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 63;

/// Maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// field `{field}`: {reason}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Reason why the field is invalid, and what to do.
    pub reason: String,
}

impl std::error::Error for Invalid {}

impl Invalid {
    /// Creates an error for `field`.
    pub fn new(field: &'static str, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { field, reason }
    }
}

/// Valid request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    /// A command for the replicated log.
    Command(Entry),
    /// Replacement of a control VM by another control VM.
    Replace {
        /// Name of the control VM to remove.
        old: Name,
        /// Name of the control VM to add.
        new: Name,
    },
}

/// Converts a request of an operator. `announced` takes the names of a service and an upstream; it
/// returns the announced upstream, or the reason why the upstream can't be admitted.
///
/// # Errors
///
/// Names the first invalid field.
pub fn entry(
    request: &schema::ApplyRequest,
    announced: impl Fn(&Name, &Name) -> Result<Upstream, String>,
) -> Result<OperatorRequest, Invalid> {
    check_operator(&request.operator)?;
    check_request_id(&request.request_id)?;
    let Some(command) = &request.command else {
        return Err(Invalid::new("command", "is missing: set one command"));
    };
    let command = match command {
        apply_request::Command::PutDomain(m) => Command::PutDomain {
            name: parse_name("name", &m.name)?,
        },
        apply_request::Command::PutService(m) => Command::PutService {
            name: parse_name("name", &m.name)?,
            service: parse_service(m)?,
        },
        apply_request::Command::RemoveService(m) => Command::RemoveService {
            name: parse_name("name", &m.name)?,
        },
        apply_request::Command::Admit(m) => parse_admit(m, announced)?,
        apply_request::Command::Drain(m) => Command::Drain {
            service: parse_name("service", &m.service)?,
            upstream: parse_name("upstream", &m.upstream)?,
        },
        apply_request::Command::DomainOut(m) => Command::DomainOut {
            name: parse_name("name", &m.name)?,
        },
        apply_request::Command::DomainIn(m) => Command::DomainIn {
            name: parse_name("name", &m.name)?,
        },
        apply_request::Command::ControlReplace(m) => {
            return Ok(OperatorRequest::Replace {
                old: parse_name("old", &m.old)?,
                new: parse_name("new", &m.new)?,
            });
        }
    };
    let operator = request.operator.to_string();
    let request_id = request.request_id.to_string();
    let entry = Entry::new(operator, request_id, request.expected_version, command);
    Ok(OperatorRequest::Command(entry))
}

fn check_operator(operator: &str) -> Result<(), Invalid> {
    if operator.is_empty() || operator.len() > MAX_OPERATOR_BYTES {
        let reason = format!("must have 1 to {MAX_OPERATOR_BYTES} bytes: set or shorten the name");
        return Err(Invalid::new("operator", reason));
    }
    if operator == SYSTEM {
        let reason = "\"control\" is reserved for commands of the system: use your own name";
        return Err(Invalid::new("operator", reason));
    }
    Ok(())
}

fn check_request_id(id: &str) -> Result<(), Invalid> {
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
        let reason = format!("must have 1 to {MAX_REQUEST_ID_BYTES} bytes: generate a random id");
        return Err(Invalid::new("request_id", reason));
    }
    Ok(())
}

fn parse_service(message: &schema::PutService) -> Result<Service, Invalid> {
    let or_default = |value, default| if value == 0 { default } else { value };
    Ok(Service {
        deadline_ms: or_default(message.deadline_ms, DEFAULT_DEADLINE_MS),
        idle_ms: or_default(message.idle_ms, DEFAULT_IDLE_MS),
        ..Service::at(parse_address("address", &message.address)?)
    })
}

fn parse_admit(
    message: &schema::Admit,
    announced: impl Fn(&Name, &Name) -> Result<Upstream, String>,
) -> Result<Command, Invalid> {
    let service = parse_name("service", &message.service)?;
    let upstream = parse_name("upstream", &message.upstream)?;
    let announced =
        announced(&service, &upstream).map_err(|reason| Invalid::new("upstream", reason))?;
    Ok(Command::Admit {
        service,
        upstream,
        announced,
    })
}

/// Converts the announcement of an upstream.
///
/// # Errors
///
/// Names the first invalid field.
pub fn announcement(message: &schema::AnnounceRequest) -> Result<Announcement, Invalid> {
    let slots = convert_integer("slots", message.slots)?;
    let warmth_percent = convert_integer("warmth_percent", message.warmth_percent)?;
    if slots == 0 {
        return Err(Invalid::new("slots", "is 0: set at least 1"));
    }
    if message.connections == 0 {
        return Err(Invalid::new("connections", "is 0: set at least 1"));
    }
    if warmth_percent > 100 {
        return Err(Invalid::new("warmth_percent", "exceeds 100: set 0 to 100"));
    }
    Ok(Announcement {
        service: parse_name("service", &message.service)?,
        upstream: parse_name("upstream", &message.upstream)?,
        domain: parse_name("domain", &message.domain)?,
        flow_address: parse_address("flow_address", &message.flow_address)?,
        request_address: parse_address("request_address", &message.request_address)?,
        slots,
        connections: message.connections,
        incarnation: message.incarnation,
        held_flows: message.held_flows,
        warmth_percent,
        leaving: message.leaving,
    })
}

/// Returns the gRPC message for the announcement of an upstream.
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

/// Returns the kind of a refusal and the name of the refused field, or an empty name if the refusal
/// concerns no single field.
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

/// Returns the gRPC message for a planned change. `missing` names the live entry VMs that have not
/// applied the change.
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

/// Returns the name of the state of a failure domain, as in gRPC messages.
#[must_use]
pub fn domain_state(state: DomainState) -> &'static str {
    match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    }
}

/// Returns the name of the state of an upstream, as in gRPC messages.
#[must_use]
pub fn upstream_state(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Admitted => "admitted",
        UpstreamState::Draining => "draining",
    }
}

/// Formats a value as the text of a message field.
pub fn text(value: impl ToString) -> ByteString {
    ByteString::from(value.to_string())
}

fn parse_name(field: &'static str, text: &str) -> Result<Name, Invalid> {
    Name::from_str(text).map_err(|e| Invalid::new(field, e.to_string()))
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, Invalid> {
    let invalid = |_| {
        let reason =
            format!("{text:?} is not an address: write IP address and port, such as 10.0.0.1:443");
        Invalid::new(field, reason)
    };
    text.parse().map_err(invalid)
}

/// Converts `value` to a smaller integer type.
fn convert_integer<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, Invalid> {
    T::try_from(value).map_err(|_| Invalid::new(field, format!("{value} is too large: lower it")))
}
