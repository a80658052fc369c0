//! The roster: the engines of the endpoint list that have a slot. Attempts are sent only to engines
//! with a slot, and the dispatcher chooses among them. Sans-I/O.
//!
//! The number of slots is bounded. An engine without a slot is counted, reported and put on a
//! waiting list. A free slot is given to a waiting engine, ready engines first.
//!
//! The roster applies every update of an engine with a slot, such as its draining or removal. If
//! the endpoint list is short, the dispatcher is notified of all these engines, otherwise only of
//! this manager's subset of them.

mod subset_change;

pub(super) use subset_change::SubsetChange;

use crate::decision::{EngineEntry, EngineId, EngineSharing, EngineState, ListUpdateKind, Millis};
use crate::node_config::{EndpointListEvent, EngineRecord};
use crate::subset::{Membership, Subset, SubsetEngines};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The engines that have a slot and the engines that wait for one.
#[derive(Debug)]
pub(super) struct Roster {
    /// The number of slots.
    capacity: usize,
    /// Engines with a slot.
    engines: BTreeMap<EngineId, EngineRecord>,
    /// Engines that wait for a slot; at most as many as there are slots. Further engines are
    /// dropped, and the next full list contains them again.
    waiting: BTreeMap<EngineId, EngineRecord>,
    /// For each address, the ready engine there that started last.
    ready_by_address: HashMap<SocketAddr, EngineId>,
    subset: Subset,
    /// The subset of which the dispatcher was notified; `None` while it is notified of all engines.
    reported_subset: Option<BTreeMap<EngineId, EngineEntry>>,
}

/// Number of engines with a slot and of engines that wait for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RosterSizes {
    pub(super) engines: usize,
    pub(super) waiting: usize,
}

/// Size of the set of engines of which the dispatcher was notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubsetSizes {
    pub(super) engines: usize,
    /// Number of zones that have a ready engine.
    pub(super) ready_zones: usize,
}

/// Where an engine runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineLocation {
    pub(super) zone: u8,
    pub(super) cell: u16,
}

/// The result of applying an endpoint list event.
#[derive(Debug, Default)]
pub(super) struct RosterUpdate {
    /// Engines that were removed because a full list does not contain them.
    pub(super) removed: Vec<EngineId>,
    /// Whether a full list omits more than half of the engines with a slot.
    pub(super) large_removal: bool,
    /// Records for the engines' actors, in the order in which they apply.
    pub(super) records: Vec<EngineRecord>,
    /// The update for the dispatcher.
    pub(super) subset_change: SubsetChange,
    /// Engines that got no slot and were not waiting for one before.
    pub(super) without_slot: Vec<EngineId>,
    /// Number of removal records of engines that are not in the roster.
    pub(super) unknown_removals: usize,
    /// Number of records that a later record of the same event replaces.
    pub(super) duplicate_records: usize,
    /// Number of records that list an engine as ready at the address of another engine that is not
    /// removed yet.
    pub(super) address_conflicts: usize,
}

impl Roster {
    /// Creates an empty roster with this number of slots.
    pub(super) fn new(capacity: usize, subset: Subset) -> Roster {
        Roster {
            capacity,
            engines: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ready_by_address: HashMap::new(),
            subset,
            reported_subset: None,
        }
    }

    pub(super) fn sizes(&self) -> RosterSizes {
        RosterSizes {
            engines: self.engines.len(),
            waiting: self.waiting.len(),
        }
    }

    pub(super) fn subset_sizes(&self) -> SubsetSizes {
        let subset = self.reported_subset.as_ref();
        SubsetSizes {
            engines: subset.map_or(self.engines.len(), BTreeMap::len),
            ready_zones: self.subset.ready_zones(),
        }
    }

    /// The mean number of managers that share an engine of the subset; `None` while the dispatcher
    /// is notified of all engines.
    pub(super) fn managers_per_engine(&self) -> Option<f64> {
        let entry = self.reported_subset.as_ref()?.values().next()?;
        entry.sharing.map(|sharing| sharing.mean_managers)
    }

    /// Number of entries in all maps, as a measure of memory use.
    pub(super) fn state_size(&self) -> usize {
        self.engines.len() + self.waiting.len() + self.ready_by_address.len()
    }

    /// Whether the engine has a slot and is ready, so that attempts may be sent to it.
    pub(super) fn is_ready(&self, engine: EngineId) -> bool {
        self.engines
            .get(&engine)
            .is_some_and(|record| record.entry.state == EngineState::Ready)
    }

    /// The location of an engine that has a slot.
    pub(super) fn location(&self, engine: EngineId) -> Option<EngineLocation> {
        let entry = &self.engines.get(&engine)?.entry;
        Some(EngineLocation {
            zone: entry.zone,
            cell: entry.cell,
        })
    }

    /// Whether the engine is in the roster, in any state: it has a slot or waits for one.
    pub(super) fn is_listed(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine) || self.waiting.contains_key(&engine)
    }

    /// Applies an endpoint list event.
    pub(super) fn apply(&mut self, event: &EndpointListEvent) -> RosterUpdate {
        let mut update = self.apply_records(event);
        let changed: Vec<EngineId> = update
            .records
            .iter()
            .map(|record| record.entry.engine)
            .collect();
        for id in update.removed.iter().chain(&changed) {
            let ready = self
                .engines
                .get(id)
                .filter(|record| record.entry.state == EngineState::Ready);
            self.subset
                .set_ready_zone(*id, ready.map(|record| record.entry.zone));
        }
        let entries = update
            .records
            .iter()
            .map(|record| record.entry.clone())
            .collect();
        update.subset_change = self.subset_change(event.kind, entries);
        update
    }

    /// Applies this manager's membership in its fleet. Returns the update for the dispatcher if the
    /// membership has changed.
    pub(super) fn set_membership(&mut self, membership: Membership) -> Option<SubsetChange> {
        let changed = self.subset.set_membership(membership);
        changed.then(|| self.subset_change(ListUpdateKind::Delta, Vec::new()))
    }

    /// Restarts the slow start of an engine at the time `started_at`, because its manual ejection
    /// has ended. The dispatcher does this itself for the engines of which it was notified. For an
    /// engine outside the subset the roster keeps the new start time, which the dispatcher gets
    /// when the engine joins the subset.
    pub(super) fn reset_slow_start(&mut self, engine: EngineId, started_at: Millis) {
        let outside_subset = self
            .reported_subset
            .as_ref()
            .is_some_and(|subset| !subset.contains_key(&engine));
        if let Some(record) = self.engines.get_mut(&engine).filter(|_| outside_subset) {
            record.entry.started_at_ms = record.entry.started_at_ms.max(started_at);
        }
    }

    /// Computes the update for the dispatcher: `changes` while the dispatcher is notified of all
    /// engines, otherwise the difference between the subset that it was notified of last and the
    /// present one. A switch from the subset to all engines is sent as a full list.
    fn subset_change(&mut self, kind: ListUpdateKind, changes: Vec<EngineEntry>) -> SubsetChange {
        let subset_engines = self.subset.engines();
        let before = self.reported_subset.take();
        let all_unavailable = before.as_ref().is_some_and(|subset| {
            !subset.is_empty() && !subset.keys().any(|engine| self.subset.is_ready(*engine))
        });
        let change_without_counts = |kind, entries| SubsetChange {
            kind,
            entries,
            engines_added: 0,
            engines_removed: 0,
            all_unavailable,
        };
        match (subset_engines, before) {
            (None, None) => change_without_counts(kind, changes),
            (None, Some(_)) => change_without_counts(
                ListUpdateKind::Full,
                self.engines
                    .values()
                    .map(|record| record.entry.clone())
                    .collect(),
            ),
            (Some(subset_engines), before) => {
                let after = self.subset_entries(&subset_engines);
                let change = SubsetChange::between(before.as_ref(), &after);
                self.reported_subset = Some(after);
                SubsetChange {
                    all_unavailable,
                    ..change
                }
            }
        }
    }

    /// The entries of the subset's engines, with the data on how managers share them.
    fn subset_entries(&self, subset_engines: &SubsetEngines) -> BTreeMap<EngineId, EngineEntry> {
        let entry = |(engine, sharing): (&EngineId, &EngineSharing)| {
            let record = self.engines.get(engine)?;
            Some((
                *engine,
                EngineEntry {
                    sharing: Some(*sharing),
                    ..record.entry.clone()
                },
            ))
        };
        subset_engines.iter().filter_map(entry).collect()
    }

    /// Applies the records of an event. Of several records of one engine only the last one applies.
    fn apply_records(&mut self, event: &EndpointListEvent) -> RosterUpdate {
        let mut update = RosterUpdate::default();
        let mut last_position = HashMap::new();
        for (position, record) in event.records.iter().enumerate() {
            let earlier = last_position.insert(record.entry.engine, position);
            update.duplicate_records += usize::from(earlier.is_some());
        }
        if event.kind == ListUpdateKind::Full {
            self.remove_unlisted(event, &last_position, &mut update);
        }
        let (removals, listings): (Vec<_>, Vec<_>) = event
            .records
            .iter()
            .enumerate()
            .filter(|(position, record)| last_position[&record.entry.engine] == *position)
            .map(|(_, record)| record)
            .partition(|record| record.entry.state == EngineState::Removed);
        // Removals are applied first, because they free slots for other engines of the same event.
        for record in removals {
            self.apply_removal(record, &mut update);
        }
        for record in listings {
            self.apply_listing(record, &mut update);
        }
        self.fill_free_slots(&mut update);
        update
    }

    /// Removes the engines that a full list omits. An engine whose record is unusable does not
    /// count as omitted and stays unchanged.
    fn remove_unlisted(
        &mut self,
        event: &EndpointListEvent,
        last_position: &HashMap<EngineId, usize>,
        update: &mut RosterUpdate,
    ) {
        let is_in_list =
            |id: &EngineId| last_position.contains_key(id) || event.unusable_engines.contains(id);
        self.waiting.retain(|id, _| is_in_list(id));
        update.removed = self
            .engines
            .keys()
            .copied()
            .filter(|id| !is_in_list(id))
            .collect();
        update.large_removal = update.removed.len() > self.engines.len() / 2;
        update.removed.iter().for_each(|id| self.remove(*id));
        let unchanged = event
            .unusable_engines
            .iter()
            .filter(|id| !last_position.contains_key(id));
        update
            .records
            .extend(unchanged.filter_map(|id| self.engines.get(id)).cloned());
    }

    fn apply_removal(&mut self, record: &EngineRecord, update: &mut RosterUpdate) {
        let id = record.entry.engine;
        let was_waiting = self.waiting.remove(&id).is_some();
        if self.engines.contains_key(&id) {
            self.remove(id);
            update.records.push(record.clone());
        } else if !was_waiting {
            update.unknown_removals += 1;
        }
    }

    /// Gives the engine a slot, or puts it on the waiting list if no slot is free. If the waiting
    /// list is full too, the engine is dropped.
    fn apply_listing(&mut self, record: &EngineRecord, update: &mut RosterUpdate) {
        let id = record.entry.engine;
        if !self.engines.contains_key(&id) && self.engines.len() >= self.capacity {
            let may_wait = self.waiting.len() < self.capacity || self.waiting.contains_key(&id);
            let was_waiting = may_wait && self.waiting.insert(id, record.clone()).is_some();
            update.without_slot.extend((!was_waiting).then_some(id));
            return;
        }
        self.waiting.remove(&id);
        self.insert(record.clone(), update);
    }

    /// Gives the free slots to waiting engines, ready engines first.
    fn fill_free_slots(&mut self, update: &mut RosterUpdate) {
        while self.engines.len() < self.capacity && !self.waiting.is_empty() {
            let ready = self
                .waiting
                .iter()
                .find(|(_, record)| record.entry.state == EngineState::Ready);
            let next = ready.or(self.waiting.iter().next()).map(|(id, _)| *id);
            let Some(record) = next.and_then(|id| self.waiting.remove(&id)) else {
                return;
            };
            self.insert(record, update);
        }
    }

    /// Gives the engine a slot. Only one process runs at an address, so if two engines are listed
    /// as ready at one address, the engine that started last has replaced the other. The endpoint
    /// list may report the replacement later. Until then the earlier engine is treated as draining,
    /// because attempts for it would reach the new process, which is warming up.
    fn insert(&mut self, mut record: EngineRecord, update: &mut RosterUpdate) {
        let (id, address) = (record.entry.engine, record.address);
        self.remove(id);
        if record.entry.state == EngineState::Ready {
            let other = self
                .ready_by_address
                .get(&address)
                .and_then(|other| self.engines.get_mut(other));
            update.address_conflicts += usize::from(other.is_some());
            match other {
                Some(other) if other.entry.started_at_ms > record.entry.started_at_ms => {
                    record.entry.state = EngineState::Draining;
                }
                Some(other) => {
                    if other.entry.state == EngineState::Ready {
                        other.entry.state = EngineState::Draining;
                        update.records.push(other.clone());
                    }
                    self.ready_by_address.insert(address, id);
                }
                None => drop(self.ready_by_address.insert(address, id)),
            }
        }
        self.engines.insert(id, record.clone());
        update.records.push(record);
    }

    fn remove(&mut self, id: EngineId) {
        let address = self.engines.remove(&id).map(|record| record.address);
        if let Some(address) =
            address.filter(|address| self.ready_by_address.get(address) == Some(&id))
        {
            self.ready_by_address.remove(&address);
        }
    }
}

#[cfg(test)]
mod tests;
