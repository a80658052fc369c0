//! Records that a listener waits for a free slot.

use crate::metrics::Metrics;
use std::sync::Arc;
use tokio::time::Instant;

/// Counts one listener in the gauge `client_listeners_waiting` until it is dropped, and logs both
/// ends of the wait.
pub(super) struct ListenerWait {
    metrics: Arc<Metrics>,
    began_at: Instant,
}

impl ListenerWait {
    /// Begins a wait while this process has `open` of at most `capacity` connections.
    pub(super) fn begin(metrics: &Arc<Metrics>, open: usize, capacity: usize) -> ListenerWait {
        metrics.client_listeners_waiting.increment();
        tracing::debug!(
            open,
            capacity,
            "no client connection is accepted: no slot is free"
        );
        ListenerWait {
            metrics: metrics.clone(),
            began_at: Instant::now(),
        }
    }
}

impl Drop for ListenerWait {
    fn drop(&mut self) {
        self.metrics.client_listeners_waiting.decrement();
        let waited_ms = self.began_at.elapsed().as_millis();
        tracing::debug!(waited_ms, "client connections are accepted again");
    }
}
