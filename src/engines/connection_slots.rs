//! The slots, one a descriptor, that the connections to all engines share, and which connection is evicted.
//!
//! A listed engine costs no descriptor, so there may be many more engines than descriptors: the connection that has
//! been idle longest is evicted in favour of the one that is needed now. `docs/large-lists.md` has the design.

use super::connection_load::ConnectionLoad;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotPurpose {
    /// The engine has no connection that answers: without this one it cannot be reached.
    FirstConnection,
    /// A non-idempotent attempt is to have a connection of its own.
    ExclusiveUse,
    /// The other connections of the engine carry much already.
    AdditionalConnection,
}

/// The table of all slots.
#[derive(Debug)]
pub(crate) struct ConnectionSlots {
    limits: Arc<Limits>,
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
    /// It waits for the descriptor of an evicted connection and has none yet.
    waits_for_descriptor: bool,
    /// The connection was evicted in favour of whoever holds the other end, who waits for its descriptor.
    descriptor_waiter: Option<oneshot::Sender<()>>,
}

impl SlotEntry {
    /// Whether it was evicted: its descriptor passes on to another entry, so only one of the two counts.
    fn is_evicted(&self) -> bool {
        self.descriptor_waiter.is_some()
    }

    fn may_be_evicted(&self) -> bool {
        !self.waits_for_descriptor && !self.is_evicted() && self.load.is_idle()
    }
}

impl SlotTable {
    /// Slots in use, those aside whose descriptor is already promised to another entry.
    fn in_use(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.is_evicted()).count()
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

/// The slot of one connection. Dropping it frees the descriptor, so it has to be dropped after the socket.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    eviction: Arc<Notify>,
    /// Resolves once the evicted connection has closed its socket; none where a descriptor was free.
    descriptor_freed: Option<oneshot::Receiver<()>>,
}

impl ConnectionSlots {
    pub(crate) fn new(limits: Arc<Limits>, metrics: Arc<Metrics>) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            limits,
            metrics,
            table: Mutex::default(),
        })
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the number of connections that have a descriptor; those that wait for one are not counted.
    fn update_gauge(&self, table: &SlotTable) {
        let entries = table.entries.values();
        self.metrics
            .engine_connections_open
            .set(entries.filter(|entry| !entry.waits_for_descriptor).count());
    }

    /// Slots that a connection for this purpose may fill. Some are reserved for engines that could not be reached
    /// otherwise.
    fn capacity_for(&self, purpose: SlotPurpose) -> usize {
        let shared = self.limits.share(self.limits.engine_connections);
        let reserved = self.limits.share(self.limits.engine_connections_reserved);
        match purpose {
            SlotPurpose::FirstConnection => shared + reserved,
            SlotPurpose::ExclusiveUse | SlotPurpose::AdditionalConnection => shared,
        }
    }

    /// Acquires a slot for a connection with this load; none where all are in use and no connection may be evicted
    /// for this purpose. Only an idle connection is ever evicted.
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
            Some(self.evict(table.longest_idle()?))
        };
        let eviction = Arc::new(Notify::new());
        let id = table.insert(SlotEntry {
            load: load.clone(),
            eviction: eviction.clone(),
            waits_for_descriptor: descriptor_freed.is_some(),
            descriptor_waiter: None,
        });
        self.update_gauge(&table);
        Some(ConnectionSlot {
            slots: self.clone(),
            id,
            eviction,
            descriptor_freed,
        })
    }

    /// Evicts this connection; the receiver resolves once its descriptor is free.
    fn evict(&self, entry: &mut SlotEntry) -> oneshot::Receiver<()> {
        let (descriptor_waiter, descriptor_freed) = oneshot::channel();
        entry.descriptor_waiter = Some(descriptor_waiter);
        entry.load.mark_evicted();
        entry.eviction.notify_one();
        self.metrics.engine_connections_evicted.increment();
        descriptor_freed
    }
}

impl ConnectionSlot {
    /// Names the connection in the log: no other connection of this process, to whatever engine, has this number.
    pub(super) fn number(&self) -> u64 {
        self.id
    }

    /// Resolves once the slot has its descriptor, so that a socket may be opened. To be awaited once.
    pub(super) fn descriptor_ready(&mut self) -> impl Future<Output = ()> + Send + 'static {
        let descriptor_freed = self.descriptor_freed.take();
        let slots = self.slots.clone();
        let id = self.id;
        async move {
            let Some(descriptor_freed) = descriptor_freed else {
                return;
            };
            // An error means that the evicted slot is gone, which frees the descriptor as well.
            let _ = descriptor_freed.await;
            let mut table = slots.table();
            if let Some(entry) = table.entries.get_mut(&id) {
                entry.waits_for_descriptor = false;
            }
            slots.update_gauge(&table);
        }
    }

    /// Resolves once the connection is evicted. Nothing is in flight on it then, and nothing will be.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut table = self.slots.table();
        let entry = table.entries.remove(&self.id);
        self.slots.update_gauge(&table);
        if let Some(descriptor_waiter) = entry.and_then(|entry| entry.descriptor_waiter) {
            let _ = descriptor_waiter.send(());
        }
    }
}

#[cfg(test)]
mod tests;
