//! Parses and encodes the CoAP messages (RFC 7252) of requests, with `coap-lite`.
//!
//! - `Uri-Host` (and `Uri-Port`) select the service by its address or its name, as RFC 7252,
//!   section 5.10.1, specifies for virtual hosts.
//! - `POST` is not idempotent; `GET`, `PUT` and `DELETE` are (RFC 7252, section 5.1).
//! - Option [`DEADLINE`] carries the remaining time of a request, in milliseconds.
//! - 5.03 and 4.29 mean that the request was not run; `Max-Age` holds the time after which to
//!   retry, in seconds. 5.04 means that the outcome is unknown: the request may have run.
//! - A Reset with the message id of a request cancels that request.

use std::net::SocketAddr;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet as Message, RequestType};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::blob::Blob;

/// Number of the option that carries the remaining time of a request, in milliseconds. The option
/// is elective and from the range for experiments (RFC 7252, section 12.2).
pub const DEADLINE: u16 = 65_000;

/// A request, as parsed from a CoAP message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Message id, which the acknowledgement repeats.
    pub message_id: u16,
    /// Whether the caller expects an acknowledgement.
    pub confirmable: bool,
    /// Token, 0 to 8 bytes.
    pub token: Vec<u8>,
    /// Method of the request.
    pub method: Method,
    /// Value of `Uri-Host`: address or name of the service.
    pub host: String,
    /// Value of `Uri-Port`, if the message has the option.
    pub port: Option<u16>,
    /// Segments of `Uri-Path`, joined with `/`.
    pub path: String,
    /// Remaining time in milliseconds, if the message has the option [`DEADLINE`].
    pub deadline_ms: Option<u32>,
    /// Body of the request.
    pub payload: Blob,
}

/// Method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Runs an operation that must not run more than once.
    Post,
    /// Writes a resource; a repeated run has no further effect.
    Put,
    /// Removes a resource; a repeated run has no further effect.
    Delete,
}

impl Method {
    /// Reports whether a repeated run has no further effect (RFC 7252, section 5.1).
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Get | Self::Put | Self::Delete => true,
            Self::Post => false,
        }
    }
}

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Token of the request.
    pub token: Vec<u8>,
    /// Response code as on the wire: class in the upper 3 bits, detail in the lower 5.
    pub code: u8,
    /// `Max-Age` in seconds; on a refusal, the time after which to retry.
    pub max_age_s: Option<u32>,
    /// Body of the response.
    pub payload: Blob,
}

/// Response code 2.04: changed.
pub const CHANGED: u8 = 0x44;
/// Response code 2.05: content.
pub const CONTENT: u8 = 0x45;
/// Response code 4.00: bad request.
pub const BAD_REQUEST: u8 = 0x80;
/// Response code 4.04: not found.
pub const NOT_FOUND: u8 = 0x84;
/// Response code 4.29: too many requests; the request was not run.
pub const TOO_MANY_REQUESTS: u8 = 0x9D;
/// Response code 5.03: service unavailable; the request was not run.
pub const UNAVAILABLE: u8 = 0xA3;
/// Response code 5.04: gateway timeout; the outcome of the request is unknown.
pub const TIMEOUT: u8 = 0xA4;

/// A parsed CoAP message of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// A request.
    Request(Request),
    /// A response; the receiver acknowledges `message_id` if `confirmable` is set.
    Response {
        /// The response.
        response: Response,
        /// Message id of the response.
        message_id: u16,
        /// Whether the sender expects an acknowledgement.
        confirmable: bool,
    },
    /// A Reset, which cancels the request with the given message id.
    Reset(u16),
    /// An empty acknowledgement or a ping.
    Empty,
}

/// Reason why a message can't be parsed or encoded.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// not a CoAP message
    Malformed,
    /// CoAP method is not GET, POST, PUT or DELETE
    Method,
    /// CoAP option Uri-Host, which names the service, is missing
    NoHost,
    /// a CoAP option has an invalid value
    BadOption,
    /// CoAP message can't be encoded
    Encode,
}

impl std::error::Error for Error {}

/// Parses a CoAP message.
///
/// # Errors
///
/// Fails when the message is malformed, or is a request that the load balancer does not support.
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
                max_age_s: parse_uint_option(&message, CoapOption::MaxAge)?,
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
    let host = parse_text_option(message, CoapOption::UriHost)?.ok_or(Error::NoHost)?;
    let port = parse_uint_option(message, CoapOption::UriPort)?;
    let port = port.map(u16::try_from).transpose();
    Ok(Request {
        message_id: message.header.message_id,
        confirmable: message.header.get_type() == MessageType::Confirmable,
        token: message.get_token().to_vec(),
        method,
        host,
        port: port.map_err(|_| Error::BadOption)?,
        path: parse_path(message)?,
        deadline_ms: parse_uint_option(message, CoapOption::Unknown(DEADLINE))?,
        payload: Blob::from(message.payload.clone()),
    })
}

/// Encodes a request.
///
/// # Errors
///
/// Fails when the token or an option does not fit into a CoAP message.
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
        message.add_option(CoapOption::UriPort, encode_uint(u32::from(port)));
    }
    for segment in request.path.split('/').filter(|s| !s.is_empty()) {
        message.add_option(CoapOption::UriPath, segment.as_bytes().to_vec());
    }
    if let Some(deadline) = request.deadline_ms {
        message.add_option(CoapOption::Unknown(DEADLINE), encode_uint(deadline));
    }
    message.payload = request.payload.0.to_vec();
    message.to_bytes().map_err(|_| Error::Encode)
}

/// How a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// In the acknowledgement of the request with the given message id.
    Acknowledges(u16),
    /// As a separate message with the given message id.
    Own(u16),
}

/// Encodes a response, in an acknowledgement or as a separate message.
///
/// A separate message needs an id that the sender has not used recently; otherwise the receiver
/// drops the message as a duplicate (RFC 7252, section 4.5).
///
/// # Errors
///
/// Fails when the token or an option does not fit into a CoAP message.
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
        message.add_option(CoapOption::MaxAge, encode_uint(age));
    }
    message.payload = response.payload.0.to_vec();
    message.to_bytes().map_err(|_| Error::Encode)
}

/// Encodes a Reset, which cancels the request with `message_id`.
///
/// # Errors
///
/// Never fails in practice, since only the message id varies.
pub fn reset(message_id: u16) -> Result<Vec<u8>, Error> {
    let mut message = Message::new();
    message.header.set_type(MessageType::Reset);
    message.header.code = MessageClass::Empty;
    message.header.message_id = message_id;
    message.to_bytes().map_err(|_| Error::Encode)
}

/// Returns the address of the requested service, if `Uri-Host` is an IP address and `Uri-Port` is
/// given.
#[must_use]
pub fn host_address(request: &Request) -> Option<SocketAddr> {
    let ip = request.host.parse().ok()?;
    Some(SocketAddr::new(ip, request.port?))
}

fn parse_text_option(message: &Message, option: CoapOption) -> Result<Option<String>, Error> {
    let Some(value) = message.get_first_option(option) else {
        return Ok(None);
    };
    let text = String::from_utf8(value.clone()).map_err(|_| Error::BadOption)?;
    Ok(Some(text))
}

fn parse_path(message: &Message) -> Result<String, Error> {
    let Some(segments) = message.get_option(CoapOption::UriPath) else {
        return Ok(String::new());
    };
    let segments: Result<Vec<&str>, _> = segments.iter().map(|s| std::str::from_utf8(s)).collect();
    Ok(segments.map_err(|_| Error::BadOption)?.join("/"))
}

/// Returns the value of an option of format `uint` (RFC 7252, section 3.2), if it is present.
fn parse_uint_option(message: &Message, option: CoapOption) -> Result<Option<u32>, Error> {
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

/// Encodes `value` in format `uint`: big-endian, without leading zero bytes.
fn encode_uint(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let zeros = bytes.iter().take_while(|b| **b == 0).count();
    bytes[zeros..].to_vec()
}
