//! Events that connections send to their engine's actor, such as an attempt that was never sent.

use crate::core::AttemptRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// An event for the engine's actor. It is sent by a connection's actor or by the engine's actor
/// itself.
pub(super) enum ConnectionEvent {
    /// The connection never sent this attempt, so another connection may send it.
    Unsent(Box<AttemptRequest>),
    /// A connection has closed, or none was opened.
    Closed,
}

/// Sends connection events to the engine's actor. Each connection has a clone.
#[derive(Clone)]
pub(super) struct ConnectionEventSender {
    events: mpsc::UnboundedSender<ConnectionEvent>,
    /// Number of connections that failed in a row, without an answer of the engine in between.
    /// Several failures in a row indicate a fault of the engine, not of the connections. Relaxed
    /// ordering is enough, because the count publishes no other data.
    consecutive_failures: Arc<AtomicUsize>,
}

impl ConnectionEventSender {
    /// Creates the sender, and the receiver for the engine's actor. The channel holds at most the
    /// core's attempts on this engine and one event for each connection, so it needs no bound of
    /// its own.
    pub(super) fn new() -> (
        ConnectionEventSender,
        mpsc::UnboundedReceiver<ConnectionEvent>,
    ) {
        let (events, receiver) = mpsc::unbounded_channel();
        let sender = ConnectionEventSender {
            events,
            consecutive_failures: Arc::default(),
        };
        (sender, receiver)
    }

    /// Returns an unsent attempt to the engine's actor.
    ///
    /// # Errors
    /// Returns the attempt if the engine's actor has ended.
    pub(super) fn return_attempt(
        &self,
        attempt: Box<AttemptRequest>,
    ) -> Result<(), Box<AttemptRequest>> {
        let unsent = ConnectionEvent::Unsent(attempt);
        match self.events.send(unsent) {
            Err(mpsc::error::SendError(ConnectionEvent::Unsent(attempt))) => Err(attempt),
            _ => Ok(()),
        }
    }

    /// Reports that a connection has closed, or that none was opened.
    pub(super) fn report_closed(&self) {
        // If the engine's actor has ended, the event is not needed.
        let _ = self.events.send(ConnectionEvent::Closed);
    }

    /// Resets the count of failed connections, because the engine has answered.
    pub(super) fn reset_failures(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Counts a closed connection, and returns how many failed in a row before it. A connection
    /// that carried no attempts was closed on purpose and does not count as failed.
    pub(super) fn count_closed_connection(&self, carried_attempts: bool) -> usize {
        self.consecutive_failures
            .fetch_add(usize::from(carried_attempts), Ordering::Relaxed)
    }
}
