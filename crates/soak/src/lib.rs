//! A soak: the real programs as separate processes on loopback, faults from outside in overlapping
//! series, and the promises that must hold all the while, as callers and upstreams see them.
//!
//! [`fault`] draws a schedule from a seed. [`proxy`] stands before each upstream and delays, drops or
//! refuses; [`link`] stands before each control VM and delays, resets, silences, or cuts one way what
//! other daemons send it. [`run`] plays the schedule while callers go on, and [`check`] judges what was
//! recorded.
//!
//! Clocks matter to the system only in what upstreams say of their start, so each upstream has a
//! clock of its own.

pub mod callers;
pub mod check;
pub mod fault;
pub mod link;
pub mod proxy;
pub mod record;
pub mod run;
