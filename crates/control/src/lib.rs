//! The daemon of a control VM: keeps the cluster configuration, takes operators' commands and
//! delivers the configuration to the entry VMs.

pub mod peer;
pub mod replica;
