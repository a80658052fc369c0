//! The gauge of work that shutdown waits for.

use crate::metrics::Metrics;
use std::sync::Arc;

/// Counts as pending, until it is dropped, in the gauge that a graceful shutdown waits for: a connection that still
/// needs an answer or an orderly close, or a call without its answer.
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
