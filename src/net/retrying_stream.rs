//! A stream for readers and writers that wait, as those of tokio and hyper do, which goes on after short and interrupted
//! calls.
//!
//! After a call that moved fewer bytes than it could, tokio's own stream waits for the next report of the kernel, as the
//! socket's buffer must be empty, or full. A call that was cut short for another reason has no report to follow, and the
//! wait would not end. Here a socket counts as not ready only once it has said so.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// See the module.
pub(crate) struct RetryingStream(TcpStream);

impl RetryingStream {
    pub(crate) fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(stream)
    }

    /// The socket itself.
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.0
    }

    /// Writes once the socket takes bytes.
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

/// Whether the call is to be made again: at once, or after the next report of the kernel, for which the readiness that is
/// asked for before each call waits.
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

    /// The socket holds nothing back.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
