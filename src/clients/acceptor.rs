//! Accepts the connections of one front end.
//!
//! A process that has accepted a connection has to serve it: the other process on the same listening
//! socket can no longer accept it. So a connection is accepted only if this process can serve it, and
//! stays in the backlog otherwise, where the other process, or a successor, finds it.

use super::connection_slots::{ConnectionSlot, ConnectionSlots};
use super::{Frontend, is_out_of_resources};
use crate::limits::SharedLimit;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failed `accept`. Without it, the listener would loop at full speed while the
/// process has no free file descriptor.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening socket of a front end, with its connection slots.
pub(crate) struct Acceptor {
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
}

impl Acceptor {
    /// Creates an acceptor with this limit on its connections.
    pub(crate) fn new(listener: TcpListener, frontend: &Frontend, limit: SharedLimit) -> Acceptor {
        Acceptor {
            listener,
            slots: frontend.create_connection_slots(limit),
        }
    }

    /// Accepts the next connection and takes a slot for it. Cancelling this future loses no
    /// connection.
    pub(crate) async fn accept(&self) -> (TcpStream, ConnectionSlot) {
        loop {
            let mut share_changes = self.slots.share_changes();
            self.slots.accepting_allowed().await;
            let accepted = tokio::select! {
                biased;
                // The share may be smaller now.
                () = share_changes.next() => continue,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => return self.admit(stream),
                Err(error) => self.handle_error(&error).await,
            }
        }
    }

    fn admit(&self, stream: TcpStream) -> (TcpStream, ConnectionSlot) {
        // Without this option, small answers would be delayed. An error shows with the first read.
        let _ = stream.set_nodelay(true);
        let slot = self.slots.take_slot();
        tracing::debug!(
            connection = slot.connection_id(),
            "client connection accepted"
        );
        (stream, slot)
    }

    async fn handle_error(&self, error: &io::Error) {
        tracing::debug!(%error, "failed to accept a client connection; retrying after a pause");
        if is_out_of_resources(error) {
            self.slots.evict_idle();
        }
        sleep(RETRY_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
