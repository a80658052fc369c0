//! The matchers of a route, and the attributes of a request that they are compared with.

use std::collections::BTreeSet;

/// The front end that received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FrontendKind {
    /// The platform's MessagePack-RPC.
    Platform,
    /// Arrow Flight SQL.
    Flight,
}

impl FrontendKind {
    /// All front ends and their names in the operators' file.
    pub const NAMES: [(&'static str, FrontendKind); 2] = [
        ("platform", FrontendKind::Platform),
        ("flight", FrontendKind::Flight),
    ];
}

/// The attributes of a request that routes can match. Classes and members are given by their
/// positions in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestAttributes {
    /// The class of the request.
    pub class: usize,
    /// The member that sent it.
    pub member: usize,
    /// The front end that received it.
    pub frontend: FrontendKind,
    /// The data set of the request.
    pub data_set: u32,
}

/// The matchers of a route, one for each attribute. A matcher that is `None` matches every value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// The classes that match, by position in the settings.
    pub class: Option<BTreeSet<usize>>,
    /// The members that match, by position in the settings.
    pub member: Option<BTreeSet<usize>>,
    /// The front ends that match.
    pub frontend: Option<BTreeSet<FrontendKind>>,
    /// The data sets that match.
    pub data_set: Option<BTreeSet<u32>>,
}

/// The set of matchers that a route has, regardless of their values.
///
/// The order is the one in which routes apply: sets of fewer matchers come first, so that a more
/// specific route overrides a broader one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MatcherSet {
    /// Number of matchers in the set. The derived order compares it first.
    count: u32,
    /// One bit for each matcher.
    bits: u8,
}

impl MatcherSet {
    const CLASS: u8 = 1 << 0;
    const MEMBER: u8 = 1 << 1;
    const FRONTEND: u8 = 1 << 2;
    const DATA_SET: u8 = 1 << 3;

    fn new(bits: u8) -> MatcherSet {
        MatcherSet {
            count: bits.count_ones(),
            bits,
        }
    }

    fn contains(self, matcher: u8) -> bool {
        self.bits & matcher != 0
    }
}

/// A key of the route index: one value for each matcher that a route has, and `None` for each other
/// matcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RouteKey {
    class: Option<usize>,
    member: Option<usize>,
    frontend: Option<FrontendKind>,
    data_set: Option<u32>,
}

impl RouteKey {
    /// Returns the key of a request among the routes with exactly these matchers.
    pub(super) fn of_request(request: &RequestAttributes, matchers: MatcherSet) -> RouteKey {
        let is_set = |matcher| matchers.contains(matcher);
        RouteKey {
            class: is_set(MatcherSet::CLASS).then_some(request.class),
            member: is_set(MatcherSet::MEMBER).then_some(request.member),
            frontend: is_set(MatcherSet::FRONTEND).then_some(request.frontend),
            data_set: is_set(MatcherSet::DATA_SET).then_some(request.data_set),
        }
    }
}

impl RouteMatch {
    /// Whether `other` matches every request that this one matches.
    pub fn is_within(&self, other: &RouteMatch) -> bool {
        is_subset(&self.class, &other.class)
            && is_subset(&self.member, &other.member)
            && is_subset(&self.frontend, &other.frontend)
            && is_subset(&self.data_set, &other.data_set)
    }

    /// Whether some request can match both this and `other`.
    pub fn overlaps(&self, other: &RouteMatch) -> bool {
        intersects(&self.class, &other.class)
            && intersects(&self.member, &other.member)
            && intersects(&self.frontend, &other.frontend)
            && intersects(&self.data_set, &other.data_set)
    }

    /// Whether no request can match.
    pub fn is_empty(&self) -> bool {
        self.combinations() == 0
    }

    /// Whether a request matches.
    pub fn matches(&self, request: &RequestAttributes) -> bool {
        matches_value(&self.class, &request.class)
            && matches_value(&self.member, &request.member)
            && matches_value(&self.frontend, &request.frontend)
            && matches_value(&self.data_set, &request.data_set)
    }

    /// Returns the set of matchers that are present.
    pub(super) fn matchers(&self) -> MatcherSet {
        let presence = [
            (self.class.is_some(), MatcherSet::CLASS),
            (self.member.is_some(), MatcherSet::MEMBER),
            (self.frontend.is_some(), MatcherSet::FRONTEND),
            (self.data_set.is_some(), MatcherSet::DATA_SET),
        ];
        let bits = presence
            .into_iter()
            .filter(|(is_present, _)| *is_present)
            .fold(0, |bits, (_, matcher)| bits | matcher);
        MatcherSet::new(bits)
    }

    /// Returns the number of combinations of the matchers' values. Of two routes with the same set
    /// of matchers, one that is strictly within the other has fewer.
    pub(super) fn combinations(&self) -> usize {
        let counts = [
            self.class.as_ref().map(BTreeSet::len),
            self.member.as_ref().map(BTreeSet::len),
            self.frontend.as_ref().map(BTreeSet::len),
            self.data_set.as_ref().map(BTreeSet::len),
        ];
        counts.into_iter().flatten().fold(1, usize::saturating_mul)
    }

    /// Calls `visit` with the keys of the route index for this route, one for each combination of
    /// values.
    pub(super) fn for_each_key(&self, mut visit: impl FnMut(RouteKey)) {
        for class in values_or_none(&self.class) {
            for member in values_or_none(&self.member) {
                for frontend in values_or_none(&self.frontend) {
                    for data_set in values_or_none(&self.data_set) {
                        visit(RouteKey {
                            class,
                            member,
                            frontend,
                            data_set,
                        });
                    }
                }
            }
        }
    }
}

/// Whether `outer` matches every value that `inner` matches.
fn is_subset<T: Ord>(inner: &Option<BTreeSet<T>>, outer: &Option<BTreeSet<T>>) -> bool {
    match (inner, outer) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(inner), Some(outer)) => inner.is_subset(outer),
    }
}

/// Whether some value matches both.
fn intersects<T: Ord>(left: &Option<BTreeSet<T>>, right: &Option<BTreeSet<T>>) -> bool {
    match (left, right) {
        (Some(left), Some(right)) => !left.is_disjoint(right),
        _ => true,
    }
}

fn matches_value<T: Ord>(matcher: &Option<BTreeSet<T>>, value: &T) -> bool {
    matcher.as_ref().is_none_or(|values| values.contains(value))
}

/// Returns the values of a matcher, or a single `None` if the matcher is not present.
fn values_or_none<T: Copy>(matcher: &Option<BTreeSet<T>>) -> Vec<Option<T>> {
    match matcher {
        Some(values) => values.iter().copied().map(Some).collect(),
        None => vec![None],
    }
}
