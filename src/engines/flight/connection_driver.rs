//! The task that drives one HTTP/2 connection. It polls the connection, sends pings, and closes the
//! connection if a ping is not answered in time.

use super::connection_signals::ConnectionSignals;
use super::flush_tracking_socket::FlushTrackingSocket;
use crate::engines::connection_slots::ConnectionSlot;
use bytes::Bytes;
use h2::client::Connection;
use h2::{Ping, PingPong};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The interval between pings that check whether the peer is alive, and the timeout of their
/// answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeepAlive {
    pub(super) interval: Duration,
    pub(super) timeout: Duration,
}

/// A ping that was sent and is not answered yet. At most one ping is in flight at a time.
struct PingInFlight {
    /// Number of the last ping that had been requested when this one was sent. The answer to this
    /// ping counts for all requested pings up to that number.
    answers_pings_up_to: u64,
    sent_at: Instant,
}

/// Drives one connection. Fields are dropped in the order of their declaration: the slot, and with
/// it the file descriptor, becomes free only after the socket has been closed.
pub(super) struct ConnectionDriver {
    /// Number of the last requested ping that has been answered; 0 for none.
    pub(super) last_answered_ping: watch::Sender<u64>,
    pub(super) signals: Arc<ConnectionSignals>,
    pub(super) keep_alive: KeepAlive,
    pub(super) connection: Connection<FlushTrackingSocket, Bytes>,
    pub(super) slot: ConnectionSlot,
}

impl ConnectionDriver {
    /// Runs until the connection ends or is evicted, or a ping is not answered in time.
    pub(super) async fn run(mut self) {
        let Some(mut pings) = self.connection.ping_pong() else {
            return;
        };
        let mut in_flight: Option<PingInFlight> = None;
        let mut next_ping_at = Instant::now() + self.keep_alive.interval;
        loop {
            // No periodic pings are sent while no call is open, because servers close a connection
            // that sends pings without an open call.
            if !self.signals.has_open_calls() {
                next_ping_at = next_ping_at.max(Instant::now() + self.keep_alive.interval);
            }
            if in_flight.is_none() && self.is_ping_due(next_ping_at) {
                in_flight = match self.send_ping(&mut pings) {
                    Ok(ping) => Some(ping),
                    Err(_) => return,
                };
            }
            let wake_at = in_flight
                .as_ref()
                .map_or(next_ping_at, |ping| ping.sent_at + self.keep_alive.timeout);
            tokio::select! {
                _ = &mut self.connection => return,
                answer = poll_fn(|context| pings.poll_pong(context)), if in_flight.is_some() => {
                    let Some(ping) = in_flight.take().filter(|_| answer.is_ok()) else {
                        return;
                    };
                    self.last_answered_ping.send_replace(ping.answers_pings_up_to);
                    next_ping_at = Instant::now() + self.keep_alive.interval;
                }
                () = self.signals.driver_woken() => {}
                () = self.slot.evicted() => return,
                () = sleep_until(wake_at) => if in_flight.is_some() {
                    return;
                }
            }
        }
    }

    fn is_ping_due(&self, next_ping_at: Instant) -> bool {
        let is_requested = self.signals.last_requested_ping() > *self.last_answered_ping.borrow();
        is_requested || Instant::now() >= next_ping_at
    }

    fn send_ping(&self, pings: &mut PingPong) -> Result<PingInFlight, h2::Error> {
        let answers_pings_up_to = self.signals.last_requested_ping();
        pings.send_ping(Ping::opaque())?;
        Ok(PingInFlight {
            answers_pings_up_to,
            sent_at: Instant::now(),
        })
    }
}
