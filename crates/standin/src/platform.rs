//! Emulators of the clients, upstreams and operator on the users' platform, as the platform's pages
//! describe them. The emulators have their own packet encoder and decoder, so that a mistake in the
//! platform adapter is not repeated here.
//!
//! [`system`] starts the daemons and the emulators together on loopback addresses.

pub mod client;
pub mod system;
pub mod upstream;
pub mod wire;
