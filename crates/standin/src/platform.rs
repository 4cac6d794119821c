//! Emulators of what surrounds the system on the users' platform: clients, upstreams and the
//! operator, as far as the platform's pages describe them. They speak the wire by themselves, so
//! that a mistake of the adapter isn't made here too.
//!
//! [`system`] starts the daemons and the emulators together on loopback addresses.

pub mod client;
pub mod system;
pub mod upstream;
pub mod wire;
