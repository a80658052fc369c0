//! The index that resolves the attempt policy of a request.
//!
//! The policy of the request's class applies first. The policies of the matching routes then
//! override it, the more specific ones last. The index has an entry for each combination of a
//! route's matcher values. A lookup reads one entry for each set of matchers that any route has.
//! There are at most 16 such sets, so the cost does not grow with the number of routes.

use super::attempt_policy::AttemptPolicy;
use super::route_errors::{RouteError, find_route_errors};
use super::route_match::{MatcherSet, RequestAttributes, RouteKey, RouteMatch};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// A route of the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The requests that the route matches.
    pub matches: RouteMatch,
    /// The keys that the route sets.
    pub policy: AttemptPolicy,
}

/// The index of the policies of classes and routes.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The default policy, overridden by the policy of each class, by position of the class.
    classes: Vec<AttemptPolicy>,
    /// The policies of the routes, by combination of matcher values.
    policies: HashMap<RouteKey, AttemptPolicy>,
    /// The sets of matchers that the routes have, in the order in which they apply.
    matcher_sets: Vec<MatcherSet>,
}

impl RouteIndex {
    /// Builds an index. `classes` are in the order of the settings, with `None` for a class without
    /// a policy.
    ///
    /// # Errors
    ///
    /// Every reason why the routes cannot be used together.
    pub fn new(
        default: &AttemptPolicy,
        classes: &[Option<AttemptPolicy>],
        routes: &[Route],
    ) -> Result<RouteIndex, Vec<RouteError>> {
        let errors = find_route_errors(routes);
        if !errors.is_empty() {
            return Err(errors);
        }
        let classes = classes
            .iter()
            .map(|class_policy| default.overridden_by(class_policy.as_ref()))
            .collect();
        let matcher_sets: BTreeSet<MatcherSet> = routes
            .iter()
            .map(|route| route.matches.matchers())
            .collect();
        Ok(RouteIndex {
            classes,
            policies: build_policies(routes),
            matcher_sets: matcher_sets.into_iter().collect(),
        })
    }

    /// Returns the policy in force for a request.
    pub fn resolve(&self, request: &RequestAttributes) -> AttemptPolicy {
        let mut policy = self.classes.get(request.class).cloned().unwrap_or_default();
        for matchers in &self.matcher_sets {
            if let Some(route_policy) = self.policies.get(&RouteKey::of_request(request, *matchers))
            {
                policy.override_with(route_policy);
            }
        }
        policy
    }
}

/// Returns the policies of the routes, by combination of matcher values.
fn build_policies(routes: &[Route]) -> HashMap<RouteKey, AttemptPolicy> {
    // Broader routes come first, so that the more specific route overrides the broader one where
    // both have the same key. Such routes have the same set of matchers, and the one that is within
    // the other has fewer combinations.
    let mut broadest_first: Vec<&Route> = routes.iter().collect();
    broadest_first.sort_by_key(|route| Reverse(route.matches.combinations()));
    let mut policies: HashMap<RouteKey, AttemptPolicy> = HashMap::new();
    for route in broadest_first {
        route.matches.for_each_key(|key| {
            policies
                .entry(key)
                .or_default()
                .override_with(&route.policy);
        });
    }
    policies
}
