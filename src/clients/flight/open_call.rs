//! Calls that the gRPC server has not finished: from the arrival of the request until the server
//! has taken its whole answer.

use super::client_connection::ClientConnection;
use crate::clients::Frontend;
use crate::clients::pending::PendingGuard;
use crate::limits::MemoryReservation;
use std::sync::Arc;

/// A call that is not finished. While it exists, its connection counts as busy, and a graceful
/// shutdown waits for it. From then until the answer is written, [`ClientConnection`] sees to that.
pub(super) struct OpenCall {
    /// `None` if the gRPC server does not tell the connection.
    connection: Option<Arc<ClientConnection>>,
    /// Memory of the answer.
    reservation: MemoryReservation,
    _pending: PendingGuard,
}

impl OpenCall {
    pub(super) fn new(frontend: &Frontend, connection: Option<Arc<ClientConnection>>) -> OpenCall {
        if let Some(connection) = &connection {
            connection.slot.request_opened();
        }
        let owner = match &connection {
            Some(connection) => connection.answer_memory.clone(),
            None => frontend.client_memory.answers.add_owner(),
        };
        OpenCall {
            connection,
            reservation: MemoryReservation::new(&owner),
            _pending: PendingGuard::new(&frontend.metrics),
        }
    }

    /// Reserves memory for an answer of this size. Returns false if the client's unwritten answers
    /// then exceed its share.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        self.reservation.set(bytes)
    }

    /// Records that the request of this call was served.
    pub(super) fn mark_served(&self) {
        if let Some(connection) = &self.connection {
            connection.slot.mark_served();
        }
    }

    /// The connection of the call, if it is known.
    pub(super) fn connection(&self) -> Option<&ClientConnection> {
        self.connection.as_deref()
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.slot.request_closed();
        }
    }
}
