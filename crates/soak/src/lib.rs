//! A soak: the real programs as separate processes on loopback, faults from outside in overlapping
//! series, and the promises that must hold all the while, as callers and upstreams see them.
//!
//! [`fault`] draws a schedule from a seed. [`proxy`] stands before each upstream and delays, drops or
//! refuses. [`run`] plays the schedule while callers go on, and [`check`] judges what was recorded.
//! Links between the daemons aren't proxied: processes that are frozen stand for links that are
//! silent.

pub mod callers;
pub mod check;
pub mod fault;
pub mod proxy;
pub mod record;
pub mod run;
