//! Counts the client connections and calls that a graceful shutdown waits for.

use crate::metrics::Metrics;
use std::sync::Arc;

/// Adds one to the gauge `client_connections_pending` until it is dropped. A graceful shutdown
/// waits until the gauge is zero.
///
/// One guard stands for a connection that still needs an answer or an orderly close, or for a call
/// that has not been answered.
pub(crate) struct PendingGuard(Arc<Metrics>);

impl PendingGuard {
    pub(crate) fn new(metrics: &Arc<Metrics>) -> PendingGuard {
        metrics.client_connections_pending.increment();
        PendingGuard(metrics.clone())
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.client_connections_pending.decrement();
    }
}
