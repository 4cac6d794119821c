//! Streams between entry VMs and control VMs, and between control VMs: one `h2` stream over TCP
//! for each pair, with messages in both directions.
//!
//! A configuration is sent as a [`delta::Delta`] if the entry VM holds the previous one.
//! [`stream`] frames typed messages: their length as 4 bytes, big-endian, then the body as
//! [`wire::frame::encode_body`] writes it. [`server`] accepts streams, [`dial`] opens one, and
//! [`client`] keeps a stream from an entry VM to one of the control VMs open.
//!
//! ```
//! use delivery::client;
//! use tokio::sync::mpsc;
//! use tokio_util::sync::CancellationToken;
//!
//! # fn hello() -> model::delivery::Hello { unimplemented!() }
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let (to_control, outgoing) = mpsc::channel(64);
//! let (incoming, mut configs) = mpsc::channel(64);
//! let settings = client::Settings::new(["127.0.0.1:7100".parse()?], hello);
//! let token = CancellationToken::new();
//! tokio::spawn(client::run(settings, outgoing, incoming, token.clone()));
//! to_control.try_send(model::delivery::ToControl::Leave)?;
//! let first = configs.recv().await;
//! token.cancel();
//! # Ok(())
//! # }
//! ```

pub mod backoff;
pub mod client;
pub mod delta;
pub mod dial;
mod pending_messages;
pub mod server;
pub mod stream;

use model::routing::Version;

/// Path of configuration streams, which entry VMs open.
pub const ENTRY_PATH: &str = "/entry";

/// Path of soft-state streams, which other control VMs open.
pub const CONTROL_PATH: &str = "/control";

/// Path of the streams over which entry VMs receive the routing plan and the upstreams.
pub const ROUTING_PATH: &str = "/routing";

/// Path of the same streams when both ends support [`Version::Second`].
pub const SECOND_ROUTING_PATH: &str = "/routing/2";

/// Path of the same streams when both ends support [`Version::Third`].
pub const THIRD_ROUTING_PATH: &str = "/routing/3";

/// Path of the same streams when both ends support [`Version::Fourth`].
pub const FOURTH_ROUTING_PATH: &str = "/routing/4";

/// Returns the path of routing streams in `version`.
#[must_use]
pub fn routing_path(version: Version) -> &'static str {
    match version {
        Version::First => ROUTING_PATH,
        Version::Second => SECOND_ROUTING_PATH,
        Version::Third => THIRD_ROUTING_PATH,
        Version::Fourth => FOURTH_ROUTING_PATH,
    }
}

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;
