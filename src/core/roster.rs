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
    places: usize,
    held: BTreeMap<EngineId, EngineRecord>,
    /// Passed over; as many as there are places at most, and the rest is known again with the next whole list.
    waiting: BTreeMap<EngineId, EngineRecord>,
    /// Who was last listed as ready at an address.
    at: HashMap<SocketAddr, EngineId>,
    subset: Subset,
    /// What the decision module was told of the subset; none where it hears of the whole list.
    told: Option<BTreeMap<EngineId, EngineEntry>>,
}

/// What the decision module is told after an event.
#[derive(Debug)]
pub(super) struct News {
    pub(super) kind: ListUpdateKind,
    pub(super) entries: Vec<EngineEntry>,
    /// Engines that the subset gained and lost.
    pub(super) joined: usize,
    pub(super) left: usize,
    /// None of the engines held before takes work any more.
    pub(super) lost: bool,
}

/// What an event of the list comes to.
#[derive(Debug, Default)]
pub(super) struct Step {
    /// Engines that a whole list names no longer.
    pub(super) dropped: Vec<EngineId>,
    /// A whole list leaves more than half of them out.
    pub(super) cut: bool,
    /// Lines for the engines' actors, in order.
    pub(super) lines: Vec<EngineRecord>,
    /// What the module is told.
    pub(super) news: News,
    /// Engines that found no place.
    pub(super) passed: Vec<EngineId>,
    /// Records that tell the end of an engine that is not known.
    pub(super) unknown: usize,
    /// Records of an engine that the same event names again: the last one holds.
    pub(super) repeated: usize,
    /// Records of an engine at the address of another one that is not gone.
    pub(super) shared: usize,
}

impl Roster {
    pub(super) fn new(places: usize, subset: Subset) -> Roster {
        let (held, waiting, at) = Default::default();
        Roster {
            places,
            held,
            waiting,
            at,
            subset,
            told: None,
        }
    }

    /// How many are taken up, and how many wait.
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.held.len(), self.waiting.len())
    }

    /// Engines that the decision module hears of, and the zones of those that take work.
    pub(super) fn subset_sizes(&self) -> (usize, usize) {
        (
            self.told.as_ref().map_or(self.held.len(), BTreeMap::len),
            self.subset.zones(),
        )
    }

    /// The mean number of managers that hold an engine, where the module hears of a subset.
    pub(super) fn holders(&self) -> Option<f64> {
        let entry = self.told.as_ref()?.values().next()?;
        entry.sharing.map(|holders| holders.mean_managers)
    }

    /// How many entries it holds in all.
    pub(super) fn entries(&self) -> usize {
        self.held.len() + self.waiting.len() + self.at.len()
    }

    /// Whether an engine may get attempts.
    pub(super) fn ready(&self, engine: EngineId) -> bool {
        self.held
            .get(&engine)
            .is_some_and(|line| line.entry.state == EngineState::Ready)
    }

    /// The zone and cell of one that is taken up.
    pub(super) fn group(&self, engine: EngineId) -> Option<(u8, u16)> {
        self.held
            .get(&engine)
            .map(|line| (line.entry.zone, line.entry.cell))
    }

    /// Whether the list names it, ready or not, taken up or not.
    pub(super) fn named(&self, engine: EngineId) -> bool {
        self.held.contains_key(&engine) || self.waiting.contains_key(&engine)
    }

    /// Takes an event of the list in.
    pub(super) fn take(&mut self, event: &EndpointListEvent) -> Step {
        let mut step = self.take_up(event);
        let touched: Vec<EngineId> = step.lines.iter().map(|line| line.entry.engine).collect();
        for id in step.dropped.iter().chain(&touched) {
            let ready = self
                .held
                .get(id)
                .filter(|line| line.entry.state == EngineState::Ready);
            self.subset.set(*id, ready.map(|line| line.entry.zone));
        }
        let entries = step.lines.iter().map(|line| line.entry.clone()).collect();
        step.news = self.news(event.kind, entries);
        step
    }

    /// Takes new settings; what the module is to be told, if they change the subset.
    pub(super) fn set_membership(&mut self, membership: Membership) -> Option<News> {
        let changed = self.subset.set_membership(membership);
        changed.then(|| self.news(ListUpdateKind::Delta, Vec::new()))
    }

    /// An engine was given back by hand, so it counts as started then, whatever the list says. Where the module hears
    /// of it, it knows; else it is told with the engine.
    pub(super) fn given_back(&mut self, engine: EngineId, at: Millis) {
        let unheard = self
            .told
            .as_ref()
            .is_some_and(|told| !told.contains_key(&engine));
        if let Some(line) = self.held.get_mut(&engine).filter(|_| unheard) {
            line.entry.started_at_ms = line.entry.started_at_ms.max(at);
        }
    }

    /// What the module is told: of the whole list its `changes`, of a subset how it differs from what was told.
    fn news(&mut self, kind: ListUpdateKind, changes: Vec<EngineEntry>) -> News {
        let members = self.subset.members();
        let before = self.told.take();
        let lost = before.as_ref().is_some_and(|told| {
            !told.is_empty() && !told.keys().any(|engine| self.subset.is_ready(*engine))
        });
        let whole = |kind, entries| News {
            kind,
            entries,
            joined: 0,
            left: 0,
            lost,
        };
        match (members, before) {
            (None, None) => whole(kind, changes),
            (None, Some(_)) => whole(
                ListUpdateKind::Full,
                self.held.values().map(|line| line.entry.clone()).collect(),
            ),
            (Some(members), before) => {
                let told = self.member_entries(&members);
                let news = difference(before.as_ref(), &told);
                self.told = Some(told);
                News { lost, ..news }
            }
        }
    }

    fn member_entries(&self, members: &Members) -> BTreeMap<EngineId, EngineEntry> {
        let entry = |(engine, holders): (&EngineId, &EngineSharing)| {
            let line = self.held.get(engine)?;
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

    fn take_up(&mut self, event: &EndpointListEvent) -> Step {
        let mut step = Step::default();
        let mut last = HashMap::new();
        for (i, line) in event.records.iter().enumerate() {
            step.repeated += usize::from(last.insert(line.entry.engine, i).is_some());
        }
        if event.kind == ListUpdateKind::Full {
            // Guard: an engine that a whole list leaves out is gone for good; nothing of it stays. One that it names in
            // a record that cannot be used is not left out, and stays as it was.
            let named =
                |id: &EngineId| last.contains_key(id) || event.unusable_engines.contains(id);
            self.waiting.retain(|id, _| named(id));
            step.dropped = self.held.keys().copied().filter(|id| !named(id)).collect();
            step.cut = step.dropped.len() > self.held.len() / 2;
            step.dropped.iter().for_each(|id| self.leave(*id));
            let stays = event
                .unusable_engines
                .iter()
                .filter(|id| !last.contains_key(id));
            step.lines
                .extend(stays.filter_map(|id| self.held.get(id)).cloned());
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
            if self.held.contains_key(&id) {
                self.leave(id);
                step.lines.push(line.clone());
            } else if !waited {
                step.unknown += 1;
            }
        }
        for line in others {
            let id = line.entry.engine;
            if !self.held.contains_key(&id) && self.held.len() >= self.places {
                let room = self.waiting.len() < self.places || self.waiting.contains_key(&id);
                let waited = room && self.waiting.insert(id, line.clone()).is_some();
                step.passed.extend((!waited).then_some(id));
                continue;
            }
            self.waiting.remove(&id);
            self.enter(line.clone(), &mut step);
        }
        self.fill(&mut step);
        step
    }

    /// Takes up who waits, as far as there are places.
    fn fill(&mut self, step: &mut Step) {
        while self.held.len() < self.places && !self.waiting.is_empty() {
            let ready = self
                .waiting
                .iter()
                .find(|(_, l)| l.entry.state == EngineState::Ready);
            let next = ready.or(self.waiting.iter().next()).map(|(id, _)| *id);
            let Some(line) = next.and_then(|id| self.waiting.remove(&id)) else {
                return;
            };
            self.enter(line, step);
        }
    }

    /// Guard: one address is one process, so whoever started there last has taken the place of the other. The list may
    /// tell that later; until then the earlier one takes nothing new, as its attempts would reach the newcomer, which
    /// is cold.
    fn enter(&mut self, mut line: EngineRecord, step: &mut Step) {
        let (id, address) = (line.entry.engine, line.address);
        self.leave(id);
        if line.entry.state == EngineState::Ready {
            let other = self
                .at
                .get(&address)
                .and_then(|other| self.held.get_mut(other));
            step.shared += usize::from(other.is_some());
            match other {
                Some(other) if other.entry.started_at_ms > line.entry.started_at_ms => {
                    line.entry.state = EngineState::Draining;
                }
                Some(other) => {
                    if other.entry.state == EngineState::Ready {
                        other.entry.state = EngineState::Draining;
                        step.lines.push(other.clone());
                    }
                    self.at.insert(address, id);
                }
                None => drop(self.at.insert(address, id)),
            }
        }
        self.held.insert(id, line.clone());
        step.lines.push(line);
    }

    fn leave(&mut self, id: EngineId) {
        let address = self.held.remove(&id).map(|line| line.address);
        if let Some(address) = address.filter(|at| self.at.get(at) == Some(&id)) {
            self.at.remove(&address);
        }
    }
}

impl Default for News {
    fn default() -> News {
        News {
            kind: ListUpdateKind::Delta,
            entries: Vec::new(),
            joined: 0,
            left: 0,
            lost: false,
        }
    }
}

/// What the module is told where it hears of a subset. Engines that leave it are told gone: the module sends them
/// nothing more, and keeps them until what runs there is over. A module that heard of the whole list hears of the
/// subset as of a new whole list.
fn difference(
    before: Option<&BTreeMap<EngineId, EngineEntry>>,
    told: &BTreeMap<EngineId, EngineEntry>,
) -> News {
    let Some(before) = before else {
        let entries: Vec<EngineEntry> = told.values().cloned().collect();
        return News {
            kind: ListUpdateKind::Full,
            joined: entries.len(),
            entries,
            ..News::default()
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
    News {
        kind: ListUpdateKind::Delta,
        entries,
        joined,
        left,
        lost: false,
    }
}

#[cfg(test)]
mod tests;
