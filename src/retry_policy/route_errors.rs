//! Conflicts between the routes of a file, found before an index is built over them.

use super::routes::Route;
use thiserror::Error;

/// Limit of the combinations of values that all routes together may name. It bounds the memory of the index.
const MAX_COMBINATIONS: usize = 1 << 18;

/// Why routes cannot be used. The texts are part of the faults that the check of an operators' file prints.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No request can match the route.
    #[error("route {route:?} can match no request; name what it is to match")]
    MatchesNothing {
        /// The route's name.
        route: String,
    },
    /// Some request matches both routes, neither is the more specific one, and they set keys to different values.
    #[error(
        "routes {earlier:?} and {later:?} match the same requests and disagree on {}; let one lie within the other",
        .keys.join(", ")
    )]
    Conflict {
        /// The name of the route that comes first in the file.
        earlier: String,
        /// The name of the other route.
        later: String,
        /// The keys with different values.
        keys: Vec<&'static str>,
    },
    /// The routes together name more combinations of values than the index holds.
    #[error(
        "routes name {count} combinations of matchers, more than {MAX_COMBINATIONS}; leave some out"
    )]
    TooManyCombinations {
        /// The combinations that they name.
        count: usize,
    },
}

/// Returns every reason why these routes cannot be used together.
pub(super) fn find_route_errors(routes: &[Route]) -> Vec<RouteError> {
    let mut errors: Vec<RouteError> = routes
        .iter()
        .filter(|route| route.matches.is_empty())
        .map(|route| RouteError::MatchesNothing {
            route: route.name.clone(),
        })
        .collect();
    for (position, earlier) in routes.iter().enumerate() {
        let conflicts = routes[position + 1..]
            .iter()
            .filter_map(|later| find_conflict(earlier, later));
        errors.extend(conflicts);
    }
    let count = routes
        .iter()
        .map(|route| route.matches.combinations())
        .fold(0, usize::saturating_add);
    if count > MAX_COMBINATIONS {
        errors.push(RouteError::TooManyCombinations { count });
    }
    errors
}

/// The conflict between two routes, if there is one.
fn find_conflict(earlier: &Route, later: &Route) -> Option<RouteError> {
    if !earlier.matches.overlaps(&later.matches) {
        return None;
    }
    // Routes with equal matchers lie within each other: neither is the more specific one.
    let earlier_is_within = earlier.matches.is_within(&later.matches);
    let later_is_within = later.matches.is_within(&earlier.matches);
    if earlier_is_within != later_is_within {
        return None;
    }
    let keys = earlier.policy.conflicting_keys(&later.policy);
    (!keys.is_empty()).then(|| RouteError::Conflict {
        earlier: earlier.name.clone(),
        later: later.name.clone(),
        keys,
    })
}
