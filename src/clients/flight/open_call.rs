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
        OpenCall {
            connection,
            reservation: MemoryReservation::new(&frontend.buffer_pools.output),
            _pending: PendingGuard::new(&frontend.metrics),
        }
    }

    /// Reserves memory for an answer of this size. Returns false if the unwritten answers of all
    /// clients together exceed their limit.
    pub(super) fn reserve(&mut self, bytes: usize, frontend: &Frontend) -> bool {
        let limits = &frontend.limits;
        self.reservation
            .set(bytes, limits.share(limits.output_bytes))
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
