//! The slots that the connections to all engines share, one for each descriptor, and the eviction
//! of connections.
//!
//! An engine in the endpoint list needs no descriptor, so there may be many more engines than
//! descriptors. If a connection is needed and no slot is free, the connection that has been idle
//! longest is evicted. The design is described in `docs/large-lists.md`.

use super::connection_load::ConnectionLoad;
use crate::limits::{Limits, SharedLimit};
use crate::metrics::Metrics;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};

/// Why a connection is to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotPurpose {
    /// The engine has no usable connection, so without this one it cannot be reached.
    FirstConnection,
    /// A non-idempotent attempt needs a connection of its own.
    ExclusiveUse,
    /// The other connections of the engine already carry as many attempts as should share one, or
    /// an exclusive one.
    AdditionalConnection,
}

/// The table of all slots.
#[derive(Debug)]
pub(crate) struct ConnectionSlots {
    /// Slots for connections of every purpose.
    shared_slots: SharedLimit,
    /// Slots for engines that cannot be reached otherwise.
    reserved_slots: SharedLimit,
    metrics: Arc<Metrics>,
    table: Mutex<SlotTable>,
}

#[derive(Debug, Default)]
struct SlotTable {
    next_id: u64,
    entries: BTreeMap<u64, SlotEntry>,
}

#[derive(Debug)]
struct SlotEntry {
    load: Arc<ConnectionLoad>,
    eviction: Arc<Notify>,
    /// Whether the connection still waits for the descriptor of an evicted one.
    waits_for_descriptor: bool,
    eviction_cause: Option<EvictionCause>,
}

/// Why a connection was evicted.
#[derive(Debug)]
enum EvictionCause {
    /// A new connection waits for its descriptor and is notified when it is free.
    NewConnection(oneshot::Sender<()>),
    /// This process's share of the slots has become smaller.
    SmallerShare,
}

impl SlotEntry {
    /// Whether the connection's descriptor is assigned to another entry. Only that entry counts as a
    /// slot in use.
    fn is_replaced(&self) -> bool {
        matches!(self.eviction_cause, Some(EvictionCause::NewConnection(_)))
    }

    fn may_be_evicted(&self) -> bool {
        !self.waits_for_descriptor && self.eviction_cause.is_none() && self.load.is_idle()
    }
}

impl SlotTable {
    /// The number of slots in use, without those whose descriptor is already assigned to another
    /// entry.
    fn in_use(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.is_replaced()).count()
    }

    fn longest_idle(&mut self) -> Option<&mut SlotEntry> {
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| entry.may_be_evicted())
            .min_by_key(|entry| entry.load.last_activity_ms())
    }

    fn insert(&mut self, entry: SlotEntry) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.insert(id, entry);
        id
    }
}

/// The slot of one connection. Dropping it makes the descriptor available to another connection, so
/// it has to be dropped after the socket.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    eviction: Arc<Notify>,
    /// Resolves once the evicted connection has closed its socket; `None` if a descriptor was free.
    descriptor_freed: Option<oneshot::Receiver<()>>,
}

impl ConnectionSlots {
    pub(crate) fn new(limits: &Arc<Limits>, metrics: Arc<Metrics>) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            shared_slots: SharedLimit::new(limits, limits.engine_connections),
            reserved_slots: SharedLimit::new(limits, limits.engine_connections_reserved),
            metrics,
            table: Mutex::default(),
        })
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the metric of open connections: those that have a descriptor. Connections that wait
    /// for one are not counted.
    fn update_gauge(&self, table: &SlotTable) {
        let entries = table.entries.values();
        self.metrics
            .engine_connections_open
            .set(entries.filter(|entry| !entry.waits_for_descriptor).count());
    }

    /// The number of slots that may be in use before a connection for this purpose needs an
    /// eviction. Some slots are reserved for engines that cannot be reached otherwise.
    fn capacity_for(&self, purpose: SlotPurpose) -> usize {
        let shared = self.shared_slots.capacity();
        let reserved = self.reserved_slots.capacity();
        match purpose {
            SlotPurpose::FirstConnection => shared + reserved,
            SlotPurpose::ExclusiveUse | SlotPurpose::AdditionalConnection => shared,
        }
    }

    /// Acquires a slot for a connection with this load. Returns `None` if all slots are in use and
    /// no connection may be evicted for this purpose. Only idle connections are evicted.
    pub(super) fn acquire(
        self: &Arc<ConnectionSlots>,
        load: &Arc<ConnectionLoad>,
        purpose: SlotPurpose,
    ) -> Option<ConnectionSlot> {
        let mut table = self.table();
        let descriptor_freed = if table.in_use() < self.capacity_for(purpose) {
            None
        } else if purpose == SlotPurpose::AdditionalConnection {
            return None;
        } else {
            Some(self.replace(table.longest_idle()?))
        };
        let eviction = Arc::new(Notify::new());
        let id = table.insert(SlotEntry {
            load: load.clone(),
            eviction: eviction.clone(),
            waits_for_descriptor: descriptor_freed.is_some(),
            eviction_cause: None,
        });
        self.update_gauge(&table);
        Some(ConnectionSlot {
            slots: self.clone(),
            id,
            eviction,
            descriptor_freed,
        })
    }

    /// Evicts this connection for a new one. The returned receiver resolves once its descriptor is
    /// free.
    fn replace(&self, entry: &mut SlotEntry) -> oneshot::Receiver<()> {
        let (descriptor_waiter, descriptor_freed) = oneshot::channel();
        self.evict(entry, EvictionCause::NewConnection(descriptor_waiter));
        descriptor_freed
    }

    fn evict(&self, entry: &mut SlotEntry, cause: EvictionCause) {
        entry.eviction_cause = Some(cause);
        entry.load.mark_evicted();
        entry.eviction.notify_one();
        self.metrics.engine_connections_evicted.increment();
    }

    /// Evicts idle connections, those idle longest first, until no more are open than this process
    /// may keep after its share of the slots has become smaller.
    fn evict_excess(&self) {
        let mut table = self.table();
        let retained =
            self.shared_slots.retained_capacity() + self.reserved_slots.retained_capacity();
        let entries = table.entries.values();
        let staying_open = entries
            .filter(|entry| entry.eviction_cause.is_none())
            .count();
        for _ in retained..staying_open {
            let Some(entry) = table.longest_idle() else {
                return;
            };
            self.evict(entry, EvictionCause::SmallerShare);
        }
    }

    /// Evicts connections when this process's share of the slots becomes smaller. Runs until the
    /// program ends.
    pub(crate) async fn follow_share(self: Arc<ConnectionSlots>) {
        let mut share_changes = self.shared_slots.changes();
        loop {
            self.evict_excess();
            share_changes.next().await;
        }
    }
}

impl ConnectionSlot {
    /// The number that identifies the connection in the log. It is unique among the connections of
    /// this process to all engines.
    pub(super) fn number(&self) -> u64 {
        self.id
    }

    /// Resolves once the slot has its descriptor, so that a socket may be opened. Must be called
    /// only once.
    pub(super) fn descriptor_ready(&mut self) -> impl Future<Output = ()> + Send + 'static {
        let descriptor_freed = self.descriptor_freed.take();
        let slots = self.slots.clone();
        let id = self.id;
        async move {
            let Some(descriptor_freed) = descriptor_freed else {
                return;
            };
            // An error means that the sender was dropped with the evicted slot; the descriptor is
            // free then too.
            let _ = descriptor_freed.await;
            let mut table = slots.table();
            if let Some(entry) = table.entries.get_mut(&id) {
                entry.waits_for_descriptor = false;
            }
            slots.update_gauge(&table);
        }
    }

    /// Resolves once the connection is evicted. It then carries no attempt and gets no further one.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut table = self.slots.table();
        let entry = table.entries.remove(&self.id);
        self.slots.update_gauge(&table);
        let cause = entry.and_then(|entry| entry.eviction_cause);
        if let Some(EvictionCause::NewConnection(descriptor_waiter)) = cause {
            let _ = descriptor_waiter.send(());
        }
    }
}

#[cfg(test)]
mod tests;
