//! The socket of a client connection as the gRPC server reads and writes it. It tells the
//! connection's state which frames pass, and can be aborted.

use super::client_connection::ClientConnection;
use super::frame_scanner::FrameScanner;
use crate::net::RetryingStream;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tonic::transport::server::Connected;

/// A client's socket. After it was aborted, reads return end of file, as if the client had
/// closed its side, and writes that would have to wait for the client fail. The gRPC server then
/// closes the connection.
pub(super) struct TrackedConnection {
    stream: RetryingStream,
    connection: Arc<ClientConnection>,
    read_frames: FrameScanner,
    written_frames: FrameScanner,
    abort_request: oneshot::Receiver<()>,
    /// Whether the request to abort has arrived. It must not be polled after that.
    is_aborted: bool,
}

impl TrackedConnection {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<ClientConnection>,
        abort_request: oneshot::Receiver<()>,
    ) -> TrackedConnection {
        TrackedConnection {
            stream: RetryingStream::new(stream),
            connection,
            read_frames: FrameScanner::from_client(),
            written_frames: FrameScanner::from_server(),
            abort_request,
            is_aborted: false,
        }
    }

    /// Whether the connection was aborted. Otherwise the task is woken when it is.
    fn poll_aborted(&mut self, context: &mut Context<'_>) -> bool {
        self.is_aborted =
            self.is_aborted || Pin::new(&mut self.abort_request).poll(context).is_ready();
        self.is_aborted
    }

    /// Records the result of a write of these slices. A write that waits for the client fails if the
    /// connection was aborted.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.connection.set_write_blocked(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.scan_written(slices, bytes);
        }
        if written.is_pending() && self.poll_aborted(context) {
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        written
    }

    /// Scans the first `bytes` bytes of the slices, which were written.
    fn scan_written(&mut self, slices: &[IoSlice<'_>], mut bytes: usize) {
        for slice in slices {
            let written = &slice[..bytes.min(slice.len())];
            let connection = &self.connection;
            self.written_frames
                .scan(written, |frame| connection.frame_written(frame));
            bytes -= written.len();
        }
    }
}

impl Connected for TrackedConnection {
    type ConnectInfo = Arc<ClientConnection>;

    fn connect_info(&self) -> Arc<ClientConnection> {
        self.connection.clone()
    }
}

impl AsyncRead for TrackedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_aborted(context) {
            return Poll::Ready(Ok(()));
        }
        let TrackedConnection {
            stream,
            connection,
            read_frames,
            ..
        } = &mut *self;
        let filled_before = buffer.filled().len();
        let result = Pin::new(stream).poll_read(context, buffer);
        let read = &buffer.filled()[filled_before..];
        read_frames.scan(read, |frame| connection.frame_read(frame));
        result
    }
}

impl AsyncWrite for TrackedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, &[IoSlice::new(bytes)], written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(context, slices, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
