//! The state of the open connections of one front end.

use crate::clients::pending::PendingGuard;
use crate::metrics::Metrics;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The open connections.
#[derive(Default)]
pub(super) struct Registry {
    /// Whether connections are being drained: each one that has sent a call is asked to close as
    /// soon as it has no open request.
    pub(super) draining: bool,
    pub(super) next_id: u64,
    pub(super) connections: HashMap<u64, ConnectionState>,
}

/// What the slots record about one open connection.
pub(super) struct ConnectionState {
    /// Whether a request was served on this connection, or a health check was answered.
    pub(super) was_served: bool,
    /// Whether the client has sent a call.
    pub(super) has_called: bool,
    pub(super) open_requests: u32,
    opened_at: Instant,
    /// Time from `opened_at` in which the connection is not evicted without a call.
    first_call_grace: Duration,
    /// When this state was last updated.
    pub(super) last_change: Instant,
    pub(super) asked_to_close: bool,
    /// Makes a graceful shutdown wait for the close of a connection that was asked to close.
    pub(super) pending_close: Option<PendingGuard>,
    metrics: Arc<Metrics>,
    /// Notified when the connection is asked to close.
    close_request: Arc<Notify>,
}

impl ConnectionState {
    pub(super) fn new(
        close_request: Arc<Notify>,
        first_call_grace: Duration,
        metrics: Arc<Metrics>,
    ) -> ConnectionState {
        let opened_at = Instant::now();
        ConnectionState {
            was_served: false,
            has_called: false,
            open_requests: 0,
            opened_at,
            first_call_grace,
            last_change: opened_at,
            asked_to_close: false,
            pending_close: None,
            metrics,
            close_request,
        }
    }

    /// Whether the connection has no open request and has not been asked to close yet.
    fn is_idle(&self) -> bool {
        self.open_requests == 0 && !self.asked_to_close
    }

    /// From when on the connection may be evicted if it stays idle as it is.
    fn evictable_at(&self) -> Instant {
        if self.has_called {
            self.opened_at
        } else {
            self.opened_at + self.first_call_grace
        }
    }

    fn is_evictable(&self) -> bool {
        self.is_idle() && self.evictable_at() <= Instant::now()
    }

    fn ask_to_close(&mut self) {
        self.asked_to_close = true;
        self.pending_close = Some(PendingGuard::new(&self.metrics));
        self.close_request.notify_one();
    }

    /// Asks the connection to close if it has no open request. A connection without a call is not
    /// asked, because its first call may be on the way.
    pub(super) fn ask_to_close_for_drain(&mut self) {
        if self.has_called && self.is_idle() {
            self.ask_to_close();
        }
    }
}

impl Registry {
    /// The connections that do not close soon: those that have not been asked to, and those on which a
    /// request was opened before they could.
    pub(super) fn staying_open(&self) -> impl Iterator<Item = &ConnectionState> {
        self.connections
            .values()
            .filter(|connection| !connection.asked_to_close || connection.open_requests > 0)
    }

    /// The idle connection that is evicted next: one that was never served if there is any, and among
    /// equals the one that has been idle for longest.
    pub(super) fn victim(&mut self, unserved_only: bool) -> Option<&mut ConnectionState> {
        self.connections
            .values_mut()
            .filter(|connection| connection.is_evictable())
            .filter(|connection| !(unserved_only && connection.was_served))
            .min_by_key(|connection| (connection.was_served, connection.last_change))
    }

    /// When the next idle connection becomes evictable that is not yet; `None` if there is none.
    pub(super) fn next_evictable_at(&self) -> Option<Instant> {
        let now = Instant::now();
        self.connections
            .values()
            .filter(|connection| connection.is_idle())
            .map(ConnectionState::evictable_at)
            .filter(|evictable_at| *evictable_at > now)
            .min()
    }

    /// Asks the idle connection that is evicted next to close. Returns whether there is one.
    pub(super) fn evict_idle(&mut self, unserved_only: bool) -> bool {
        let victim = self.victim(unserved_only);
        let found = victim.is_some();
        if let Some(victim) = victim {
            victim.ask_to_close();
        }
        found
    }
}
