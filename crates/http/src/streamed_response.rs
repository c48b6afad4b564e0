//! The body of a response that is streamed to the client while it arrives from the node.

use crate::client_stream::ClientConnection;
use crate::upstream::ResponseTruncated;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use lupinrack_metrics::{RequestGuard, RequestResult};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// The rest of a response. Dropping it at its end frees the client's connection for the next request; a request whose
/// response is dropped sooner has failed.
pub struct StreamedResponse {
    received: VecDeque<Bytes>,
    chunks: mpsc::Receiver<Result<Bytes, ResponseTruncated>>,
    remaining_bytes: Option<u64>,
    complete: bool,
    request_guard: Option<RequestGuard>,
    connection: Option<ClientConnection>,
}

impl StreamedResponse {
    /// A response with its declared length, if the node sent one, the part received so far, and the rest.
    pub fn new(
        length: Option<u64>,
        received: Vec<Bytes>,
        chunks: mpsc::Receiver<Result<Bytes, ResponseTruncated>>,
    ) -> StreamedResponse {
        StreamedResponse {
            received: received.into(),
            chunks,
            remaining_bytes: length,
            complete: false,
            request_guard: None,
            connection: None,
        }
    }

    /// Sets the metrics of the request and the client's connection, which both learn the end of the response.
    pub fn with(
        mut self,
        request_guard: Option<RequestGuard>,
        connection: Option<ClientConnection>,
    ) -> StreamedResponse {
        (self.request_guard, self.connection) = (request_guard, connection);
        self
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let chunk = match self.received.pop_front() {
            Some(chunk) => chunk,
            None => match ready!(self.chunks.poll_recv(cx)) {
                // An empty chunk marks the end.
                Some(Ok(chunk)) if chunk.is_empty() => {
                    self.complete = self.remaining_bytes.is_none_or(|l| l == 0);
                    return Poll::Ready((!self.complete).then_some(Err(ResponseTruncated)));
                }
                Some(Ok(chunk)) => chunk,
                Some(Err(truncated)) => return Poll::Ready(Some(Err(truncated))),
                // The attempt was dropped before the end marker.
                None => return Poll::Ready(Some(Err(ResponseTruncated))),
            },
        };
        self.remaining_bytes = self
            .remaining_bytes
            .map(|l| l.saturating_sub(chunk.len() as u64));
        self.complete = self.remaining_bytes == Some(0);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        if let Some(request_guard) = self.request_guard.take().filter(|_| self.complete) {
            request_guard.finish(RequestResult::Success);
        }
        if let Some(connection) = self.connection.take() {
            connection.finish_request();
        }
    }
}
