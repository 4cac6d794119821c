//! Commands that change the cluster configuration, as stored in the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Service, Upstream},
    key::hash,
    name::Name,
    plan::Plan,
};

/// Seed of the digest in [`Command::subject`].
const SUBJECT_SEED: u64 = 0x7375_626a_6563_7400;

/// Operator name of commands that the system itself issues.
pub const SYSTEM: &str = "control";

/// A command with the request id and expected version that make resends and races harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the operator, or [`SYSTEM`] for the system's own steps.
    pub operator: String,
    /// Request id, chosen by the operator. A resent request has the same id and gets the first
    /// answer.
    pub request: String,
    /// Version of the configuration that the operator saw; `None` accepts any version.
    pub expected: Option<u64>,
    /// Requested change.
    pub command: Command,
}

impl Entry {
    /// Creates an entry.
    pub fn new(
        operator: impl Into<String>,
        request: impl Into<String>,
        expected: Option<u64>,
        command: Command,
    ) -> Self {
        Self {
            operator: operator.into(),
            request: request.into(),
            expected,
            command,
        }
    }
}

/// A change of the cluster configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Founds the cluster; refused if the cluster is already founded.
    Found {
        /// Identity of the cluster.
        cluster: u64,
    },
    /// Creates a failure domain; an existing domain stays unchanged.
    PutDomain {
        /// Name of the failure domain.
        name: Name,
    },
    /// Creates a service or changes its address and times; its upstreams and generations stay.
    PutService {
        /// Name of the service.
        name: Name,
        /// Settings of the service; upstreams and generations in the value are ignored.
        service: Service,
    },
    /// Removes a service that has no upstream.
    RemoveService {
        /// Name of the service.
        name: Name,
    },
    /// Admits an announced upstream, or admits a draining upstream again.
    Admit {
        /// Service of the upstream.
        service: Name,
        /// Name of the upstream.
        upstream: Name,
        /// Announced properties of the upstream.
        announced: Upstream,
    },
    /// Starts to drain an upstream.
    Drain {
        /// Service of the upstream.
        service: Name,
        /// Name of the upstream.
        upstream: Name,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// Name of the failure domain.
        name: Name,
    },
    /// Brings a failure domain back into service.
    DomainIn {
        /// Name of the failure domain.
        name: Name,
    },
    /// Activates a generation; issued by the control leader once every live entry VM has prepared
    /// the generation.
    Activate {
        /// Service of the generation.
        service: Name,
        /// Number of the generation.
        generation: u64,
    },
    /// Drops the generations before `keep`; issued by the control leader once no flow needs those
    /// generations.
    Retire {
        /// Service of the generation.
        service: Name,
        /// Oldest generation that is still needed.
        keep: u64,
    },
    /// Replaces the routing plan if the new plan's version is higher; changes nothing otherwise.
    ReplacePlan {
        /// New plan, which has passed [`Plan::check`].
        plan: Arc<Plan>,
    },
}

impl Command {
    /// Returns a digest of the command, which is the same for a resend. The digest excludes the
    /// announced properties of an upstream, which may change between the first request and a resend.
    #[must_use]
    pub fn subject(&self) -> u64 {
        let text = match self {
            Self::Admit {
                service, upstream, ..
            } => format!("Admit {service} {upstream}"),
            Self::ReplacePlan { plan } => format!("ReplacePlan {} {}", plan.version, plan.text),
            other => format!("{other:?}"),
        };
        hash(SUBJECT_SEED, text.as_bytes())
    }

    /// Reports whether the command is a step of the system itself or harmless when repeated. No
    /// answer is kept for such a command.
    #[must_use]
    pub fn is_step(&self) -> bool {
        matches!(
            self,
            Self::Found { .. }
                | Self::Activate { .. }
                | Self::Retire { .. }
                | Self::ReplacePlan { .. }
        )
    }
}
