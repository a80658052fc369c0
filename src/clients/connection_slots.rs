//! Slots that bound the number of client connections of a front end.
//!
//! A front end serves a connection only in a free slot. If all slots are taken, an idle connection
//! is evicted for the new one. Connections that were never served are evicted first, then the one
//! that has been idle for longest. So clients that keep connections open forever, and clients that
//! connect and send nothing, cannot keep other clients out. [`ConnectionSlots`] holds the state of
//! every connection of one front end, and each connection updates its own state through its
//! [`ConnectionSlot`]. Both the MessagePack-RPC and the Flight SQL front end use this module.

use super::pending::PendingGuard;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The number of slots is divided by this to get the number that is reserved for connections that
/// were asked to close and are still open.
const CLOSING_SLOTS_DIVISOR: usize = 8;

/// The connection slots of one front end.
pub(crate) struct ConnectionSlots {
    /// Slots of the whole workload manager. While a peer process runs, the two processes share
    /// them.
    capacity: usize,
    limits: Arc<Limits>,
    registry: Mutex<Registry>,
    /// Notified whenever a slot may have become free or a connection may have become evictable.
    slot_freed: Notify,
    metrics: Arc<Metrics>,
}

/// The open connections.
#[derive(Default)]
struct Registry {
    /// Whether connections are being drained: each one that has sent a call is asked to close as
    /// soon as it has no open request.
    draining: bool,
    next_id: u64,
    connections: HashMap<u64, ConnectionState>,
}

/// What the slots record about one open connection.
struct ConnectionState {
    /// Whether a request was served on this connection, or a health check was answered.
    was_served: bool,
    /// Whether the client has sent a call.
    has_called: bool,
    open_requests: u32,
    /// When this state was last updated.
    last_change: Instant,
    asked_to_close: bool,
    /// Makes a graceful shutdown wait for the close of a connection that was asked to close.
    pending_close: Option<PendingGuard>,
    metrics: Arc<Metrics>,
    /// Notified when the connection is asked to close.
    close_request: Arc<Notify>,
}

impl ConnectionState {
    fn new(close_request: Arc<Notify>, metrics: Arc<Metrics>) -> ConnectionState {
        ConnectionState {
            was_served: false,
            has_called: false,
            open_requests: 0,
            last_change: Instant::now(),
            asked_to_close: false,
            pending_close: None,
            metrics,
            close_request,
        }
    }

    /// Whether the connection may be evicted: it has no open request and has not been asked to
    /// close yet.
    fn is_evictable(&self) -> bool {
        self.open_requests == 0 && !self.asked_to_close
    }

    fn ask_to_close(&mut self) {
        self.asked_to_close = true;
        self.pending_close = Some(PendingGuard::new(&self.metrics));
        self.close_request.notify_one();
    }

    /// Asks the connection to close if it has no open request. A connection without a call is not
    /// asked, because its first call may be on the way.
    fn ask_to_close_for_drain(&mut self) {
        if self.has_called && self.is_evictable() {
            self.ask_to_close();
        }
    }
}

impl Registry {
    /// The connections that have not been asked to close.
    fn staying_open(&self) -> impl Iterator<Item = &ConnectionState> {
        self.connections
            .values()
            .filter(|connection| !connection.asked_to_close)
    }

    /// Asks one idle connection to close. Connections that were never served are chosen first, and
    /// among equals the one that has been idle for longest. Returns whether an idle connection was
    /// found.
    fn evict_idle(&mut self, unserved_only: bool) -> bool {
        let victim = self
            .connections
            .values_mut()
            .filter(|connection| connection.is_evictable())
            .filter(|connection| !(unserved_only && connection.was_served))
            .min_by_key(|connection| (connection.was_served, connection.last_change));
        let found = victim.is_some();
        if let Some(victim) = victim {
            victim.ask_to_close();
        }
        found
    }
}

impl ConnectionSlots {
    /// Creates slots for `capacity` connections, which a peer process shares while it runs.
    pub(crate) fn new(
        capacity: usize,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            capacity,
            limits,
            registry: Mutex::default(),
            slot_freed: Notify::new(),
            metrics,
        })
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is a slot for a new connection, and evicts an idle connection if
    /// necessary. Returns at once unless every connection has an open request or has already been
    /// asked to close.
    pub(crate) async fn wait_for_slot(&self) {
        loop {
            // `notify_one` stores a permit, so a slot that is freed between the check and the wait
            // is not missed.
            let slot_freed = self.slot_freed.notified();
            if self.try_free_slot() {
                return;
            }
            slot_freed.await;
        }
    }

    /// Evicts an idle connection if all slots outside the reserve are taken. Returns whether a slot
    /// is free now.
    ///
    /// Connections that were never served may take half of the slots outside the reserve. Above
    /// that, only connections of this kind are evicted, so that a flood of them does not evict
    /// clients that were served. A connection that was asked to close counts until it is closed,
    /// because it keeps its file descriptor until then. [`CLOSING_SLOTS_DIVISOR`] sets the reserve
    /// for such connections, so that a new connection seldom has to wait.
    fn try_free_slot(&self) -> bool {
        let mut registry = self.registry();
        let capacity = self.limits.share(self.capacity);
        let max_staying_open = capacity - capacity.div_ceil(CLOSING_SLOTS_DIVISOR);
        let max_unserved = max_staying_open.div_ceil(2);
        let staying_open = registry.staying_open().count();
        let unserved = registry
            .staying_open()
            .filter(|connection| !connection.was_served)
            .count();
        let unserved_only = unserved >= max_unserved;
        if unserved_only || staying_open >= max_staying_open {
            self.evict(&mut registry, unserved_only);
        }
        registry.connections.len() < capacity
    }

    /// Evicts one idle connection even if slots are free. It is called when the process has run out
    /// of file descriptors or memory.
    pub(crate) fn evict_idle(&self) {
        self.evict(&mut self.registry(), false);
    }

    fn evict(&self, registry: &mut Registry, unserved_only: bool) {
        if registry.evict_idle(unserved_only) {
            self.metrics.client_connections_evicted.increment();
        }
    }

    /// Starts or stops draining. During draining, a connection that has sent a call is asked to
    /// close as soon as it has no open request.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut registry = self.registry();
        registry.draining = draining;
        if draining {
            registry
                .connections
                .values_mut()
                .for_each(ConnectionState::ask_to_close_for_drain);
        }
    }

    /// Drains connections while the lifecycle state is draining. Runs until the lifecycle is
    /// dropped.
    pub(crate) async fn follow_lifecycle(self: Arc<ConnectionSlots>, lifecycle: Arc<Lifecycle>) {
        let mut state = lifecycle.subscribe();
        loop {
            self.set_draining(state.borrow_and_update().is_draining());
            if state.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a slot for an accepted connection.
    #[must_use]
    pub(crate) fn take_slot(self: &Arc<ConnectionSlots>) -> ConnectionSlot {
        let mut registry = self.registry();
        let id = registry.next_id;
        let close_request = Arc::new(Notify::new());
        registry.next_id += 1;
        registry.connections.insert(
            id,
            ConnectionState::new(close_request.clone(), self.metrics.clone()),
        );
        ConnectionSlot {
            slots: self.clone(),
            id,
            close_request,
        }
    }
}

/// The slot of one connection; dropping it frees the slot.
pub(crate) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    close_request: Arc<Notify>,
}

impl ConnectionSlot {
    /// Returns the connection's id for the log. It is unique within the front end.
    pub(crate) fn connection_id(&self) -> u64 {
        self.id
    }

    /// Changes the connection's state, and asks it to close if draining now requires that.
    fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut registry = self.slots.registry();
        let draining = registry.draining;
        if let Some(connection) = registry.connections.get_mut(&self.id) {
            connection.last_change = Instant::now();
            change(connection);
            if draining {
                connection.ask_to_close_for_drain();
            }
        }
    }

    fn read<T>(&self, value: impl FnOnce(&ConnectionState) -> T) -> Option<T> {
        self.slots.registry().connections.get(&self.id).map(value)
    }

    /// Records the number of open requests.
    pub(crate) fn set_open_requests(&self, open_requests: usize) {
        self.update(|connection| connection.open_requests = open_requests as u32);
        if open_requests == 0 {
            self.slots.slot_freed.notify_one();
        }
    }

    /// Records a call that opens a request.
    pub(crate) fn request_opened(&self) {
        self.update(|connection| {
            connection.open_requests += 1;
            connection.has_called = true;
        });
    }

    /// Records the end of an open request.
    pub(crate) fn request_closed(&self) {
        self.update(|connection| {
            connection.open_requests = connection.open_requests.saturating_sub(1);
        });
        self.slots.slot_freed.notify_one();
    }

    /// Records a call that opens no request.
    pub(crate) fn record_call(&self) {
        self.update(|connection| connection.has_called = true);
    }

    /// Whether the client has sent a call on this connection.
    pub(crate) fn has_called(&self) -> bool {
        self.read(|connection| connection.has_called)
            .unwrap_or(false)
    }

    /// Records that a request was served on this connection, or a health check was answered.
    /// Connections that were never served are evicted before it.
    pub(crate) fn mark_served(&self) {
        self.update(|connection| connection.was_served = true);
    }

    /// Resolves once the connection is asked to close.
    pub(crate) async fn asked_to_close(&self) {
        self.close_request.notified().await;
    }

    /// Resolves once the connection has been asked to close and its state has then stayed unchanged
    /// for `quiet`. If a request is open, the request to close is withdrawn and the wait starts
    /// again.
    ///
    /// Used for connections whose clients may still have to fetch the result of a planned statement
    /// when no request is open.
    pub(crate) async fn quiet_after_close_request(&self, quiet: Duration) {
        loop {
            self.asked_to_close().await;
            loop {
                let before = self.activity();
                sleep(quiet).await;
                match before {
                    Some((1.., _)) => break self.withdraw_close_request(),
                    _ if before == self.activity() => return,
                    _ => {}
                }
            }
        }
    }

    /// Resolves once no request has been open, and the connection's state has stayed unchanged, for
    /// `quiet`.
    pub(crate) async fn unchanged_while_idle(&self, quiet: Duration) {
        loop {
            let before = self.activity();
            sleep(quiet).await;
            let has_open_request = matches!(before, Some((1.., _)));
            if !has_open_request && before == self.activity() {
                return;
            }
        }
    }

    /// Whether the front end is draining its connections.
    pub(crate) fn is_draining(&self) -> bool {
        self.slots.registry().draining
    }

    /// The number of open requests and the time of the last change; `None` for an unknown
    /// connection.
    fn activity(&self) -> Option<(u32, Instant)> {
        self.read(|connection| (connection.open_requests, connection.last_change))
    }

    /// Withdraws the request to close because the client has become active again. The connection
    /// may be asked again later.
    pub(crate) fn withdraw_close_request(&self) {
        self.update(|connection| {
            connection.asked_to_close = false;
            connection.pending_close = None;
        });
        // Wakes a new connection that waits for this slot, so that another connection is evicted
        // for it.
        self.slots.slot_freed.notify_one();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.registry().connections.remove(&self.id);
        self.slots.slot_freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
