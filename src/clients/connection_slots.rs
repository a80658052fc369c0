//! Slots that bound the number of client connections of a front end.
//!
//! A front end serves a connection only in a free slot. If all slots are taken, an idle connection
//! is evicted for the new one. Connections that were never served are evicted first, then the one
//! that has been idle for longest. So clients that keep connections open forever, and clients that
//! connect and send nothing, cannot keep other clients out. [`ConnectionSlots`] holds the state of
//! every connection of one front end, and each connection updates its own state through its
//! [`ConnectionSlot`]. Both the MessagePack-RPC and the Flight SQL front end use this module.

mod listener_wait;
mod registry;
mod slot;

pub(crate) use slot::ConnectionSlot;

use crate::lifecycle::Lifecycle;
use crate::limits::{Limits, SharedLimit};
use crate::metrics::Metrics;
use listener_wait::ListenerWait;
use registry::{ConnectionState, Registry};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The number of slots is divided by this to get the number that is reserved for connections that
/// were asked to close and are still open.
const CLOSING_SLOTS_DIVISOR: usize = 8;

/// The connection slots of one front end.
pub(crate) struct ConnectionSlots {
    limit: SharedLimit,
    registry: Mutex<Registry>,
    /// Notified whenever a slot may have become free or a connection may have become evictable.
    slot_freed: Notify,
    metrics: Arc<Metrics>,
}

impl ConnectionSlots {
    /// Creates slots for `capacity` connections, which a peer process shares while it runs.
    pub(crate) fn new(
        capacity: usize,
        limits: &Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            limit: SharedLimit::new(limits, capacity),
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
        if self.try_free_slot() {
            return;
        }
        let open = self.registry().connections.len();
        let _wait = ListenerWait::begin(&self.metrics, open, self.limit.capacity());
        let slot_is_free = || self.try_free_slot();
        self.limit.wait_until(&self.slot_freed, slot_is_free).await;
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
        let capacity = self.limit.capacity();
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

#[cfg(test)]
mod tests;
