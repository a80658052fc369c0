//! Bounded deterministic engine subsets: which engines of a long endpoint list this workload manager decides among, and
//! how many managers share each of them.
//!
//! Sans-I/O, and computed from the settings and the list alone, so that it is the same after a restart and needs no
//! message between managers. The core's roster owns a [`Subset`] and passes its members to the dispatcher. The design is
//! in `docs/subsets.md`.

mod ring;

use crate::decision::{EngineId, EngineSharing, Settings, mix};
use ring::{RING_POSITIONS, engine_position, manager_position, managers_on_arc};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The longest arc that a manager takes on a ring, against the subset's part of the list. It bounds the managers of an
/// engine.
const MAX_ARC_RATIO: f64 = 1.05;

/// The shortest arc, against the same. It leaves no engine without a manager.
const MIN_ARC_RATIO: f64 = 0.5;

/// A subset is no smaller than so many times a manager's share of the list: the shortest arc, half of that, still spans
/// two managers, and neighbours on a ring are closer than that.
const MIN_SHARES_PER_SUBSET: usize = 4;

/// With less of its size on its arcs than this part, a manager takes engines beyond the longest arc: most engines on it
/// were removed at once.
const MIN_FILLED_FRACTION: f64 = 0.25;

/// The number by which the managers on an arc exceed its share of all managers, at most.
const MAX_EXCESS_MANAGERS_ON_ARC: f64 = 4.0;

/// Margin of the bound on an engine's managers, for managers whose lists differ and for duplicate ordinals.
const MANAGER_BOUND_MARGIN: f64 = 1.125;

/// Up to so many times the longest list that is taken complete, the bound on an engine's managers is doubled: managers
/// that still have that list complete take turns in another order.
const NEARLY_COMPLETE_RATIO: f64 = 1.25;

/// Steps to a doubling to which the mean number of managers is rounded, so that not every change of the list changes it.
const MEAN_STEPS_PER_DOUBLING: f64 = 16.0;

/// A manager's place in its fleet, as its settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Number of managers in the fleet.
    pub instances: u32,
    /// This one's place among them, from 0.
    pub ordinal: u32,
}

impl From<&Settings> for Membership {
    fn from(settings: &Settings) -> Membership {
        Membership {
            instances: settings.instances,
            ordinal: settings.ordinal,
        }
    }
}

impl Membership {
    /// Whether the settings contradict themselves. Such a manager has a position like any other, and its engines have
    /// one manager more than the others count with.
    pub fn is_out_of_range(&self) -> bool {
        self.ordinal >= self.instances
    }

    /// This manager's position on every ring.
    fn position(&self) -> u32 {
        manager_position(self.ordinal)
    }
}

/// The engines of a subset, where the list is too long to be taken complete.
pub type SubsetEngines = BTreeMap<EngineId, EngineSharing>;

/// The engines that take work, and the subset of them that one manager has.
#[derive(Clone, Debug)]
pub struct Subset {
    /// A list with no more engines that take work is taken complete.
    max_complete_list: usize,
    membership: Membership,
    /// The engines by zone, in the order of their positions.
    rings: BTreeMap<u8, BTreeSet<(u32, EngineId)>>,
    zone_by_engine: HashMap<EngineId, u8>,
    /// This manager's rank among the managers of each engine of the last subset. Changes of the list do not change it.
    ranks: BTreeMap<EngineId, u32>,
}

/// The arcs of one list, in positions.
struct Arcs {
    /// Engines of the subset as a part of those of the list.
    subset_fraction: f64,
    shortest: f64,
    longest: f64,
}

/// How many managers share an engine of a subset.
struct ManagersPerEngine {
    mean: f64,
    /// The most that any engine has.
    max: u32,
}

impl Subset {
    /// A subset of no engines yet. Lists of up to `max_complete_list` engines that take work are taken complete.
    pub fn new(max_complete_list: usize, membership: Membership) -> Subset {
        Subset {
            max_complete_list,
            membership,
            rings: BTreeMap::new(),
            zone_by_engine: HashMap::new(),
            ranks: BTreeMap::new(),
        }
    }

    /// Takes new settings; false where they change nothing for the subset.
    pub fn set_membership(&mut self, membership: Membership) -> bool {
        self.ranks.clear();
        std::mem::replace(&mut self.membership, membership) != membership
    }

    /// Records that an engine takes work in this zone, or that it takes none.
    pub fn set_ready_zone(&mut self, engine: EngineId, zone: Option<u8>) {
        let previous_zone = match zone {
            Some(zone) => self.zone_by_engine.insert(engine, zone),
            None => self.zone_by_engine.remove(&engine),
        };
        if previous_zone == zone {
            return;
        }
        let entry = (engine_position(engine), engine);
        if let Some(ring) = previous_zone.and_then(|zone| self.rings.get_mut(&zone)) {
            ring.remove(&entry);
        }
        if let Some(zone) = zone {
            self.rings.entry(zone).or_default().insert(entry);
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    /// Number of engines that take work.
    pub fn ready_engines(&self) -> usize {
        self.zone_by_engine.len()
    }

    /// Whether this engine takes work.
    pub fn is_ready(&self, engine: EngineId) -> bool {
        self.zone_by_engine.contains_key(&engine)
    }

    /// Number of zones in which engines take work.
    pub fn ready_zones(&self) -> usize {
        self.rings.len()
    }

    /// How many engines the subset should have: capacity for this manager's share with headroom, and otherwise no more
    /// than the cost of a decision allows.
    pub fn target_size(&self) -> usize {
        let min_size = (MIN_SHARES_PER_SUBSET * self.ready_engines())
            .div_ceil(self.membership.instances.max(1) as usize);
        self.ready_engines()
            .min(self.max_complete_list.max(min_size))
    }

    /// The engines of the subset, each with what is known of its managers; `None` where the list is taken complete.
    pub fn engines(&mut self) -> Option<SubsetEngines> {
        if self.target_size() >= self.ready_engines() {
            self.ranks.clear();
            return None;
        }
        let mut engines = self.engines_on(&self.arcs());
        if (engines.len() as f64) < MIN_FILLED_FRACTION * self.target_size() as f64 {
            engines = self.engines_on(&Arcs {
                longest: f64::INFINITY,
                ..self.arcs()
            });
        }
        let managers = self.managers_per_engine(engines.len());
        let ranks: BTreeMap<EngineId, u32> = engines
            .into_iter()
            .map(|engine| (engine, self.rank(engine)))
            .collect();
        let sharing = |(engine, rank): (&EngineId, &u32)| {
            let sharing = EngineSharing {
                mean_managers: managers.mean,
                max_managers: managers.max,
                rank: *rank,
            };
            (*engine, sharing)
        };
        let members = ranks.iter().map(sharing).collect();
        self.ranks = ranks;
        Some(members)
    }

    fn arcs(&self) -> Arcs {
        let subset_fraction = self.target_size() as f64 / self.ready_engines().max(1) as f64;
        let arc = subset_fraction * RING_POSITIONS as f64;
        Arcs {
            subset_fraction,
            shortest: MIN_ARC_RATIO * arc,
            longest: MAX_ARC_RATIO * arc,
        }
    }

    /// The next engines of every ring: as many as its part of the list allows, but all on the shortest arc and none
    /// beyond the longest.
    fn engines_on(&self, arcs: &Arcs) -> Vec<EngineId> {
        let own_position = self.membership.position();
        let start = (own_position, EngineId::default());
        let mut engines = Vec::new();
        for (zone, ring) in &self.rings {
            let count = round_by_hash(
                arcs.subset_fraction * ring.len() as f64,
                self.membership.ordinal,
                *zone,
            );
            let clockwise = ring.range(start..).chain(ring.range(..start));
            let engines_on_arc = clockwise.enumerate().take_while(|(index, (position, _))| {
                let distance = f64::from(position.wrapping_sub(own_position));
                distance < arcs.longest && (*index < count || distance < arcs.shortest)
            });
            engines.extend(engines_on_arc.map(|(_, (_, engine))| *engine));
        }
        engines
    }

    /// The managers that share an engine, where this manager's subset has so many engines. The bound holds while lists
    /// differ. It is a power of two, so that turns by one bound are among the turns by any smaller one.
    fn managers_per_engine(&self, subset_engines: usize) -> ManagersPerEngine {
        let instances = f64::from(self.membership.instances);
        let mean = instances * subset_engines as f64 / self.ready_engines().max(1) as f64;
        let mean = ((mean.max(1.0).log2() * MEAN_STEPS_PER_DOUBLING).round()
            / MEAN_STEPS_PER_DOUBLING)
            .exp2();
        let managers_on_longest_arc = instances * self.arcs().subset_fraction * MAX_ARC_RATIO;
        let longest_nearly_complete = NEARLY_COMPLETE_RATIO * self.max_complete_list as f64;
        let is_nearly_complete = self.ready_engines() as f64 <= longest_nearly_complete;
        let factor = if is_nearly_complete { 2.0 } else { 1.0 };
        let max = (managers_on_longest_arc * MANAGER_BOUND_MARGIN + MAX_EXCESS_MANAGERS_ON_ARC)
            .ceil()
            * factor;
        let max = (max as u32).checked_next_power_of_two().unwrap_or(1 << 31);
        ManagersPerEngine { mean, max }
    }

    /// How many managers stand between this one and the engine.
    fn rank(&self, engine: EngineId) -> u32 {
        if let Some(rank) = self.ranks.get(&engine) {
            return *rank;
        }
        let position = engine_position(engine);
        let distance = position.wrapping_sub(self.membership.position());
        managers_on_arc(self.membership.instances, position, distance)
    }
}

/// A number of engines rounded up or down by a hash: the mean over all managers is as given.
fn round_by_hash(count: f64, ordinal: u32, zone: u8) -> usize {
    let hash = mix(mix(u64::from(ordinal)) ^ u64::from(zone)) >> 32;
    (count + hash as f64 / RING_POSITIONS as f64).floor() as usize
}

#[cfg(test)]
mod tests;
