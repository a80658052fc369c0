//! Tests of the close signal of client connections.

use super::close_signal;
use crate::clients::connection_slots::ConnectionSlots;
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A connection is asked to close shortly before the timeout for its first call expires. The signal
/// must not lose this request when the timeout expires: the connection is closed once its state
/// has not changed for the linger timeout.
#[tokio::test(start_paused = true)]
async fn close_request_outlasts_the_first_call_timeout() {
    let context = EngineContext::for_tests(Handle::new(1, Clock::new()).0);
    let (limits, metrics) = (context.limits, context.metrics);
    let slots = ConnectionSlots::new(4, limits.clone(), metrics.clone());
    let slot = Arc::new(slots.take_slot());
    slot.record_call();
    let started_at = Instant::now();
    let signal = close_signal(slot, limits.clone(), metrics);
    let asked_after = limits.client_read_timeout - limits.linger_timeout / 2;
    let ask_to_close = async {
        sleep(asked_after).await;
        slots.set_draining(true);
    };
    let close_and_ask = async { tokio::join!(signal, ask_to_close) };
    let closed = tokio::time::timeout(Duration::from_secs(60), close_and_ask).await;
    assert!(
        closed.is_ok(),
        "the request to close was lost when the timeout expired"
    );
    assert!(started_at.elapsed() >= asked_after + limits.linger_timeout);
}
