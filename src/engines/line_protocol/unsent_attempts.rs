//! The way back from a connection to its engine's actor, for attempts that the connection never sent.

use crate::core::AttemptRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// What a connection's actor, or the engine's own, tells the engine's actor.
pub(super) enum ConnectionEvent {
    /// The connection never sent this attempt: another one may.
    Unsent(Box<AttemptRequest>),
    /// The connection is closed, or was not opened.
    Closed,
}

/// The sending half, one clone for each connection.
#[derive(Clone)]
pub(super) struct ConnectionEventSender {
    events: mpsc::UnboundedSender<ConnectionEvent>,
    /// Connections in a row that failed before an answer of the engine: several of them are the engine's fault, not
    /// the connections'. Relaxed ordering is enough, as the count publishes no other data.
    consecutive_failures: Arc<AtomicUsize>,
}

impl ConnectionEventSender {
    /// The sending half and the engine's actor's receiver. The channel holds no more than the core's attempts on this
    /// engine and one event for each connection, so it needs no bound of its own.
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

    /// Gives an attempt back.
    ///
    /// # Errors
    /// Returns the attempt where the engine's actor has ended.
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

    /// Reports that a connection is closed, or that none was opened.
    pub(super) fn report_closed(&self) {
        // Without an engine's actor nobody has to know.
        let _ = self.events.send(ConnectionEvent::Closed);
    }

    /// The engine answered.
    pub(super) fn reset_failures(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Counts a connection that closed; returns how many failed in a row before it. One that carried nothing was
    /// closed on purpose and is no failure.
    pub(super) fn count_closed_connection(&self, carried_attempts: bool) -> usize {
        self.consecutive_failures
            .fetch_add(usize::from(carried_attempts), Ordering::Relaxed)
    }
}
