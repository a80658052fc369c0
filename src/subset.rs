//! Bounded deterministic engine subsets: which engines of a long list this workload manager decides among, and how
//! many managers hold each of them. Sans-I/O, and computed from the settings and the list alone, so that it is the
//! same after a restart and needs no message between managers. The design is in `docs/subsets.md`.

use crate::decision::mix;
use crate::decision::{EngineId, EngineSharing, Settings};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Positions on a ring.
const RING: u64 = 1 << 32;
/// The golden ratio of the ring: the multiples of it are spread evenly, however many there are.
const GOLDEN: u32 = 0x9E37_79B9;
/// The longest and shortest arc that a manager takes on a ring, against the subset's part of the list. The longest
/// bounds the managers of an engine, the shortest leaves no engine without one.
const LONGEST_ARC: f64 = 1.05;
const SHORTEST_ARC: f64 = 0.5;
/// A subset is no smaller than so many times a manager's share of the list: half of its arc, the shortest one, still
/// spans two managers, and neighbours on a ring lie less than that apart.
const SHARE_HEADROOM: usize = 4;
/// With less of its size on its arcs than this, a manager takes the next engines beyond the longest one: most engines
/// there went at once.
const FEWEST: f64 = 0.25;
/// What the managers on an arc may exceed its share of all by, at most.
const ARC_EXCESS: f64 = 4.0;
/// Margin of the bound on an engine's holders, for managers whose lists differ and for duplicate ordinals.
const VIEW_MARGIN: f64 = 1.125;
/// Up to so many times the longest list that is taken whole, the bound on holders is doubled: managers that still
/// hold that list whole take turns in another order.
const NEARLY_WHOLE: f64 = 1.25;
/// Steps to a doubling in which the mean number of holders is told, so that not every change of the list changes it.
const MEAN_STEPS: f64 = 16.0;

/// A manager's place in its fleet, as its settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Managers of the fleet.
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
    /// Whether the settings contradict themselves. Such a manager has a position like any other, and is one more
    /// holder than the others reckon with.
    pub fn out_of_range(&self) -> bool {
        self.ordinal >= self.instances
    }

    /// This manager's position on every ring.
    fn position(&self) -> u32 {
        self.ordinal.wrapping_mul(GOLDEN)
    }
}

/// The engines that are held, where the list is too long to be held whole.
pub type Members = BTreeMap<EngineId, EngineSharing>;

/// The engines that take work, in the order in which managers meet them.
#[derive(Clone, Debug)]
pub struct Subset {
    /// A list with no more engines that take work is taken whole.
    most_whole: usize,
    membership: Membership,
    /// By zone, in the order of their positions.
    rings: BTreeMap<u8, BTreeSet<(u32, EngineId)>>,
    zones: HashMap<EngineId, u8>,
    /// Places among the holders of the engines held last: the list does not change them.
    places: BTreeMap<EngineId, u32>,
}

/// The arcs of one list, in positions.
struct Arcs {
    /// Engines of the subset against those of the list.
    share: f64,
    shortest: f64,
    longest: f64,
}

impl Subset {
    /// Of no engines yet; lists of up to `most_whole` engines that take work are taken whole.
    pub fn new(most_whole: usize, membership: Membership) -> Subset {
        Subset {
            most_whole,
            membership,
            rings: BTreeMap::new(),
            zones: HashMap::new(),
            places: BTreeMap::new(),
        }
    }

    /// Takes new settings; false where they change nothing here.
    pub fn set_membership(&mut self, membership: Membership) -> bool {
        self.places.clear();
        std::mem::replace(&mut self.membership, membership) != membership
    }

    /// An engine takes work in this zone, or none anywhere.
    pub fn set(&mut self, engine: EngineId, zone: Option<u8>) {
        let before = match zone {
            Some(zone) => self.zones.insert(engine, zone),
            None => self.zones.remove(&engine),
        };
        if before == zone {
            return;
        }
        let entry = (position(engine), engine);
        if let Some(ring) = before.and_then(|zone| self.rings.get_mut(&zone)) {
            ring.remove(&entry);
        }
        if let Some(zone) = zone {
            self.rings.entry(zone).or_default().insert(entry);
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    /// Engines that take work.
    pub fn ready(&self) -> usize {
        self.zones.len()
    }

    /// Whether this engine takes work.
    pub fn is_ready(&self, engine: EngineId) -> bool {
        self.zones.contains_key(&engine)
    }

    /// Zones in which engines take work.
    pub fn zones(&self) -> usize {
        self.rings.len()
    }

    /// How many engines are to be held: capacity for this manager's share with head-room, and no more than the cost of
    /// a decision allows, but for that share.
    pub fn size(&self) -> usize {
        let share =
            (SHARE_HEADROOM * self.ready()).div_ceil(self.membership.instances.max(1) as usize);
        self.ready().min(self.most_whole.max(share))
    }

    /// The engines held, with their holders; none where the list is taken whole.
    pub fn members(&mut self) -> Option<Members> {
        if self.size() >= self.ready() {
            self.places.clear();
            return None;
        }
        let mut held = self.walk(self.arcs());
        if (held.len() as f64) < FEWEST * self.size() as f64 {
            held = self.walk(Arcs {
                longest: f64::INFINITY,
                ..self.arcs()
            });
        }
        let (mean, most) = self.holders(held.len());
        let places: BTreeMap<EngineId, u32> = held
            .into_iter()
            .map(|engine| (engine, self.place(engine)))
            .collect();
        let member = |(engine, place): (&EngineId, &u32)| {
            (
                *engine,
                EngineSharing {
                    mean_managers: mean,
                    max_managers: most,
                    rank: *place,
                },
            )
        };
        let members = places.iter().map(member).collect();
        self.places = places;
        Some(members)
    }

    fn arcs(&self) -> Arcs {
        let share = self.size() as f64 / self.ready().max(1) as f64;
        let arc = share * RING as f64;
        Arcs {
            share,
            shortest: SHORTEST_ARC * arc,
            longest: LONGEST_ARC * arc,
        }
    }

    /// The next engines of every ring: as many as its part of the list allows, but all on the shortest arc and none
    /// beyond the longest.
    fn walk(&self, arcs: Arcs) -> Vec<EngineId> {
        let from = self.membership.position();
        let start = (from, EngineId::default());
        let mut held = Vec::new();
        for (zone, ring) in &self.rings {
            let number = rounded(
                arcs.share * ring.len() as f64,
                self.membership.ordinal,
                *zone,
            );
            let clockwise = ring.range(start..).chain(ring.range(..start));
            let taken = clockwise.enumerate().take_while(|(i, (position, _))| {
                let distance = f64::from(position.wrapping_sub(from));
                distance < arcs.longest && (*i < number || distance < arcs.shortest)
            });
            held.extend(taken.map(|(_, (_, engine))| *engine));
        }
        held
    }

    /// The mean number of managers that hold an engine of the list, and a bound that holds while lists differ. The
    /// bound is a power of two, so that turns by one bound are among the turns by any smaller one.
    fn holders(&self, held: usize) -> (f64, u32) {
        let instances = f64::from(self.membership.instances);
        let mean = instances * held as f64 / self.ready().max(1) as f64;
        let mean = ((mean.max(1.0).log2() * MEAN_STEPS).round() / MEAN_STEPS).exp2();
        let on_arc = instances * self.arcs().share * LONGEST_ARC;
        let nearly_whole = self.ready() as f64 <= NEARLY_WHOLE * self.most_whole as f64;
        let most =
            (on_arc * VIEW_MARGIN + ARC_EXCESS).ceil() * if nearly_whole { 2.0 } else { 1.0 };
        let most = (most as u32).checked_next_power_of_two().unwrap_or(1 << 31);
        (mean, most)
    }

    /// How many managers stand between this one and the engine.
    fn place(&self, engine: EngineId) -> u32 {
        if let Some(place) = self.places.get(&engine) {
            return *place;
        }
        let at = position(engine);
        let distance = at.wrapping_sub(self.membership.position());
        managers_on_arc(self.membership.instances, at, distance)
    }
}

/// An engine's position on the ring of its zone.
fn position(engine: EngineId) -> u32 {
    let EngineId { addr, port } = engine;
    mix(u64::from(u32::from_be_bytes(addr)) | u64::from(port) << 32) as u32
}

/// A number of engines rounded up or down: over all managers the mean is as given.
fn rounded(number: f64, ordinal: u32, zone: u8) -> usize {
    let hash = mix(mix(u64::from(ordinal)) ^ u64::from(zone)) >> 32;
    (number + hash as f64 / RING as f64).floor() as usize
}

/// How many of the first `managers` ordinals stand less than `length` before `end`.
fn managers_on_arc(managers: u32, end: u32, length: u32) -> u32 {
    // Ordinal j stands end - j * GOLDEN before `end`, all modulo the ring. Of a sum a number is below `length` where
    // its quotient differs from that of the number less `length`.
    let step = u64::from(GOLDEN.wrapping_neg());
    let all = quotients(managers, step, u64::from(end));
    let less = quotients(managers, step, u64::from(end) + RING - u64::from(length));
    (u128::from(managers) + all - less) as u32
}

/// The sum over i below `n` of (a * i + b) / RING, rounded down each, in as many steps as Euclid's algorithm has.
fn quotients(n: u32, a: u64, b: u64) -> u128 {
    let (mut n, mut modulus) = (u128::from(n), u128::from(RING));
    let (mut a, mut b) = (u128::from(a), u128::from(b));
    let mut sum = 0;
    while n > 0 {
        sum += n * (n - 1) / 2 * (a / modulus) + n * (b / modulus);
        (a, b) = (a % modulus, b % modulus);
        let last = a * n + b;
        (n, b) = (last / modulus, last % modulus);
        (modulus, a) = (a, modulus);
    }
    sum
}

#[cfg(test)]
mod tests;
