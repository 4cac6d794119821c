//! CoAP messages (RFC 7252) of requests, through `coap-lite`.
//!
//! - A service is named by `Uri-Host` (and `Uri-Port`), as RFC 7252, section 5.10.1, has it for
//!   virtual hosts: the service's address, or its name.
//! - `POST` is not idempotent; `GET`, `PUT` and `DELETE` are (RFC 7252, section 5.1).
//! - [`DEADLINE`] carries the time that is left, in milliseconds.
//! - "Not run" is 5.03 or 4.29 with `Max-Age` as the time to come back, in seconds; "outcome
//!   unknown" is 5.04, which is never called "not run".
//! - A Reset that bears the message id of a request cancels it.

use std::net::SocketAddr;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet as Message, RequestType};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::blob::Blob;

/// Option with the time that is left for a request, in milliseconds: an elective option out of
/// the range for experiments (RFC 7252, section 12.2).
pub const DEADLINE: u16 = 65_000;

/// A request, as read from a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Message id, to which an acknowledgement answers.
    pub message_id: u16,
    /// Whether the caller wants an acknowledgement.
    pub confirmable: bool,
    /// Token, 0 to 8 bytes.
    pub token: Vec<u8>,
    /// Method.
    pub method: Method,
    /// `Uri-Host`.
    pub host: String,
    /// `Uri-Port`, where given.
    pub port: Option<u16>,
    /// `Uri-Path`, joined with `/`.
    pub path: String,
    /// Time that is left, in milliseconds, where given.
    pub deadline_ms: Option<u32>,
    /// Body.
    pub payload: Blob,
}

/// Method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Method {
    /// Reads.
    Get,
    /// Runs at most once.
    Post,
    /// Writes; running it again changes nothing.
    Put,
    /// Removes; running it again changes nothing.
    Delete,
}

impl Method {
    /// Whether running it again changes nothing (RFC 7252, section 5.1).
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Get | Self::Put | Self::Delete => true,
            Self::Post => false,
        }
    }
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Token of the request.
    pub token: Vec<u8>,
    /// Response code as on the wire: class in the upper 3 bits, detail in the lower 5.
    pub code: u8,
    /// `Max-Age`: after how many seconds to come back, on a refusal.
    pub max_age_s: Option<u32>,
    /// Body.
    pub payload: Blob,
}

/// Response code 2.04.
pub const CHANGED: u8 = 0x44;
/// Response code 2.05.
pub const CONTENT: u8 = 0x45;
/// Response code 4.00.
pub const BAD_REQUEST: u8 = 0x80;
/// Response code 4.04.
pub const NOT_FOUND: u8 = 0x84;
/// Response code 4.29: too many requests; not run.
pub const TOO_MANY: u8 = 0x9D;
/// Response code 5.03: service unavailable; not run.
pub const UNAVAILABLE: u8 = 0xA3;
/// Response code 5.04: outcome unknown.
pub const TIMEOUT: u8 = 0xA4;

/// A message of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// A request.
    Request(Request),
    /// A response; `message_id` is to be acknowledged where `confirmable`.
    Response {
        /// The response.
        response: Response,
        /// Its message id.
        message_id: u16,
        /// Whether the sender wants an acknowledgement.
        confirmable: bool,
    },
    /// A Reset: the request with this message id is cancelled.
    Reset(u16),
    /// An empty acknowledgement or a ping.
    Empty,
}

/// Why bytes are no message that we take.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// not a CoAP message
    Malformed,
    /// method is none of GET, POST, PUT and DELETE
    Method,
    /// option Uri-Host is missing: it names the service
    NoHost,
    /// an option holds no valid value
    BadOption,
    /// message can't be encoded
    Encode,
}

impl std::error::Error for Error {}

/// Reads a message.
///
/// # Errors
///
/// Says what is wrong with it.
pub fn parse(bytes: &[u8]) -> Result<Received, Error> {
    let message = Message::from_bytes(bytes).map_err(|_| Error::Malformed)?;
    let header = &message.header;
    if header.get_type() == MessageType::Reset {
        return Ok(Received::Reset(header.message_id));
    }
    match header.code {
        MessageClass::Empty => Ok(Received::Empty),
        MessageClass::Request(method) => parse_request(&message, method).map(Received::Request),
        MessageClass::Response(_) => Ok(Received::Response {
            response: Response {
                token: message.get_token().to_vec(),
                code: u8::from(header.code),
                max_age_s: uint(&message, CoapOption::MaxAge)?,
                payload: Blob::from(message.payload.clone()),
            },
            message_id: header.message_id,
            confirmable: header.get_type() == MessageType::Confirmable,
        }),
        MessageClass::Reserved(_) => Err(Error::Malformed),
    }
}

fn parse_request(message: &Message, method: RequestType) -> Result<Request, Error> {
    let method = match method {
        RequestType::Get => Method::Get,
        RequestType::Post => Method::Post,
        RequestType::Put => Method::Put,
        RequestType::Delete => Method::Delete,
        _ => return Err(Error::Method),
    };
    let host = text(message, CoapOption::UriHost)?.ok_or(Error::NoHost)?;
    let port = uint(message, CoapOption::UriPort)?;
    let port = port.map(u16::try_from).transpose();
    Ok(Request {
        message_id: message.header.message_id,
        confirmable: message.header.get_type() == MessageType::Confirmable,
        token: message.get_token().to_vec(),
        method,
        host,
        port: port.map_err(|_| Error::BadOption)?,
        path: path(message)?,
        deadline_ms: uint(message, CoapOption::Unknown(DEADLINE))?,
        payload: Blob::from(message.payload.clone()),
    })
}

/// Encodes a request.
///
/// # Errors
///
/// Fails on tokens or options that no message holds.
pub fn request(request: &Request) -> Result<Vec<u8>, Error> {
    let mut message = Message::new();
    message.header.message_id = request.message_id;
    message.header.set_type(if request.confirmable {
        MessageType::Confirmable
    } else {
        MessageType::NonConfirmable
    });
    message.header.code = MessageClass::Request(match request.method {
        Method::Get => RequestType::Get,
        Method::Post => RequestType::Post,
        Method::Put => RequestType::Put,
        Method::Delete => RequestType::Delete,
    });
    message.set_token(request.token.clone());
    message.add_option(CoapOption::UriHost, request.host.clone().into_bytes());
    if let Some(port) = request.port {
        message.add_option(CoapOption::UriPort, uint_bytes(u32::from(port)));
    }
    for segment in request.path.split('/').filter(|s| !s.is_empty()) {
        message.add_option(CoapOption::UriPath, segment.as_bytes().to_vec());
    }
    if let Some(deadline) = request.deadline_ms {
        message.add_option(CoapOption::Unknown(DEADLINE), uint_bytes(deadline));
    }
    message.payload = request.payload.0.to_vec();
    message.to_bytes().map_err(|_| Error::Encode)
}

/// How a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// As the acknowledgement of the request with this message id.
    Acknowledges(u16),
    /// As a message of its own with this message id.
    Own(u16),
}

/// Encodes a response as an acknowledgement of a message id, or as a message of its own.
///
/// A message of its own needs an id that the sender has not used lately, or the receiver takes it
/// for a duplicate (RFC 7252, section 4.5).
///
/// # Errors
///
/// Fails on tokens or options that no message holds.
pub fn response(response: &Response, kind: Kind) -> Result<Vec<u8>, Error> {
    let mut message = Message::new();
    let (kind, message_id) = match kind {
        Kind::Acknowledges(id) => (MessageType::Acknowledgement, id),
        Kind::Own(id) => (MessageType::NonConfirmable, id),
    };
    message.header.set_type(kind);
    message.header.message_id = message_id;
    message.header.code = MessageClass::from(response.code);
    message.set_token(response.token.clone());
    if let Some(age) = response.max_age_s {
        message.add_option(CoapOption::MaxAge, uint_bytes(age));
    }
    message.payload = response.payload.0.to_vec();
    message.to_bytes().map_err(|_| Error::Encode)
}

/// Encodes a Reset, which cancels the request with `message_id`.
///
/// # Errors
///
/// Never in practice: the message is always the same but for its id.
pub fn reset(message_id: u16) -> Result<Vec<u8>, Error> {
    let mut message = Message::new();
    message.header.set_type(MessageType::Reset);
    message.header.code = MessageClass::Empty;
    message.header.message_id = message_id;
    message.to_bytes().map_err(|_| Error::Encode)
}

/// The service that a request names, as an address where `Uri-Host` holds one.
#[must_use]
pub fn host_address(request: &Request) -> Option<SocketAddr> {
    let ip = request.host.parse().ok()?;
    Some(SocketAddr::new(ip, request.port?))
}

fn text(message: &Message, option: CoapOption) -> Result<Option<String>, Error> {
    let Some(value) = message.get_first_option(option) else {
        return Ok(None);
    };
    let text = String::from_utf8(value.clone()).map_err(|_| Error::BadOption)?;
    Ok(Some(text))
}

fn path(message: &Message) -> Result<String, Error> {
    let Some(segments) = message.get_option(CoapOption::UriPath) else {
        return Ok(String::new());
    };
    let segments: Result<Vec<&str>, _> = segments.iter().map(|s| std::str::from_utf8(s)).collect();
    Ok(segments.map_err(|_| Error::BadOption)?.join("/"))
}

/// Reads an option of the format `uint` (RFC 7252, section 3.2).
fn uint(message: &Message, option: CoapOption) -> Result<Option<u32>, Error> {
    let Some(value) = message.get_first_option(option) else {
        return Ok(None);
    };
    if value.len() > 4 {
        return Err(Error::BadOption);
    }
    Ok(Some(
        value.iter().fold(0, |n, byte| (n << 8) | u32::from(*byte)),
    ))
}

fn uint_bytes(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let zeros = bytes.iter().take_while(|b| **b == 0).count();
    bytes[zeros..].to_vec()
}
