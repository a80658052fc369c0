//! Slots that bound the number of client connections of a front end.
//!
//! A front end accepts a connection only if it has a slot for it, or an idle connection can be evicted
//! for the new one. Connections that were never served are evicted first, then the one
//! that has been idle for longest. So clients that keep connections open forever, and clients that
//! connect and send nothing, cannot keep other clients out. [`ConnectionSlots`] holds the state of
//! every connection of one front end, and each connection updates its own state through its
//! [`ConnectionSlot`]. Both the MessagePack-RPC and the Flight SQL front end use this module.

mod listener_wait;
mod registry;
mod slot;

pub(crate) use slot::ConnectionSlot;

use crate::lifecycle::Lifecycle;
use crate::limits::{Limits, ShareChanges, SharedLimit};
use crate::metrics::Metrics;
use listener_wait::ListenerWait;
use registry::{ConnectionState, Registry};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// The number of slots is divided by this to get the number that is reserved for connections that
/// were asked to close and are still open.
const CLOSING_SLOTS_DIVISOR: usize = 8;

/// The connection slots of one front end.
pub(crate) struct ConnectionSlots {
    limit: SharedLimit,
    first_call_grace: Duration,
    registry: Mutex<Registry>,
    /// Notified by every change of a connection's state: a slot may have become free, or a connection
    /// may have become evictable.
    state_changed: Notify,
    metrics: Arc<Metrics>,
}

/// How many connections the slots allow, and how many there are.
struct SlotCounts {
    capacity: usize,
    /// Connections that do not close soon.
    staying_open: usize,
    /// Those of them on which no request was served.
    unserved: usize,
}

impl SlotCounts {
    /// The number of connections up to which no idle one is evicted for a new one. A connection that
    /// was asked to close counts until it is closed, so some slots are reserved for such
    /// connections, and a new connection seldom has to wait.
    fn max_staying_open(&self) -> usize {
        self.capacity - self.capacity.div_ceil(CLOSING_SLOTS_DIVISOR)
    }

    /// Whether only connections that were never served are evicted. They may take half of the slots
    /// outside the reserve, so that a flood of them does not evict clients that were served.
    fn only_unserved_are_evicted(&self) -> bool {
        self.unserved > 0 && self.unserved >= self.max_staying_open().div_ceil(2)
    }
}

impl ConnectionSlots {
    /// Creates slots with this limit on the connections.
    pub(crate) fn new(
        limit: SharedLimit,
        limits: &Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            limit,
            first_call_grace: limits.first_call_grace,
            registry: Mutex::default(),
            state_changed: Notify::new(),
            metrics,
        })
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Observes the changes of this process's share of the slots from now on.
    pub(crate) fn share_changes(&self) -> ShareChanges {
        self.limit.changes()
    }

    /// Waits until this process may accept a connection: a slot is free, or an idle connection can
    /// be evicted for the new one. Evicts idle connections as long as more are open than this process
    /// may keep.
    pub(crate) async fn accepting_allowed(&self) {
        if self.may_accept() {
            return;
        }
        let open = self.registry().connections.len();
        let _wait = ListenerWait::begin(&self.metrics, open, self.limit.capacity());
        loop {
            // Only the caller adds connections, so no other one becomes evictable by the time alone.
            let next_evictable_at = self.registry().next_evictable_at();
            let may_accept = || self.may_accept();
            let allowed = self.limit.wait_until(&self.state_changed, may_accept);
            match next_evictable_at {
                None => return allowed.await,
                Some(at) if timeout_at(at, allowed).await.is_ok() => return,
                Some(_) => {}
            }
        }
    }

    /// Whether this process may accept a connection.
    ///
    /// If all slots are taken, one connection may be accepted for which another one can be evicted.
    /// The next one then has to wait until the evicted one is closed, because that keeps its file
    /// descriptor until then.
    fn may_accept(&self) -> bool {
        let mut registry = self.registry();
        self.evict_excess(&mut registry);
        let slots = self.slot_counts(&registry);
        let is_replacing = registry.connections.len() > slots.capacity.max(slots.staying_open);
        registry.connections.len() < slots.capacity
            || !is_replacing && registry.victim(slots.only_unserved_are_evicted()).is_some()
    }

    /// Evicts idle connections until no more stay open than this process may keep after its share of
    /// the slots has become smaller.
    fn evict_excess(&self, registry: &mut Registry) {
        let excess = registry
            .staying_open()
            .count()
            .saturating_sub(self.limit.retained_capacity());
        for _ in 0..excess {
            self.evict(registry, false);
        }
    }

    /// Evicts an idle connection for a new one if all slots outside the reserve are taken.
    fn make_room(&self, registry: &mut Registry) {
        let slots = self.slot_counts(registry);
        if slots.only_unserved_are_evicted() || slots.staying_open >= slots.max_staying_open() {
            self.evict(registry, slots.only_unserved_are_evicted());
        }
    }

    fn slot_counts(&self, registry: &Registry) -> SlotCounts {
        let unserved = registry
            .staying_open()
            .filter(|connection| !connection.was_served);
        SlotCounts {
            capacity: self.limit.capacity(),
            staying_open: registry.staying_open().count(),
            unserved: unserved.count(),
        }
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

    /// Takes a slot for an accepted connection, and evicts an idle one if few slots are left.
    #[must_use]
    pub(crate) fn take_slot(self: &Arc<ConnectionSlots>) -> ConnectionSlot {
        let mut registry = self.registry();
        self.make_room(&mut registry);
        let id = registry.next_id;
        let close_request = Arc::new(Notify::new());
        registry.next_id += 1;
        registry.connections.insert(
            id,
            ConnectionState::new(
                close_request.clone(),
                self.first_call_grace,
                self.metrics.clone(),
            ),
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
