//! Wire formats: encapsulated packets of flows, CoAP messages of requests, and frames between entry
//! and control VMs.
//!
//! Decoders accept any input without a panic; each error says what is invalid.
//!
//! ```
//! use wire::gue::{Segment, Packet};
//!
//! let bytes = wire::gue::build("10.0.0.1:5000".parse()?, "10.9.0.1:443".parse()?, Segment::Open, 1, b"");
//! let packet = Packet::parse(&bytes)?;
//! assert_eq!(packet.segment, Segment::Open);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod blob;
pub mod coap;
pub mod frame;
pub mod gue;
