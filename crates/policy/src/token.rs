//! Load balancing of flows by a token that identifies the upstream.
//!
//! Packets have a field that client and upstream echo unchanged. An entry VM writes a token to this
//! field when it places a flow, so that each later packet identifies its upstream. No VM has to
//! keep a record of the flow, and flows survive when entry VMs join and leave. The design follows
//! Cheetah (Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
//! Per-Connection-Consistency", NSDI 2020), with an upstream id instead of a server index.
//!
//! - [`segment`]: the header fields of a packet.
//! - [`cost`]: what the requests of each route cost.
//! - [`work`]: flows and work at upstreams, over all entry VMs.
//! - [`directory`]: the known upstreams, merged from the streams of several control VMs.
//! - [`health`]: load and health of each upstream, as seen by this VM.
//! - [`backoff`]: random waits, so that few VMs probe the same upstream.
//! - [`latency`]: response times of upstreams.
//! - [`answer_size`]: refusals of overloaded upstreams, by the size of the answer.
//! - [`outlier`]: upstreams that fail more requests than the others of their service.
//! - [`admission`]: admits or refuses new flows while capacity is short.
//! - [`placement`]: choice of the upstream for a new flow.
//! - [`pace`]: pacing of outgoing packets to the rate of the link.
//! - [`gateway`]: decides what to do with each packet and returns a [`decision`] with its reason.

pub mod admission;
pub mod answer_size;
pub mod backoff;
mod budget;
mod cache;
pub mod cost;
pub mod decision;
pub mod directory;
mod flow;
pub mod gateway;
pub mod health;
pub mod latency;
pub mod outlier;
pub mod pace;
pub mod placement;
pub mod plan_request;
pub mod segment;
pub mod work;
