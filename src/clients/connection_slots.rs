//! Slots for client connections: a front end accepts a connection only once it has one.
//!
//! While any connection is idle, a new one gets a slot: the idle connection whose loss matters least is evicted. So
//! neither clients that keep connections for good nor clients that connect and send nothing keep others out.
//! [`ConnectionSlots`] owns the state of every connection of one front end; each connection reports its changes
//! through its [`ConnectionSlot`]. Both the MessagePack-RPC and the Flight SQL front end use it.

use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// One slot in this many is reserved for connections that were asked to leave and are still open.
const LEAVING_SLOTS_DIVISOR: usize = 8;

/// The connection slots of one front end.
pub(crate) struct ConnectionSlots {
    /// Slots of the whole workload manager; two processes of it share them.
    capacity: usize,
    limits: Arc<Limits>,
    registry: Mutex<Registry>,
    /// Notified whenever a slot may have become free or its connection evictable.
    slot_freed: Notify,
    metrics: Arc<Metrics>,
}

/// The open connections.
#[derive(Default)]
struct Registry {
    /// Connections are being drained: each is asked to leave once it has no open request.
    draining: bool,
    next_id: u64,
    connections: HashMap<u64, ConnectionState>,
}

struct ConnectionState {
    /// A request was served on it, or a health check was answered.
    was_served: bool,
    /// It has brought a call.
    has_called: bool,
    open_requests: u32,
    last_change: Instant,
    asked_to_leave: bool,
    leave_request: Arc<Notify>,
}

impl ConnectionState {
    fn new(leave_request: Arc<Notify>) -> ConnectionState {
        ConnectionState {
            was_served: false,
            has_called: false,
            open_requests: 0,
            last_change: Instant::now(),
            asked_to_leave: false,
            leave_request,
        }
    }

    /// Whether it may be evicted: it has no open request and was not asked to leave before.
    fn is_evictable(&self) -> bool {
        self.open_requests == 0 && !self.asked_to_leave
    }

    fn ask_to_leave(&mut self) {
        self.asked_to_leave = true;
        self.leave_request.notify_one();
    }

    /// A connection that has brought no call yet is left alone, as its first call may be on the way.
    fn ask_to_leave_for_drain(&mut self) {
        if self.has_called && self.is_evictable() {
            self.ask_to_leave();
        }
    }
}

impl Registry {
    /// Connections that were not asked to leave.
    fn staying(&self) -> impl Iterator<Item = &ConnectionState> {
        self.connections
            .values()
            .filter(|connection| !connection.asked_to_leave)
    }

    /// Asks one idle connection to leave: the one idle for longest, unserved ones first. Returns whether there was one.
    fn evict_idle(&mut self, unserved_only: bool) -> bool {
        let victim = self
            .connections
            .values_mut()
            .filter(|connection| connection.is_evictable())
            .filter(|connection| !(unserved_only && connection.was_served))
            .min_by_key(|connection| (connection.was_served, connection.last_change));
        let found = victim.is_some();
        if let Some(victim) = victim {
            victim.ask_to_leave();
        }
        found
    }
}

impl ConnectionSlots {
    /// Slots for `capacity` connections, shared with a peer process while there is one.
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

    /// Waits until there is a slot for a new connection. It returns at once unless every connection has an open
    /// request or is already leaving.
    pub(crate) async fn wait_for_slot(&self) {
        loop {
            // `notify_one` keeps a permit, so a slot freed between the check and the wait is not missed.
            let slot_freed = self.slot_freed.notified();
            if self.try_free_slot() {
                return;
            }
            slot_freed.await;
        }
    }

    /// Evicts an idle connection if the slots for those that stay are full; returns whether a slot is free now.
    ///
    /// Unproven connections may fill half of the slots. Above that they evict one another, so that a flood of them
    /// does not cost was_served clients their connections. A connection asked to leave counts until it is closed, as it
    /// keeps its descriptor; [`LEAVING_SLOTS_DIVISOR`] reserves slots for these, so that a new connection seldom waits.
    fn try_free_slot(&self) -> bool {
        let mut registry = self.registry();
        let capacity = self.limits.share(self.capacity);
        let max_staying = capacity - capacity.div_ceil(LEAVING_SLOTS_DIVISOR);
        let max_unserved = max_staying.div_ceil(2);
        let staying = registry.staying().count();
        let unserved = registry
            .staying()
            .filter(|connection| !connection.was_served)
            .count();
        let unserved_only = unserved >= max_unserved;
        if unserved_only || staying >= max_staying {
            self.evict(&mut registry, unserved_only);
        }
        registry.connections.len() < capacity
    }

    /// Evicts one idle connection although slots are free: the process ran out of descriptors first.
    pub(crate) fn evict_idle(&self) {
        self.evict(&mut self.registry(), false);
    }

    fn evict(&self, registry: &mut Registry, unserved_only: bool) {
        if registry.evict_idle(unserved_only) {
            self.metrics.client_connections_evicted.increment();
        }
    }

    /// Starts or stops draining: while it is on, a connection that has brought a call is asked to leave as soon as it
    /// has no open request.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut registry = self.registry();
        registry.draining = draining;
        if draining {
            registry
                .connections
                .values_mut()
                .for_each(ConnectionState::ask_to_leave_for_drain);
        }
    }

    /// Drains whenever the lifecycle says that clients are to leave. Runs until the lifecycle is dropped.
    pub(crate) async fn follow_lifecycle(self: Arc<ConnectionSlots>, lifecycle: Arc<Lifecycle>) {
        let mut state = lifecycle.subscribe();
        loop {
            self.set_draining(state.borrow_and_update().is_draining());
            if state.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a slot for a connection that was accepted.
    #[must_use]
    pub(crate) fn take_slot(self: &Arc<ConnectionSlots>) -> ConnectionSlot {
        let mut registry = self.registry();
        let id = registry.next_id;
        let leave_request = Arc::new(Notify::new());
        registry.next_id += 1;
        registry
            .connections
            .insert(id, ConnectionState::new(leave_request.clone()));
        ConnectionSlot {
            slots: self.clone(),
            id,
            leave_request,
        }
    }
}

/// The slot of one connection; dropping it frees the slot.
pub(crate) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    leave_request: Arc<Notify>,
}

impl ConnectionSlot {
    /// Names the connection in the log: no other connection of its front end has this number.
    pub(crate) fn connection_id(&self) -> u64 {
        self.id
    }

    fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut registry = self.slots.registry();
        let draining = registry.draining;
        if let Some(connection) = registry.connections.get_mut(&self.id) {
            connection.last_change = Instant::now();
            change(connection);
            if draining {
                connection.ask_to_leave_for_drain();
            }
        }
    }

    fn read<T>(&self, value: impl FnOnce(&ConnectionState) -> T) -> Option<T> {
        self.slots.registry().connections.get(&self.id).map(value)
    }

    /// Sets the number of open requests.
    pub(crate) fn set_open_requests(&self, open_requests: usize) {
        self.update(|connection| connection.open_requests = open_requests as u32);
        if open_requests == 0 {
            self.slots.slot_freed.notify_one();
        }
    }

    /// Counts one more open request, which is also a call.
    pub(crate) fn request_opened(&self) {
        self.update(|connection| {
            connection.open_requests += 1;
            connection.has_called = true;
        });
    }

    /// Counts one open request less.
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

    /// Whether it has brought a call.
    pub(crate) fn has_called(&self) -> bool {
        self.read(|connection| connection.has_called)
            .unwrap_or(false)
    }

    /// Records that it was served, so that unserved connections are evicted before it.
    pub(crate) fn mark_served(&self) {
        self.update(|connection| connection.was_served = true);
    }

    /// Resolves once the connection is asked to leave.
    pub(crate) async fn asked_to_leave(&self) {
        self.leave_request.notified().await;
    }

    /// Resolves once the connection was asked to leave and nothing changed on it for `quiet`.
    ///
    /// For connections whose answers another task writes: the end of a request there is not yet the end of its
    /// answer, and a planned statement is not yet fetched.
    pub(crate) async fn quiet_after_leave_request(&self, quiet: Duration) {
        loop {
            self.asked_to_leave().await;
            loop {
                let before = self.activity();
                sleep(quiet).await;
                match before {
                    Some((1.., _)) => break self.withdraw_leave_request(),
                    _ if before == self.activity() => return,
                    _ => {}
                }
            }
        }
    }

    /// The open requests and the time of the last change.
    fn activity(&self) -> Option<(u32, Instant)> {
        self.read(|connection| (connection.open_requests, connection.last_change))
    }

    /// Withdraws the request to leave, as a request came in. The connection may be asked again later.
    pub(crate) fn withdraw_leave_request(&self) {
        self.update(|connection| connection.asked_to_leave = false);
        // A new connection that waits for this slot has another one evicted instead.
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
