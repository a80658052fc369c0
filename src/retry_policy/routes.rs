//! Which keys hold for a request: the default's, its class's, and those of the routes that match it, the narrower over
//! the broader. An index of cells answers in a time that does not grow with the number of routes.

use super::attempt_policy::AttemptPolicy;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// Cells that all routes together may take.
const CELLS: usize = 1 << 18;

/// The front over which a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FrontendKind {
    /// The platform's MessagePack-RPC.
    Platform,
    /// Arrow Flight SQL.
    Flight,
}

impl FrontendKind {
    /// All front ends, with their names in the operators' file.
    pub const NAMES: [(&'static str, FrontendKind); 2] = [
        ("platform", FrontendKind::Platform),
        ("flight", FrontendKind::Flight),
    ];
}

/// What a request is, as far as routes ask. Classes and members by their positions in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestAttributes {
    /// Its class.
    pub class: usize,
    /// Its member.
    pub member: usize,
    /// Its front.
    pub frontend: FrontendKind,
    /// Its data set.
    pub data_set: u32,
}

/// What a route matches. A set that is left out matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// Classes.
    pub class: Option<BTreeSet<usize>>,
    /// Members.
    pub member: Option<BTreeSet<usize>>,
    /// Fronts.
    pub frontend: Option<BTreeSet<FrontendKind>>,
    /// Data sets.
    pub data_set: Option<BTreeSet<u32>>,
}

fn within<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(a), Some(b)) => a.is_subset(b),
    }
}

fn meets<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => !a.is_disjoint(b),
        _ => true,
    }
}

impl RouteMatch {
    /// Whether all that it matches is matched by `other`.
    pub fn is_within(&self, other: &RouteMatch) -> bool {
        within(&self.class, &other.class)
            && within(&self.member, &other.member)
            && within(&self.frontend, &other.frontend)
            && within(&self.data_set, &other.data_set)
    }

    /// Whether a request may match both.
    pub fn overlaps(&self, other: &RouteMatch) -> bool {
        meets(&self.class, &other.class)
            && meets(&self.member, &other.member)
            && meets(&self.frontend, &other.frontend)
            && meets(&self.data_set, &other.data_set)
    }

    /// Whether nothing can match it.
    pub fn is_empty(&self) -> bool {
        self.combinations() == 0
    }

    /// Whether it matches a request.
    pub fn matches(&self, at: &RequestAttributes) -> bool {
        fn has<T: Ord>(set: &Option<BTreeSet<T>>, value: &T) -> bool {
            set.as_ref().is_none_or(|all| all.contains(value))
        }
        has(&self.class, &at.class)
            && has(&self.member, &at.member)
            && has(&self.frontend, &at.frontend)
            && has(&self.data_set, &at.data_set)
    }

    /// Which matchers it names, as bits: class 1, member 2, front 4, data set 8.
    pub fn pattern(&self) -> u8 {
        let bits = [
            self.class.is_some(),
            self.member.is_some(),
            self.frontend.is_some(),
            self.data_set.is_some(),
        ];
        bits.iter()
            .enumerate()
            .fold(0u8, |all, (i, set)| all | u8::from(*set) << i)
    }

    /// How many combinations of values it names: the broader, the more.
    pub fn size(&self) -> usize {
        self.combinations()
    }

    /// Combinations of the values that it names.
    fn combinations(&self) -> usize {
        let all = [
            self.class.as_ref().map(BTreeSet::len),
            self.member.as_ref().map(BTreeSet::len),
            self.frontend.as_ref().map(BTreeSet::len),
            self.data_set.as_ref().map(BTreeSet::len),
        ];
        all.into_iter().flatten().fold(1, usize::saturating_mul)
    }
}

/// A route of the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it matches.
    pub matches: RouteMatch,
    /// What it sets.
    pub policy: AttemptPolicy,
}

/// Why routes cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// Nothing can match it.
    Empty(String),
    /// Both match some request, neither lies within the other, and they disagree on these keys.
    Disagree(String, String, Vec<&'static str>),
    /// The routes together name more combinations than the index takes.
    TooMany(usize),
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouteError::Empty(name) => write!(
                f,
                "route {name:?} can match no request; name what it is to match"
            ),
            RouteError::Disagree(a, b, keys) => write!(
                f,
                "routes {a:?} and {b:?} match the same requests and disagree on {}; let one lie within the other",
                keys.join(", ")
            ),
            RouteError::TooMany(cells) => {
                write!(
                    f,
                    "routes name {cells} combinations of matchers, more than {CELLS}; leave some out"
                )
            }
        }
    }
}

/// A cell: the values of a request, and none where a route leaves the matcher out.
type Cell = (
    Option<usize>,
    Option<usize>,
    Option<FrontendKind>,
    Option<u32>,
);

fn cell(at: &RequestAttributes, pattern: u8) -> Cell {
    let has = |bit: u8| pattern & bit != 0;
    (
        has(1).then_some(at.class),
        has(2).then_some(at.member),
        has(4).then_some(at.frontend),
        has(8).then_some(at.data_set),
    )
}

fn each<T: Copy>(set: &Option<BTreeSet<T>>) -> Vec<Option<T>> {
    set.as_ref()
        .map_or(vec![None], |all| all.iter().copied().map(Some).collect())
}

/// All reasons why these routes cannot be used together.
fn route_errors(routes: &[Route]) -> Vec<RouteError> {
    let mut faults: Vec<RouteError> = routes
        .iter()
        .filter(|r| r.matches.is_empty())
        .map(|r| RouteError::Empty(r.name.clone()))
        .collect();
    for (i, a) in routes.iter().enumerate() {
        for b in routes[i + 1..]
            .iter()
            .filter(|b| a.matches.overlaps(&b.matches))
        {
            // Two that match the same lie within each other, and neither is the narrower.
            let (inner, outer) = (
                a.matches.is_within(&b.matches),
                b.matches.is_within(&a.matches),
            );
            let keys = if inner == outer {
                a.policy.conflicting_keys(&b.policy)
            } else {
                Vec::new()
            };
            if !keys.is_empty() {
                faults.push(RouteError::Disagree(a.name.clone(), b.name.clone(), keys));
            }
        }
    }
    let cells = routes
        .iter()
        .map(|r| r.matches.combinations())
        .fold(0, usize::saturating_add);
    if cells > CELLS {
        faults.push(RouteError::TooMany(cells));
    }
    faults
}

/// All keys, ready to be looked up.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// By class: the default's keys with the class's over them.
    classes: Vec<AttemptPolicy>,
    cells: HashMap<Cell, AttemptPolicy>,
    /// The patterns that some route has, from fewest values to most.
    patterns: Vec<u8>,
}

impl Routes {
    /// An index over these tables; `classes` by position, none where the file has no table for one. All faults at once.
    pub fn new(
        default: &AttemptPolicy,
        classes: &[Option<AttemptPolicy>],
        routes: &[Route],
    ) -> Result<Routes, Vec<RouteError>> {
        let faults = route_errors(routes);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut index = Routes::default();
        for class in classes {
            let mut keys = default.clone();
            class.iter().for_each(|over| keys.override_with(over));
            index.classes.push(keys);
        }
        // The broader first, so that the narrower of one cell is laid over it: of two routes that name values of the same
        // matchers, the one within the other names fewer combinations.
        let mut order: Vec<&Route> = routes.iter().collect();
        order.sort_by_key(|route| Reverse(route.matches.combinations()));
        let mut patterns = BTreeSet::new();
        for route in order {
            let m = &route.matches;
            let pattern = m.pattern();
            patterns.insert((pattern.count_ones(), pattern));
            for class in each(&m.class) {
                for member in each(&m.member) {
                    for front in each(&m.frontend) {
                        for data_set in each(&m.data_set) {
                            index
                                .cells
                                .entry((class, member, front, data_set))
                                .or_default()
                                .override_with(&route.policy);
                        }
                    }
                }
            }
        }
        index.patterns = patterns.into_iter().map(|(_, pattern)| pattern).collect();
        Ok(index)
    }

    /// The keys that hold for a request.
    pub fn resolve(&self, at: &RequestAttributes) -> AttemptPolicy {
        let mut keys = self.classes.get(at.class).cloned().unwrap_or_default();
        for pattern in &self.patterns {
            if let Some(over) = self.cells.get(&cell(at, *pattern)) {
                keys.override_with(over);
            }
        }
        keys
    }
}
