//! The calls of one connection.
//!
//! The server of ntex-grpc reads the 5 bytes before a message without looking whether they are
//! there, and takes messages of any length. This one refuses what is cut off or too long, and
//! leaves decoding and dispatch to the service that ntex-grpc's macro makes.

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

/// Largest message of a call, in bytes.
const MAX_MESSAGE: usize = 1 << 20;

/// Length of a message's head: one byte that tells compression, and its length as 4 bytes.
const HEAD: usize = 5;

const GRPC_STATUS: &str = "grpc-status";
const GRPC_MESSAGE: &str = "grpc-message";

/// A call whose message has not come whole.
struct Call {
    method: ByteString,
    headers: HeaderMap,
    bytes: BytesMut,
}

/// The calls of one connection, and the service that answers them.
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

    /// Takes the head of a call.
    fn open(&self, stream: &StreamRef, path: Option<ByteString>, headers: HeaderMap) {
        let path = path.unwrap_or_default();
        let mut parts = path.split('/').skip(2);
        let Some(method) = parts.next().filter(|_| parts.next().is_none()) else {
            // A peer that is gone needs no answer.
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

    /// Takes a part of a call's message.
    fn push(&self, stream: &StreamRef, chunk: &Bytes) {
        let mut open = self.open.borrow_mut();
        let Some(call) = open.get_mut(&stream.id()) else {
            return;
        };
        if call.bytes.len() + chunk.len() > HEAD + MAX_MESSAGE {
            open.remove(&stream.id());
            refuse(
                stream,
                GrpcStatus::ResourceExhausted,
                "the message is too long",
            );
            return;
        }
        call.bytes.extend_from_slice(chunk);
    }

    /// Takes the call whose message has come whole.
    fn close(&self, stream: &StreamRef) -> Option<ServerRequest> {
        let call = self.open.borrow_mut().remove(&stream.id())?;
        let Some(payload) = message(&call.bytes) else {
            refuse(
                stream,
                GrpcStatus::InvalidArgument,
                "the message is cut off",
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
                self.open(&stream, pseudo.path, headers);
                if !eof {
                    return Ok(());
                }
            }
            MessageKind::Data(chunk, _) => {
                self.push(&stream, &chunk);
                return Ok(());
            }
            MessageKind::Eof(StreamEof::Data(chunk)) => self.push(&stream, &chunk),
            MessageKind::Eof(StreamEof::Trailers(_)) => {}
            MessageKind::Eof(StreamEof::Error(_)) | MessageKind::Disconnect(_) => {
                self.open.borrow_mut().remove(&stream.id());
                return Ok(());
            }
        }
        if let Some(request) = self.close(&stream) {
            let answer = ctx.call(&self.service, request).await;
            respond(&stream, answer).await;
        }
        Ok(())
    }
}

/// The message behind its head, if it is whole and not compressed.
fn message(bytes: &[u8]) -> Option<Bytes> {
    let (head, body) = bytes.split_at_checked(HEAD)?;
    let &[0, a, b, c, d] = head else {
        return None;
    };
    let length = usize::try_from(u32::from_be_bytes([a, b, c, d])).ok()?;
    (body.len() == length).then(|| Bytes::copy_from_slice(body))
}

async fn respond(stream: &StreamRef, answer: Result<ServerResponse, ServerError>) {
    let mut response = match answer {
        Ok(response) => response,
        Err(error) => {
            refuse(stream, GrpcStatus::InvalidArgument, &error.to_string());
            return;
        }
    };
    if !start(stream) {
        return;
    }
    let length = u32::try_from(response.payload.len()).unwrap_or(u32::MAX);
    let mut bytes = BytePages::default();
    bytes.put_u8(0);
    bytes.put_u32(length);
    response.payload.move_to(&mut bytes);
    if stream.send_pages(bytes, false).await.is_ok() {
        finish(stream, GrpcStatus::Ok, "");
    }
}

/// Ends a call that is not run.
fn refuse(stream: &StreamRef, status: GrpcStatus, reason: &str) {
    log::debug!(target: "rpc", "a call is refused: {reason}");
    metrics::counter!("oriole_rpc_malformed_total").increment(1);
    if start(stream) {
        finish(stream, status, reason);
    }
}

/// Sends the head of an answer; false when the caller is gone.
fn start(stream: &StreamRef) -> bool {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    stream.send_response(StatusCode::OK, headers, false).is_ok()
}

fn finish(stream: &StreamRef, status: GrpcStatus, reason: &str) {
    let mut trailers = HeaderMap::new();
    trailers.insert(HeaderName::from_static(GRPC_STATUS), status.into());
    if let Ok(reason) = HeaderValue::from_str(reason) {
        trailers.insert(HeaderName::from_static(GRPC_MESSAGE), reason);
    }
    stream.send_trailers(trailers);
}
