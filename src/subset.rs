//! Bounded deterministic engine subsets: which engines of a long endpoint list this workload
//! manager selects from, and how many managers share each of them.
//!
//! Every zone has a ring of positions. Engines and managers have fixed positions on it, and a
//! manager uses the engines on an arc that starts at its own position.
//!
//! Sans-I/O. A subset is computed from the settings and the list alone, so it is the same after a
//! restart, and managers exchange no messages about it. The core's roster owns a [`Subset`] and
//! passes its engines to the dispatcher. The design is in `docs/subsets.md`.

mod ring;

use crate::decision::{EngineId, EngineSharing, Settings, mix};
use ring::{RING_POSITIONS, engine_position, manager_position, managers_on_arc};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Longest arc of a manager, relative to the ring's length times the subset's fraction of the list.
/// It bounds the number of managers of an engine.
const MAX_ARC_RATIO: f64 = 1.05;

/// Shortest arc of a manager, relative to the same length. It ensures that each engine has a
/// manager.
const MIN_ARC_RATIO: f64 = 0.5;

/// Smallest size of a subset, as a multiple of the list's size over the number of managers. At this
/// size the shortest arc still spans two managers' shares, and neighbouring managers on a ring are
/// closer together than that.
const MIN_SHARES_PER_SUBSET: usize = 4;

/// Smallest fraction of the target size that a manager's arcs must contain. If they contain
/// fewer engines, because most engines on them were removed at once, the manager also uses engines
/// beyond the longest arc.
const MIN_FILLED_FRACTION: f64 = 0.25;

/// Largest number of managers on an arc beyond the arc's share of all managers.
const MAX_EXCESS_MANAGERS_ON_ARC: f64 = 4.0;

/// Factor on the bound on an engine's managers. It allows for managers whose lists differ and for
/// duplicate ordinals.
const MANAGER_BOUND_MARGIN: f64 = 1.125;

/// Length of a list, relative to the longest list of which all engines are used, up to which the
/// bound on an engine's managers is doubled. Some managers may still use all engines, and in slow
/// start they take their turns in another order.
const NEARLY_COMPLETE_RATIO: f64 = 1.25;

/// Number of steps per doubling to which the mean number of managers is rounded, so that not every
/// change of the list changes it.
const MEAN_STEPS_PER_DOUBLING: f64 = 16.0;

/// A manager's position in its fleet, from its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Number of managers in the fleet.
    pub instances: u32,
    /// Number of this manager in the fleet, from 0.
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
    /// Whether the ordinal is not below the number of managers. Such a manager has positions on the
    /// rings like any other, and its engines have one more manager than the other managers count.
    pub fn is_out_of_range(&self) -> bool {
        self.ordinal >= self.instances
    }

    /// Returns this manager's position, which is the same on every ring.
    fn position(&self) -> u32 {
        manager_position(self.ordinal)
    }
}

/// The engines of a subset of a list that is too long to be used completely.
pub type SubsetEngines = BTreeMap<EngineId, EngineSharing>;

/// The ready engines of the list, and the state of one manager from which its subset is computed.
#[derive(Clone, Debug)]
pub struct Subset {
    /// Largest number of ready engines up to which the list is always used completely.
    max_complete_list: usize,
    membership: Membership,
    /// The ready engines of each zone, in the order of their positions.
    rings: BTreeMap<u8, BTreeSet<(u32, EngineId)>>,
    zone_by_engine: HashMap<EngineId, u8>,
    /// This manager's rank among the managers of each engine of the last subset. Changes of the
    /// list do not change it.
    ranks: BTreeMap<EngineId, u32>,
}

/// The lengths of a manager's arcs for one list, in positions of the ring.
struct Arcs {
    /// Target size of the subset over the number of ready engines, from 0 to 1.
    subset_fraction: f64,
    shortest: f64,
    longest: f64,
}

/// The number of managers that share an engine of a subset.
struct ManagersPerEngine {
    mean: f64,
    /// Bound on the number of managers of any engine.
    max: u32,
}

impl Subset {
    /// Creates a subset of an empty list. Lists of up to `max_complete_list` ready engines are used
    /// completely.
    pub fn new(max_complete_list: usize, membership: Membership) -> Subset {
        Subset {
            max_complete_list,
            membership,
            rings: BTreeMap::new(),
            zone_by_engine: HashMap::new(),
            ranks: BTreeMap::new(),
        }
    }

    /// Replaces the membership. Returns false if it is the same as before.
    pub fn set_membership(&mut self, membership: Membership) -> bool {
        self.ranks.clear();
        std::mem::replace(&mut self.membership, membership) != membership
    }

    /// Records that an engine is ready in a zone, or with `None` that it is not ready.
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

    /// Number of ready engines.
    pub fn ready_engines(&self) -> usize {
        self.zone_by_engine.len()
    }

    /// Whether this engine is ready.
    pub fn is_ready(&self, engine: EngineId) -> bool {
        self.zone_by_engine.contains_key(&engine)
    }

    /// Number of zones with ready engines.
    pub fn ready_zones(&self) -> usize {
        self.rings.len()
    }

    /// Number of engines that the subset should have. It is large enough for this manager's share
    /// of the list with headroom, and beyond that is limited by the cost of a decision.
    pub fn target_size(&self) -> usize {
        let min_size = (MIN_SHARES_PER_SUBSET * self.ready_engines())
            .div_ceil(self.membership.instances.max(1) as usize);
        self.ready_engines()
            .min(self.max_complete_list.max(min_size))
    }

    /// Returns the engines of the subset, each with the managers that share it, or `None` if the
    /// list is used completely.
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
        let shared_engines = ranks.iter().map(sharing).collect();
        self.ranks = ranks;
        Some(shared_engines)
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

    /// Returns the engines that follow this manager's position on each ring. The count for a ring
    /// is proportional to the engines on it, but includes all engines on the shortest arc and none
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

    /// Returns the mean number of managers of an engine, and the bound on it, if this manager's
    /// subset has `subset_engines` engines. The bound also holds while the lists of managers
    /// differ. It is a power of two, so that a manager that has its turn in slow start under one
    /// bound also has it under any smaller bound.
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

    /// Returns this manager's rank among the managers of an engine: the number of managers with a
    /// position between this manager's and the engine's.
    fn rank(&self, engine: EngineId) -> u32 {
        if let Some(rank) = self.ranks.get(&engine) {
            return *rank;
        }
        let position = engine_position(engine);
        let distance = position.wrapping_sub(self.membership.position());
        managers_on_arc(self.membership.instances, position, distance)
    }
}

/// Rounds a number of engines up or down by a hash of the ordinal and the zone, so that the mean
/// over all managers is `count`.
fn round_by_hash(count: f64, ordinal: u32, zone: u8) -> usize {
    let hash = mix(mix(u64::from(ordinal)) ^ u64::from(zone)) >> 32;
    (count + hash as f64 / RING_POSITIONS as f64).floor() as usize
}

#[cfg(test)]
mod tests;
