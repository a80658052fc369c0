//! A TCP stream for asynchronous readers and writers, such as those of tokio and hyper. It
//! continues after short and interrupted reads and writes.
//!
//! After a read or write that transfers fewer bytes than requested, tokio's own stream assumes that
//! the buffer of the socket is empty or full, and waits for the next readiness event of the kernel.
//! If the call was short for another reason, no such event follows, and the wait would not end.
//! This stream treats a socket as not ready only after a call has failed with `WouldBlock`.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that retries interrupted calls: see the module.
pub(crate) struct RetryingStream(TcpStream);

impl RetryingStream {
    pub(crate) fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(stream)
    }

    /// The underlying socket.
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.0
    }

    /// Waits until the socket is ready for writing, then calls `write`. Retries after transient
    /// errors.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if is_transient(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Whether a call must be repeated after this error. An interrupted call is repeated at once. A
/// call that would block is repeated after the next readiness event: the callers poll the readiness
/// of the socket before each call.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(bytes) => {
                    buffer.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// There is nothing to flush: the stream has no buffer of its own.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
