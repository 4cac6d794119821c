//! What stands on the wire: encapsulated packets of flows, CoAP messages of requests, and frames
//! between the system's own processes.
//!
//! Decoders take any bytes and never panic; each error says what is wrong.
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
