//! Signals between the handles, the driver and the socket of one HTTP/2 connection.

use futures::task::AtomicWaker;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::Notify;

/// The requests and counters that all parts of one connection share.
///
/// Relaxed ordering is enough: no value publishes other data, all parts run on the runtime's only
/// thread, and the wakers and notifications order the actions that follow them.
#[derive(Default)]
pub(super) struct ConnectionSignals {
    close_requested: AtomicBool,
    socket_reader_waker: AtomicWaker,
    requested_pings: AtomicU64,
    open_calls: AtomicU64,
    /// Wakes the driver, which then polls and so flushes the connection.
    driver_wakeup: Notify,
}

impl ConnectionSignals {
    /// Requests that the connection is closed. Output that the peer has not received is discarded.
    pub(super) fn request_close(&self) {
        self.close_requested.store(true, Ordering::Relaxed);
        self.socket_reader_waker.wake();
    }

    pub(super) fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Relaxed)
    }

    /// Registers the task that reads the socket, which is woken when the connection is to be
    /// closed.
    pub(super) fn register_socket_reader(&self, waker: &std::task::Waker) {
        self.socket_reader_waker.register(waker);
    }

    /// Requests a ping. Returns its number, counted from 1.
    pub(super) fn request_ping(&self) -> u64 {
        let number = self.requested_pings.fetch_add(1, Ordering::Relaxed) + 1;
        self.driver_wakeup.notify_one();
        number
    }

    /// Number of the last requested ping; 0 for none.
    pub(super) fn last_requested_ping(&self) -> u64 {
        self.requested_pings.load(Ordering::Relaxed)
    }

    /// Counts one more open call, and wakes the driver.
    pub(super) fn begin_call(&self) {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.driver_wakeup.notify_one();
    }

    /// Counts one open call less.
    pub(super) fn end_call(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn has_open_calls(&self) -> bool {
        self.open_calls.load(Ordering::Relaxed) > 0
    }

    /// Makes the driver poll the connection, which flushes it.
    pub(super) fn wake_driver(&self) {
        self.driver_wakeup.notify_one();
    }

    /// Waits until another part of the connection wakes the driver.
    pub(super) async fn driver_woken(&self) {
        self.driver_wakeup.notified().await;
    }
}
