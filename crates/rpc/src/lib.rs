//! gRPC calls of operators and upstreams.
//!
//! [`schema`] is generated from `proto/oriole.proto` and committed (see `proto/README.md`).
//! [`convert`] converts between messages and the types of [`model`]; its errors name the invalid
//! field. [`client::Client`] calls a control VM or an entry VM. [`server::start`] serves calls.
//!
//! ```
//! use rpc::{convert, schema};
//!
//! let request = schema::ApplyRequest {
//!     operator: "anna".into(),
//!     request_id: "1".into(),
//!     expected_version: None,
//!     command: Some(schema::apply_request::Command::DomainOut(schema::DomainOut {
//!         name: "Vejle".into(),
//!     })),
//! };
//! let invalid = convert::entry(&request, |_, _| Err(String::new())).unwrap_err();
//! assert_eq!(invalid.field, "name");
//! ```

pub mod client;
pub mod convert;
pub mod server;

/// Messages and services of `proto/oriole.proto`.
#[expect(
    missing_docs,
    reason = "the generator writes no doc comments for methods and variants"
)]
#[allow(clippy::all, reason = "generated code follows the generator's style")]
#[path = "generated/oriole.rs"]
pub mod schema;
