//! Record of a run. Times are milliseconds since the start of the run.

use standin::platform::client::ClientOutcome;

use crate::fault::Fault;

/// A fault that was injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// Kind and target of the fault.
    pub kind: Fault,
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault.
    pub to_ms: u64,
}

/// Outcome of one request on an open flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Number of the flow.
    pub flow: u64,
    /// Time when the client knew the outcome.
    pub at_ms: u64,
    /// Answer, reset, or neither.
    pub outcome: ClientOutcome,
}

/// A plan whose change was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcknowledgedPlan {
    /// Version of the plan.
    pub version: u64,
    /// Time of the acknowledgement.
    pub at_ms: u64,
}

/// Successful read of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanRead {
    /// Plan version that was read.
    pub version: u64,
    /// Time when the read was sent.
    pub sent_ms: u64,
}

/// Period in which an upstream must get no new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClosedPeriod {
    /// Number of the upstream.
    pub upstream: u64,
    /// Time when the control VMs acknowledged that the upstream is closed to new flows.
    pub from_ms: u64,
    /// End of the period.
    pub to_ms: u64,
    /// Time after the acknowledgement during which the upstream may still get new flows.
    pub allowed_ms: u64,
}

/// An opening packet that reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowOpening {
    /// Number of the upstream.
    pub upstream: u64,
    /// Time when the packet arrived.
    pub at_ms: u64,
}

/// Record of a whole run.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Faults that were injected.
    pub disturbances: Vec<Disturbance>,
    /// Outcomes of requests on open flows.
    pub request_outcomes: Vec<RequestOutcome>,
    /// Acknowledged plans.
    pub acknowledged_plans: Vec<AcknowledgedPlan>,
    /// Successful reads of the plan.
    pub plan_reads: Vec<PlanRead>,
    /// Periods in which upstreams were closed to new flows.
    pub closed_periods: Vec<ClosedPeriod>,
    /// Opening packets that reached upstreams.
    pub flow_openings: Vec<FlowOpening>,
    /// Names of processes that exited while no fault kept a daemon down.
    pub unexpected_exits: Vec<String>,
    /// Numbers of requests answered and sent after all faults had ended.
    pub answered_and_sent: (u64, u64),
}
