//! What the handles, the driver and the socket of one HTTP/2 connection tell each other.

use futures::task::AtomicWaker;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::Notify;

/// Shared by all parts of one connection.
///
/// Relaxed ordering is enough: no value publishes other data, all parts run on the runtime's one thread, and the
/// wakers and notifications order what follows them.
#[derive(Default)]
pub(super) struct ConnectionSignals {
    close_requested: AtomicBool,
    socket_reader_waker: AtomicWaker,
    requested_pings: AtomicU64,
    open_calls: AtomicU64,
    /// Wakes the driver, which polls the connection and so flushes it.
    driver_wakeup: Notify,
}

impl ConnectionSignals {
    /// Requests that the connection is closed, with what its peer has not taken.
    pub(super) fn request_close(&self) {
        self.close_requested.store(true, Ordering::Relaxed);
        self.socket_reader_waker.wake();
    }

    pub(super) fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Relaxed)
    }

    /// Has this task woken when the connection is to be closed.
    pub(super) fn register_socket_reader(&self, waker: &std::task::Waker) {
        self.socket_reader_waker.register(waker);
    }

    /// Requests a ping; returns its number, from 1.
    pub(super) fn request_ping(&self) -> u64 {
        let number = self.requested_pings.fetch_add(1, Ordering::Relaxed) + 1;
        self.driver_wakeup.notify_one();
        number
    }

    /// The number of the last ping that was requested; 0 for none.
    pub(super) fn last_requested_ping(&self) -> u64 {
        self.requested_pings.load(Ordering::Relaxed)
    }

    pub(super) fn begin_call(&self) {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.driver_wakeup.notify_one();
    }

    pub(super) fn end_call(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn has_open_calls(&self) -> bool {
        self.open_calls.load(Ordering::Relaxed) > 0
    }

    /// Has the driver poll the connection, which flushes it.
    pub(super) fn wake_driver(&self) {
        self.driver_wakeup.notify_one();
    }

    /// Resolves once the driver is to poll the connection.
    pub(super) async fn driver_woken(&self) {
        self.driver_wakeup.notified().await;
    }
}
