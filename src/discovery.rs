//! Endpoint discovery: reads the discovery feed, which sends every change of the endpoint list, and
//! passes the events to the core.
//!
//! [`frame`] decodes the feed's wire format, [`session`] reads frames from one connection, and
//! [`start_times`] corrects the start times of engines after a wall clock step. The actor here owns
//! the connection, and reconnects with a backoff when it fails. `node` starts the actor with the
//! feed's address and the number of the last event in the configuration. Only the core receives the
//! events.

mod frame;
mod session;
mod start_times;

use crate::core::Handle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::settings_json::PlatformSettings;
use session::SessionError;
use start_times::WallClockStep;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::sleep;

/// The dependencies of the actor that follows the feed.
pub struct FollowerContext {
    /// Receives each event once, in the order of the event numbers.
    pub core: Handle,
    /// The feed's timeouts, backoff and maximum frame size.
    pub limits: Arc<Limits>,
    /// Counts connections, events and failures.
    pub metrics: Arc<Metrics>,
    /// Becomes true when the first frame is received.
    pub first_frame_received: watch::Sender<bool>,
    /// The settings; records are checked against their current value.
    pub settings: watch::Receiver<Arc<PlatformSettings>>,
}

/// Follows the feed, starting with the event after `last_event`. If the address in `feed` changes,
/// it connects to the new address at once; the event numbers continue there. Returns when the
/// sender of `feed` is dropped.
pub async fn follow(
    mut feed: watch::Receiver<SocketAddr>,
    mut last_event: u64,
    context: FollowerContext,
) {
    let (first_backoff, max_backoff) = context.limits.feed_reconnect_backoff;
    let mut backoff = first_backoff;
    let mut wall_clock_step = WallClockStep::default();
    loop {
        let (last_event_before, address) = (last_event, *feed.borrow_and_update());
        // After a change of address, the feed sends no more events at the old address, although the
        // old connection may stay open. The session can be dropped at any point, because
        // `last_event` includes only events that were passed to the core.
        let address_change = tokio::select! {
            biased;
            change = feed.changed() => Some(change),
            result = session::run(address, &mut last_event, &mut wall_clock_step, &context) => {
                let Err(error) = result;
                tracing::debug!(
                    feed = %address,
                    last_event,
                    %error,
                    "connection to the discovery feed failed; reconnecting"
                );
                count_failure(&error, &context.metrics);
                let made_progress = last_event > last_event_before;
                backoff = if made_progress { first_backoff } else { (backoff * 2).min(max_backoff) };
                tokio::select! {
                    change = feed.changed() => Some(change),
                    () = sleep(backoff) => None,
                }
            }
        };
        match address_change {
            Some(Ok(())) => backoff = first_backoff,
            Some(Err(_sender_dropped)) => return,
            None => {}
        }
    }
}

/// Counts a failure. A lost connection has no counter of its own, because the connection that
/// replaces it is counted.
fn count_failure(error: &SessionError, metrics: &Metrics) {
    match error {
        SessionError::ConnectionLost(_) => {}
        SessionError::TimedOut(_) => metrics.feed_timeouts.increment(),
        SessionError::MalformedFrame(_) => metrics.feed_malformed.increment(),
    }
}

#[cfg(test)]
mod tests;
