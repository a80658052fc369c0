//! The slot of one client connection, through which the connection updates its state.

use super::ConnectionSlots;
use super::registry::ConnectionState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The slot of one connection; dropping it frees the slot.
pub(crate) struct ConnectionSlot {
    pub(super) slots: Arc<ConnectionSlots>,
    pub(super) id: u64,
    pub(super) close_request: Arc<Notify>,
}

impl ConnectionSlot {
    /// Returns the connection's id for the log. It is unique within the front end.
    pub(crate) fn connection_id(&self) -> u64 {
        self.id
    }

    /// Changes the connection's state, asks it to close if draining now requires that, and wakes a
    /// listener that waits for a slot.
    fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut registry = self.slots.registry();
        let draining = registry.draining;
        if let Some(connection) = registry.connections.get_mut(&self.id) {
            connection.last_change = Instant::now();
            change(connection);
            if draining {
                connection.ask_to_close_for_drain();
            }
        }
        self.slots.state_changed.notify_one();
    }

    fn read<T>(&self, value: impl FnOnce(&ConnectionState) -> T) -> Option<T> {
        self.slots.registry().connections.get(&self.id).map(value)
    }

    /// Records the number of open requests.
    pub(crate) fn set_open_requests(&self, open_requests: usize) {
        self.update(|connection| connection.open_requests = open_requests as u32);
    }

    /// Records a call that opens a request.
    pub(crate) fn request_opened(&self) {
        self.update(|connection| {
            connection.open_requests += 1;
            connection.has_called = true;
        });
    }

    /// Records the end of an open request.
    pub(crate) fn request_closed(&self) {
        self.update(|connection| {
            connection.open_requests = connection.open_requests.saturating_sub(1);
        });
    }

    /// Records a call that opens no request.
    pub(crate) fn record_call(&self) {
        self.update(|connection| connection.has_called = true);
    }

    /// Whether the client has sent a call on this connection.
    pub(crate) fn has_called(&self) -> bool {
        self.read(|connection| connection.has_called)
            .unwrap_or(false)
    }

    /// Records that a request was served on this connection, or a health check was answered.
    /// Connections that were never served are evicted before it.
    pub(crate) fn mark_served(&self) {
        self.update(|connection| connection.was_served = true);
    }

    /// Resolves once the connection is asked to close.
    pub(crate) async fn asked_to_close(&self) {
        self.close_request.notified().await;
    }

    /// Resolves once the connection has been asked to close and its state has then stayed unchanged
    /// for `quiet`. If a request is open, the request to close is withdrawn and the wait starts
    /// again.
    ///
    /// Used for connections whose clients may still have to fetch the result of a planned statement
    /// when no request is open.
    pub(crate) async fn quiet_after_close_request(&self, quiet: Duration) {
        loop {
            self.asked_to_close().await;
            loop {
                let before = self.activity();
                sleep(quiet).await;
                match before {
                    Some((1.., _)) => break self.withdraw_close_request(),
                    _ if before == self.activity() => return,
                    _ => {}
                }
            }
        }
    }

    /// Resolves once no request has been open, and the connection's state has stayed unchanged, for
    /// `quiet`.
    pub(crate) async fn unchanged_while_idle(&self, quiet: Duration) {
        loop {
            let before = self.activity();
            sleep(quiet).await;
            let has_open_request = matches!(before, Some((1.., _)));
            if !has_open_request && before == self.activity() {
                return;
            }
        }
    }

    /// Whether the front end is draining its connections.
    pub(crate) fn is_draining(&self) -> bool {
        self.slots.registry().draining
    }

    /// The number of open requests and the time of the last change; `None` for an unknown
    /// connection.
    fn activity(&self) -> Option<(u32, Instant)> {
        self.read(|connection| (connection.open_requests, connection.last_change))
    }

    /// Withdraws the request to close because the client has become active again. The connection
    /// may be asked again later.
    pub(crate) fn withdraw_close_request(&self) {
        self.update(|connection| {
            connection.asked_to_close = false;
            connection.pending_close = None;
        });
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.registry().connections.remove(&self.id);
        self.slots.state_changed.notify_one();
    }
}
