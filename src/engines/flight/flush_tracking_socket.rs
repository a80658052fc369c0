//! A socket that counts its flushes. The count shows which output has been sent.

use super::connection_signals::ConnectionSignals;
use crate::net::RetryingStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The socket of one HTTP/2 connection. Dropping it closes the `flush_count` channel.
pub(super) struct FlushTrackingSocket {
    stream: RetryingStream,
    /// Number of flushes so far.
    flush_count: watch::Sender<u64>,
    signals: Arc<ConnectionSignals>,
}

impl FlushTrackingSocket {
    pub(super) fn new(
        stream: TcpStream,
        flush_count: watch::Sender<u64>,
        signals: Arc<ConnectionSignals>,
    ) -> FlushTrackingSocket {
        FlushTrackingSocket {
            stream: RetryingStream::new(stream),
            flush_count,
            signals,
        }
    }

    /// Fails once the closing of the connection has been requested.
    fn check_open(&self) -> io::Result<()> {
        if self.signals.is_close_requested() {
            Err(io::ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        }
    }
}

impl Drop for FlushTrackingSocket {
    fn drop(&mut self) {
        // A TCP reset discards the kernel's send buffer. The peer must not receive that data after
        // the ends of the attempts have been reported.
        if self.signals.is_close_requested() {
            let _ = self.stream.socket().set_zero_linger();
        }
    }
}

impl AsyncRead for FlushTrackingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.signals.register_socket_reader(context.waker());
        self.check_open()?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FlushTrackingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    /// Called by h2 once all queued output has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_open()?;
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.flush_count
            .send_modify(|flush_count| *flush_count += 1);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
