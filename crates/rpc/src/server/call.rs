//! Handles the calls of one connection.
//!
//! The server of ntex-grpc reads the 5-byte prefix of a message without a check that the prefix is
//! present, and accepts messages of any length. [`Calls`] rejects truncated and oversized messages.
//! The service that the macro of ntex-grpc generates decodes and dispatches the messages.

use std::{cell::RefCell, collections::HashMap};

use ntex::{
    http::{
        HeaderMap, StatusCode,
        header::{CONTENT_TYPE, HeaderName, HeaderValue},
    },
    service::{Service, ServiceCtx},
    util::{BufMut, BytePages, ByteString, Bytes, BytesMut},
};
use ntex_grpc::{
    GrpcStatus,
    server::{ServerError, ServerRequest, ServerResponse},
};
use ntex_h2::{Message, MessageKind, StreamEof, StreamError, StreamRef, frame::StreamId};

/// Maximum length of the message of a call, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Length of the message prefix, in bytes: a compression flag of 1 byte and the message length in
/// 4 bytes.
const PREFIX_LEN: usize = 5;

const GRPC_STATUS: &str = "grpc-status";
const GRPC_MESSAGE: &str = "grpc-message";

/// A call whose message is not complete yet.
struct Call {
    method: ByteString,
    headers: HeaderMap,
    bytes: BytesMut,
}

/// Open calls of one connection, and the service that handles the calls.
pub(super) struct Calls<S> {
    service: S,
    open: RefCell<HashMap<StreamId, Call>>,
}

impl<S> Calls<S> {
    pub(super) fn new(service: S) -> Self {
        Self {
            service,
            open: RefCell::default(),
        }
    }

    /// Records a new call from its headers; rejects a call whose path names no method.
    fn start_call(&self, stream: &StreamRef, path: Option<ByteString>, headers: HeaderMap) {
        let path = path.unwrap_or_default();
        let mut parts = path.split('/').skip(2);
        let Some(method) = parts.next().filter(|_| parts.next().is_none()) else {
            // Sending fails only if the peer has disconnected and needs no response.
            drop(stream.send_response(StatusCode::NOT_FOUND, HeaderMap::new(), true));
            return;
        };
        let call = Call {
            method: method.into(),
            headers,
            bytes: BytesMut::new(),
        };
        self.open.borrow_mut().insert(stream.id(), call);
    }

    /// Appends a chunk to the message of a call; rejects the call if the message is too long.
    fn append_chunk(&self, stream: &StreamRef, chunk: &Bytes) {
        let mut open = self.open.borrow_mut();
        let Some(call) = open.get_mut(&stream.id()) else {
            return;
        };
        if call.bytes.len() + chunk.len() > PREFIX_LEN + MAX_MESSAGE_BYTES {
            open.remove(&stream.id());
            reject_call(
                stream,
                GrpcStatus::ResourceExhausted,
                "the message exceeds 1 MiB",
            );
            return;
        }
        call.bytes.extend_from_slice(chunk);
    }

    /// Removes a call whose stream the caller has closed, and returns the complete request; rejects
    /// a message that is compressed or has a wrong length.
    fn finish_call(&self, stream: &StreamRef) -> Option<ServerRequest> {
        let call = self.open.borrow_mut().remove(&stream.id())?;
        let Some(payload) = parse_message(&call.bytes) else {
            reject_call(
                stream,
                GrpcStatus::InvalidArgument,
                "the message is compressed or has a wrong length",
            );
            return None;
        };
        Some(ServerRequest {
            name: call.method,
            payload,
            headers: call.headers,
        })
    }
}

impl<S> Service<Message> for Calls<S>
where
    S: Service<ServerRequest, Response = ServerResponse, Error = ServerError> + 'static,
{
    type Response = ();
    type Error = StreamError;

    async fn call(&self, message: Message, ctx: ServiceCtx<'_, Self>) -> Result<(), StreamError> {
        let Message { stream, kind } = message;
        match kind {
            MessageKind::Headers {
                pseudo,
                headers,
                eof,
            } => {
                self.start_call(&stream, pseudo.path, headers);
                if !eof {
                    return Ok(());
                }
            }
            MessageKind::Data(chunk, _) => {
                self.append_chunk(&stream, &chunk);
                return Ok(());
            }
            MessageKind::Eof(StreamEof::Data(chunk)) => self.append_chunk(&stream, &chunk),
            MessageKind::Eof(StreamEof::Trailers(_)) => {}
            MessageKind::Eof(StreamEof::Error(_)) | MessageKind::Disconnect(_) => {
                self.open.borrow_mut().remove(&stream.id());
                return Ok(());
            }
        }
        if let Some(request) = self.finish_call(&stream) {
            let result = ctx.call(&self.service, request).await;
            respond(&stream, result).await;
        }
        Ok(())
    }
}

/// Returns the message after its prefix, if the message is complete and not compressed.
fn parse_message(bytes: &[u8]) -> Option<Bytes> {
    let (prefix, body) = bytes.split_at_checked(PREFIX_LEN)?;
    let &[0, a, b, c, d] = prefix else {
        return None;
    };
    let length = usize::try_from(u32::from_be_bytes([a, b, c, d])).ok()?;
    (body.len() == length).then(|| Bytes::copy_from_slice(body))
}

/// Sends the response of the service, or rejects the call if the service returned an error.
async fn respond(stream: &StreamRef, result: Result<ServerResponse, ServerError>) {
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            reject_call(stream, GrpcStatus::InvalidArgument, &error.to_string());
            return;
        }
    };
    if !send_headers(stream) {
        return;
    }
    let length = u32::try_from(response.payload.len()).unwrap_or(u32::MAX);
    let mut bytes = BytePages::default();
    bytes.put_u8(0);
    bytes.put_u32(length);
    response.payload.move_to(&mut bytes);
    if stream.send_pages(bytes, false).await.is_ok() {
        end_response(stream, GrpcStatus::Ok, "");
    }
}

/// Rejects a call with a status and a reason, and counts the call as malformed.
fn reject_call(stream: &StreamRef, status: GrpcStatus, reason: &str) {
    log::debug!(target: "rpc", "gRPC call rejected: {reason}");
    metrics::counter!("oriole_rpc_malformed_total").increment(1);
    if send_headers(stream) {
        end_response(stream, status, reason);
    }
}

/// Sends the headers of a response; returns false if the caller has disconnected.
fn send_headers(stream: &StreamRef) -> bool {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    stream.send_response(StatusCode::OK, headers, false).is_ok()
}

/// Sends the trailers that end a response.
fn end_response(stream: &StreamRef, status: GrpcStatus, reason: &str) {
    let mut trailers = HeaderMap::new();
    trailers.insert(HeaderName::from_static(GRPC_STATUS), status.into());
    if let Ok(reason) = HeaderValue::from_str(reason) {
        trailers.insert(HeaderName::from_static(GRPC_MESSAGE), reason);
    }
    stream.send_trailers(trailers);
}
