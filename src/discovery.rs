//! Endpoint discovery: follows the discovery feed, which announces every change of the endpoint list, and passes its
//! events to the core.
//!
//! [`frame`] decodes the feed's wire form, [`session`] reads one connection, and [`start_times`] sees to wall clocks that
//! are stepped. The actor here owns the connection and reconnects with a backoff whenever it fails. `node` starts it with the address and the number of the last event that
//! the configuration knows; the core is the only receiver of its events.

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

/// What the follower of the feed works with.
pub struct FollowerContext {
    /// Receives each event once, in the order of the numbers.
    pub core: Handle,
    /// Times and sizes.
    pub limits: Arc<Limits>,
    /// Counts connections, events and failures.
    pub metrics: Arc<Metrics>,
    /// Turns true with the first frame.
    pub first_frame_received: watch::Sender<bool>,
    /// Records are read against the newest settings.
    pub settings: watch::Receiver<Arc<PlatformSettings>>,
}

/// Follows the feed from the event after `last_event` on. A changed address in `feed` is connected to at once, as event
/// numbers continue there. Ends once the sender of `feed` is dropped.
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
        // A feed that has moved announces nothing further at its old address, although that connection stays open for a
        // while. The session may be dropped at any point, because `last_event` counts only events passed on.
        let address_change = tokio::select! {
            biased;
            change = feed.changed() => Some(change),
            result = session::run(address, &mut last_event, &mut wall_clock_step, &context) => {
                let Err(error) = result;
                tracing::debug!(feed = %address, last_event, %error, "connection to the feed failed");
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

/// A lost connection is ordinary and has no counter of its own: the next connection is counted.
fn count_failure(error: &SessionError, metrics: &Metrics) {
    match error {
        SessionError::ConnectionLost(_) => {}
        SessionError::TimedOut(_) => metrics.feed_timeouts.increment(),
        SessionError::MalformedFrame(_) => metrics.feed_malformed.increment(),
    }
}

#[cfg(test)]
mod tests;
