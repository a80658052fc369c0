//! The index that resolves the attempt policy of a request.
//!
//! The policy of the request's class applies first, then those of the routes that match, the more specific over the
//! broader. Each route is spread over cells, one for each combination of its values. A lookup visits one cell for each
//! set of matchers that some route names, sixteen at most, so its cost does not grow with the number of routes.

use super::attempt_policy::AttemptPolicy;
use super::route_errors::{RouteError, find_route_errors};
use super::route_match::{MatcherSet, RequestAttributes, RouteKey, RouteMatch};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// A route of the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it matches.
    pub matches: RouteMatch,
    /// The keys that it sets.
    pub policy: AttemptPolicy,
}

/// The index of the policies of classes and routes.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// By the position of the class: the default policy, overridden by the class's own.
    classes: Vec<AttemptPolicy>,
    policies: HashMap<RouteKey, AttemptPolicy>,
    /// The sets of matchers that some route names, in the order in which they apply.
    matcher_sets: Vec<MatcherSet>,
}

impl RouteIndex {
    /// Builds an index. `classes` are by position, none where the file has no table for a class.
    ///
    /// # Errors
    ///
    /// Every conflict between the routes.
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
            .map(|own| default.overridden_by(own.as_ref()))
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

    /// Returns the policy that is in force for a request.
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

/// Spreads the routes over keys.
fn build_policies(routes: &[Route]) -> HashMap<RouteKey, AttemptPolicy> {
    // Broader routes come first, so that the more specific one overrides in a cell that both cover. Routes that share a
    // cell name the same matchers, and the one within the other has fewer combinations.
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
