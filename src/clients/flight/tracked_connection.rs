//! A client connection as the gRPC server reads and writes it. It holds a connection slot, and the
//! server can be made to close it.

use crate::clients::connection_slots::ConnectionSlot;
use crate::net::RetryingStream;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::Connected;

/// Resolves once the server is to close the connection.
pub(super) type CloseSignal = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection with its slot. After the close signal, reads return end of file, as if the client
/// had closed its side. No call is open at that time, so the gRPC server closes the connection.
pub(super) struct TrackedConnection {
    stream: RetryingStream,
    slot: Arc<ConnectionSlot>,
    close_signal: CloseSignal,
    /// Whether the close signal has resolved. It must not be polled after that.
    closing: bool,
}

impl TrackedConnection {
    pub(super) fn new(
        stream: TcpStream,
        slot: Arc<ConnectionSlot>,
        close_signal: CloseSignal,
    ) -> TrackedConnection {
        TrackedConnection {
            stream: RetryingStream::new(stream),
            slot,
            close_signal,
            closing: false,
        }
    }
}

impl Connected for TrackedConnection {
    type ConnectInfo = Arc<ConnectionSlot>;

    fn connect_info(&self) -> Arc<ConnectionSlot> {
        self.slot.clone()
    }
}

impl AsyncRead for TrackedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closing || self.close_signal.as_mut().poll(context).is_ready() {
            self.closing = true;
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
