//! One connection to the discovery feed: names the last known event, then reads frames until something fails.

use super::FollowerContext;
use super::frame::{self, Frame, FrameError};
use super::start_times::WallClockStep;
use crate::core::CoreMessage;
use crate::net::RetryingStream;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Bytes of buffer that stay allocated between two frames. A full list is much larger than a change, and rare.
const RETAINED_BUFFER_BYTES: usize = 4096;

/// Why the feed has to be connected to again.
#[derive(Debug, Error)]
pub(super) enum SessionError {
    /// The connection cannot be made, or it was closed.
    #[error("connection lost: {0}")]
    ConnectionLost(#[from] io::Error),
    /// No connection, or no complete frame, within the time limit.
    #[error("no answer within the time limit")]
    TimedOut(#[from] Elapsed),
    /// A frame that cannot be decoded.
    #[error("malformed frame: {0}")]
    MalformedFrame(#[from] FrameError),
}

/// Reads frames and passes their events to the core, raising `last_event` with each. Never ends without an error.
///
/// # Errors
///
/// See [`SessionError`]. A feed that is silent is left within the time limit, as it may have been cut off while engines
/// drain, and every event counts as known from the moment that the feed announces it.
pub(super) async fn run(
    feed: SocketAddr,
    last_event: &mut u64,
    wall_clock_step: &mut WallClockStep,
    context: &FollowerContext,
) -> Result<Infallible, SessionError> {
    let limits = &context.limits;
    let connected = timeout(limits.feed_connect_timeout, TcpStream::connect(feed)).await??;
    let mut stream = RetryingStream::new(connected);
    context.metrics.feed_connections.increment();
    tracing::debug!(%feed, last_event = *last_event, "connected to the feed");
    let last_event_bytes = last_event.to_be_bytes();
    timeout(
        limits.feed_read_timeout,
        stream.write_all(&last_event_bytes),
    )
    .await??;
    let mut buffer = Vec::new();
    loop {
        // The limit is on the complete frame: one that arrives byte by byte is no better than none.
        let frame_received = receive(&mut stream, &mut buffer, limits.feed_frame_bytes);
        timeout(limits.feed_read_timeout, frame_received).await??;
        let frame = frame::decode(&buffer, &context.settings.borrow())?;
        // Later events follow without a pause, so that the first frame is also the sign that the list is current.
        context.first_frame_received.send_replace(true);
        let Frame::Event(mut event) = frame else {
            continue;
        };
        wall_clock_step.observe(context.core.wall_clock_step_ms());
        wall_clock_step.adjust(&mut event, context.core.now());
        if event.number <= *last_event {
            continue; // known from an earlier connection
        }
        let number = event.number;
        context.core.send(CoreMessage::EndpointList(event)).await;
        // Only now: where this future was dropped before, the event is requested again.
        *last_event = number;
        context.metrics.feed_events.increment();
        buffer.shrink_to(RETAINED_BUFFER_BYTES);
    }
}

/// Reads one frame without its length into the buffer.
async fn receive(
    stream: &mut RetryingStream,
    buffer: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<(), SessionError> {
    let bytes = stream.read_u32().await? as usize;
    frame::check_length(bytes, max_bytes)?;
    buffer.resize(bytes, 0);
    stream.read_exact(buffer).await?;
    Ok(())
}
