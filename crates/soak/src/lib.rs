//! Soak test: runs the real programs as separate processes on loopback, injects overlapping faults
//! from outside, and checks the guarantees that callers and upstreams can observe.
//!
//! [`fault`] generates a schedule from a seed. [`upstream_proxy`] sits in front of each upstream and
//! delays or drops packets or refuses connections. [`control_proxy`] sits in front of each control
//! VM and delays, holds back or resets the connections that other daemons open. [`run`] runs the
//! schedule while callers keep sending, and [`check`] checks the record of the run.
//!
//! The system uses the clocks of other VMs only for the start times that upstreams announce, so each
//! upstream has a clock with an offset of its own.

pub mod callers;
pub mod check;
pub mod control_proxy;
pub mod fault;
pub mod record;
pub mod run;
pub mod upstream_proxy;
