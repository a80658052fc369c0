//! Errors in the routes of an operators' file, which are checked before the index is built.

use super::routes::Route;
use thiserror::Error;

/// Limit on the number of combinations of matcher values of all routes together. It bounds the
/// memory of the index.
const MAX_COMBINATIONS: usize = 1 << 18;

/// A reason why routes cannot be used. The check of an operators' file prints the message up to the
/// semicolon as a fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No request can match the route.
    #[error("route {route:?} cannot match any request; list at least one value in each matcher")]
    MatchesNothing {
        /// The route's name.
        route: String,
    },
    /// Some requests match both routes, neither route is the more specific one, and they set keys
    /// to different values.
    #[error(
        "routes {earlier:?} and {later:?} match some of the same requests and set different values for {}; \
         make one route narrower than the other",
        .keys.join(", ")
    )]
    Conflict {
        /// The name of the route that comes first in the file.
        earlier: String,
        /// The name of the other route.
        later: String,
        /// The keys that the routes set to different values.
        keys: Vec<&'static str>,
    },
    /// The routes together list more combinations of matcher values than the index may hold.
    #[error(
        "routes list {count} combinations of matcher values, more than the limit of {MAX_COMBINATIONS}; \
         remove some values"
    )]
    TooManyCombinations {
        /// The number of combinations.
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

/// Returns the conflict between two routes, if there is one.
fn find_conflict(earlier: &Route, later: &Route) -> Option<RouteError> {
    if !earlier.matches.overlaps(&later.matches) {
        return None;
    }
    // If one route is strictly within the other, it is the more specific one and overrides the
    // other. Routes that match the same requests are within each other, so neither is more
    // specific.
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
