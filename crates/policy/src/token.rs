//! Flows that carry the identity of their upstream.
//!
//! The fabric's packets have a field that client and upstream hand back unchanged. An entry VM
//! writes a token there when it places a flow, so that each later packet names its upstream by
//! itself: no VM needs a record of the flow, and VMs may join and leave while flows stay whole.
//! The idea is that of Cheetah (Barbette et al., "A High-Speed Load-Balancer Design with
//! Guaranteed Per-Connection-Consistency", NSDI 2020), here with an id in place of a server index.
//!
//! - [`segment`]: what a packet says.
//! - [`directory`]: the upstreams that are known, merged from what several control VMs tell.
//! - [`sight`]: what this VM knows of each upstream: how much it bears, whether it answers.
//! - [`spread`]: waits that let a few of many VMs find out for all.
//! - [`delay`]: how long upstreams take to answer.
//! - [`outcome`]: which upstreams fail more requests than others.
//! - [`placement`]: which upstream takes a new flow.
//! - [`pace`]: how much of it the link carries when.
//! - [`gateway`]: decides what becomes of each packet; a [`decision`] says it, and why.

pub mod backoff;
mod budget;
mod cache;
pub mod decision;
pub mod directory;
mod flow;
pub mod gateway;
pub mod latency;
pub mod outlier;
pub mod pace;
pub mod placement;
pub mod segment;
pub mod sight;
