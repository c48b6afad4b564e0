//! A socket that reports its reads and writes.

use super::activity::Activity;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that reports its reads and writes to the [`Activity`] of its connection.
pub(super) struct ObservedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl ObservedStream {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        ObservedStream { stream, activity }
    }

    /// Stops the reports.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn report_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.set_write_blocked(result.is_pending());
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = result {
            self.activity.received(buffer.filled().len() - before);
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.report_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.report_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
