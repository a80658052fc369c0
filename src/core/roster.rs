//! Which engines of the list are taken up: what the module may choose and what attempts can reach is this one set.
//! Sans-I/O. Places are bounded; what finds none is passed over, counted and named, and taken up once a place is free,
//! engines that take work first.
//!
//! All that are taken up can be reached, and their drains and ends are known. The decision module hears of them all
//! where the list is short, else of a subset.

use crate::decision::{EngineEntry, EngineId, EngineSharing, EngineState, ListUpdateKind, Millis};
use crate::node_config::{EndpointListEvent, EngineRecord};
use crate::subset::{Members, Membership, Subset};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The engines that are taken up, and those that wait for a place.
#[derive(Debug)]
pub(super) struct Roster {
    capacity: usize,
    engines: BTreeMap<EngineId, EngineRecord>,
    /// Passed over; as many as there are places at most, and the rest is known again with the next whole list.
    waiting: BTreeMap<EngineId, EngineRecord>,
    /// Who was last listed as ready at an address.
    ready_at: HashMap<SocketAddr, EngineId>,
    subset: Subset,
    /// What the decision module was told of the subset; none where it hears of the whole list.
    reported_subset: Option<BTreeMap<EngineId, EngineEntry>>,
}

/// What the decision module is told after an event.
#[derive(Debug)]
pub(super) struct SubsetChange {
    pub(super) kind: ListUpdateKind,
    pub(super) entries: Vec<EngineEntry>,
    /// Engines that the subset gained and lost.
    pub(super) engines_added: usize,
    pub(super) engines_removed: usize,
    /// None of the engines held before takes work any more.
    pub(super) all_unavailable: bool,
}

/// What an event of the list comes to.
#[derive(Debug, Default)]
pub(super) struct RosterUpdate {
    /// Engines that a whole list names no longer.
    pub(super) removed: Vec<EngineId>,
    /// A whole list leaves more than half of them out.
    pub(super) large_removal: bool,
    /// Lines for the engines' actors, in order.
    pub(super) records: Vec<EngineRecord>,
    /// What the module is told.
    pub(super) subset_change: SubsetChange,
    /// Engines that found no place.
    pub(super) without_slot: Vec<EngineId>,
    /// Records that tell the end of an engine that is not known.
    pub(super) unknown_removals: usize,
    /// Records of an engine that the same event names again: the last one holds.
    pub(super) duplicate_records: usize,
    /// Records of an engine at the address of another one that is not gone.
    pub(super) address_conflicts: usize,
}

impl Roster {
    pub(super) fn new(places: usize, subset: Subset) -> Roster {
        let (held, waiting, at) = Default::default();
        Roster {
            capacity: places,
            engines: held,
            waiting,
            ready_at: at,
            subset,
            reported_subset: None,
        }
    }

    /// How many are taken up, and how many wait.
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.engines.len(), self.waiting.len())
    }

    /// Engines that the decision module hears of, and the zones of those that take work.
    pub(super) fn subset_sizes(&self) -> (usize, usize) {
        (
            self.reported_subset
                .as_ref()
                .map_or(self.engines.len(), BTreeMap::len),
            self.subset.ready_zones(),
        )
    }

    /// The mean number of managers that hold an engine, where the module hears of a subset.
    pub(super) fn managers_per_engine(&self) -> Option<f64> {
        let entry = self.reported_subset.as_ref()?.values().next()?;
        entry.sharing.map(|holders| holders.mean_managers)
    }

    /// How many entries it holds in all.
    pub(super) fn state_size(&self) -> usize {
        self.engines.len() + self.waiting.len() + self.ready_at.len()
    }

    /// Whether an engine may get attempts.
    pub(super) fn is_ready(&self, engine: EngineId) -> bool {
        self.engines
            .get(&engine)
            .is_some_and(|line| line.entry.state == EngineState::Ready)
    }

    /// The zone and cell of one that is taken up.
    pub(super) fn location(&self, engine: EngineId) -> Option<(u8, u16)> {
        self.engines
            .get(&engine)
            .map(|line| (line.entry.zone, line.entry.cell))
    }

    /// Whether the list names it, ready or not, taken up or not.
    pub(super) fn is_listed(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine) || self.waiting.contains_key(&engine)
    }

    /// Takes an event of the list in.
    pub(super) fn apply(&mut self, event: &EndpointListEvent) -> RosterUpdate {
        let mut step = self.apply_records(event);
        let touched: Vec<EngineId> = step.records.iter().map(|line| line.entry.engine).collect();
        for id in step.removed.iter().chain(&touched) {
            let ready = self
                .engines
                .get(id)
                .filter(|line| line.entry.state == EngineState::Ready);
            self.subset
                .set_ready_zone(*id, ready.map(|line| line.entry.zone));
        }
        let entries = step.records.iter().map(|line| line.entry.clone()).collect();
        step.subset_change = self.subset_change(event.kind, entries);
        step
    }

    /// Takes new settings; what the module is to be told, if they change the subset.
    pub(super) fn set_membership(&mut self, membership: Membership) -> Option<SubsetChange> {
        let changed = self.subset.set_membership(membership);
        changed.then(|| self.subset_change(ListUpdateKind::Delta, Vec::new()))
    }

    /// An engine was given back by hand, so it counts as started then, whatever the list says. Where the module hears
    /// of it, it knows; else it is told with the engine.
    pub(super) fn reset_slow_start(&mut self, engine: EngineId, at: Millis) {
        let unheard = self
            .reported_subset
            .as_ref()
            .is_some_and(|told| !told.contains_key(&engine));
        if let Some(line) = self.engines.get_mut(&engine).filter(|_| unheard) {
            line.entry.started_at_ms = line.entry.started_at_ms.max(at);
        }
    }

    /// What the module is told: of the whole list its `changes`, of a subset how it differs from what was told.
    fn subset_change(&mut self, kind: ListUpdateKind, changes: Vec<EngineEntry>) -> SubsetChange {
        let members = self.subset.members();
        let before = self.reported_subset.take();
        let lost = before.as_ref().is_some_and(|told| {
            !told.is_empty() && !told.keys().any(|engine| self.subset.is_ready(*engine))
        });
        let whole = |kind, entries| SubsetChange {
            kind,
            entries,
            engines_added: 0,
            engines_removed: 0,
            all_unavailable: lost,
        };
        match (members, before) {
            (None, None) => whole(kind, changes),
            (None, Some(_)) => whole(
                ListUpdateKind::Full,
                self.engines
                    .values()
                    .map(|line| line.entry.clone())
                    .collect(),
            ),
            (Some(members), before) => {
                let told = self.member_entries(&members);
                let news = difference(before.as_ref(), &told);
                self.reported_subset = Some(told);
                SubsetChange {
                    all_unavailable: lost,
                    ..news
                }
            }
        }
    }

    fn member_entries(&self, members: &Members) -> BTreeMap<EngineId, EngineEntry> {
        let entry = |(engine, holders): (&EngineId, &EngineSharing)| {
            let line = self.engines.get(engine)?;
            Some((
                *engine,
                EngineEntry {
                    sharing: Some(*holders),
                    ..line.entry.clone()
                },
            ))
        };
        members.iter().filter_map(entry).collect()
    }

    fn apply_records(&mut self, event: &EndpointListEvent) -> RosterUpdate {
        let mut step = RosterUpdate::default();
        let mut last = HashMap::new();
        for (i, line) in event.records.iter().enumerate() {
            step.duplicate_records += usize::from(last.insert(line.entry.engine, i).is_some());
        }
        if event.kind == ListUpdateKind::Full {
            // Guard: an engine that a whole list leaves out is gone for good; nothing of it stays. One that it names in
            // a record that cannot be used is not left out, and stays as it was.
            let named =
                |id: &EngineId| last.contains_key(id) || event.unusable_engines.contains(id);
            self.waiting.retain(|id, _| named(id));
            step.removed = self
                .engines
                .keys()
                .copied()
                .filter(|id| !named(id))
                .collect();
            step.large_removal = step.removed.len() > self.engines.len() / 2;
            step.removed.iter().for_each(|id| self.remove(*id));
            let stays = event
                .unusable_engines
                .iter()
                .filter(|id| !last.contains_key(id));
            step.records
                .extend(stays.filter_map(|id| self.engines.get(id)).cloned());
        }
        // Ends first, so that what comes in the same event finds their places.
        let lines = event
            .records
            .iter()
            .enumerate()
            .filter(|(i, line)| last[&line.entry.engine] == *i);
        let (gone, others): (Vec<_>, Vec<_>) = lines
            .map(|(_, line)| line)
            .partition(|line| line.entry.state == EngineState::Removed);
        for line in gone {
            let id = line.entry.engine;
            let waited = self.waiting.remove(&id).is_some();
            if self.engines.contains_key(&id) {
                self.remove(id);
                step.records.push(line.clone());
            } else if !waited {
                step.unknown_removals += 1;
            }
        }
        for line in others {
            let id = line.entry.engine;
            if !self.engines.contains_key(&id) && self.engines.len() >= self.capacity {
                let room = self.waiting.len() < self.capacity || self.waiting.contains_key(&id);
                let waited = room && self.waiting.insert(id, line.clone()).is_some();
                step.without_slot.extend((!waited).then_some(id));
                continue;
            }
            self.waiting.remove(&id);
            self.insert(line.clone(), &mut step);
        }
        self.fill_free_slots(&mut step);
        step
    }

    /// Takes up who waits, as far as there are places.
    fn fill_free_slots(&mut self, step: &mut RosterUpdate) {
        while self.engines.len() < self.capacity && !self.waiting.is_empty() {
            let ready = self
                .waiting
                .iter()
                .find(|(_, l)| l.entry.state == EngineState::Ready);
            let next = ready.or(self.waiting.iter().next()).map(|(id, _)| *id);
            let Some(line) = next.and_then(|id| self.waiting.remove(&id)) else {
                return;
            };
            self.insert(line, step);
        }
    }

    /// Guard: one address is one process, so whoever started there last has taken the place of the other. The list may
    /// tell that later; until then the earlier one takes nothing new, as its attempts would reach the newcomer, which
    /// is cold.
    fn insert(&mut self, mut line: EngineRecord, step: &mut RosterUpdate) {
        let (id, address) = (line.entry.engine, line.address);
        self.remove(id);
        if line.entry.state == EngineState::Ready {
            let other = self
                .ready_at
                .get(&address)
                .and_then(|other| self.engines.get_mut(other));
            step.address_conflicts += usize::from(other.is_some());
            match other {
                Some(other) if other.entry.started_at_ms > line.entry.started_at_ms => {
                    line.entry.state = EngineState::Draining;
                }
                Some(other) => {
                    if other.entry.state == EngineState::Ready {
                        other.entry.state = EngineState::Draining;
                        step.records.push(other.clone());
                    }
                    self.ready_at.insert(address, id);
                }
                None => drop(self.ready_at.insert(address, id)),
            }
        }
        self.engines.insert(id, line.clone());
        step.records.push(line);
    }

    fn remove(&mut self, id: EngineId) {
        let address = self.engines.remove(&id).map(|line| line.address);
        if let Some(address) = address.filter(|at| self.ready_at.get(at) == Some(&id)) {
            self.ready_at.remove(&address);
        }
    }
}

impl Default for SubsetChange {
    fn default() -> SubsetChange {
        SubsetChange {
            kind: ListUpdateKind::Delta,
            entries: Vec::new(),
            engines_added: 0,
            engines_removed: 0,
            all_unavailable: false,
        }
    }
}

/// What the module is told where it hears of a subset. Engines that leave it are told gone: the module sends them
/// nothing more, and keeps them until what runs there is over. A module that heard of the whole list hears of the
/// subset as of a new whole list.
fn difference(
    before: Option<&BTreeMap<EngineId, EngineEntry>>,
    told: &BTreeMap<EngineId, EngineEntry>,
) -> SubsetChange {
    let Some(before) = before else {
        let entries: Vec<EngineEntry> = told.values().cloned().collect();
        return SubsetChange {
            kind: ListUpdateKind::Full,
            engines_added: entries.len(),
            entries,
            ..SubsetChange::default()
        };
    };
    let left = before
        .iter()
        .filter(|(engine, _)| !told.contains_key(engine));
    let mut entries: Vec<EngineEntry> = left
        .map(|(_, entry)| EngineEntry {
            state: EngineState::Removed,
            ..entry.clone()
        })
        .collect();
    let left = entries.len();
    let joined = told
        .keys()
        .filter(|engine| !before.contains_key(engine))
        .count();
    let changed = told
        .iter()
        .filter(|(engine, entry)| before.get(engine) != Some(entry));
    entries.extend(changed.map(|(_, entry)| entry.clone()));
    SubsetChange {
        kind: ListUpdateKind::Delta,
        entries,
        engines_added: joined,
        engines_removed: left,
        all_unavailable: false,
    }
}

#[cfg(test)]
mod tests;
