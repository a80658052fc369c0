//! The retry policy in force: the index that resolves requests, and the tables of the operators'
//! file, which show where each value of a resolved policy comes from.

use super::attempt_policy::{AttemptPolicy, KeyValue};
use super::route_errors::RouteError;
use super::route_match::RequestAttributes;
use super::routes::{Route, RouteIndex};
use std::cmp::Reverse;

/// Text that `POLICY` and `explain` print if no table sets a key.
const UNSET: &str = "-";

/// The value of a key for a request and the table that sets it, as `POLICY` and `explain` print
/// them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The key's name in the operators' file.
    pub key: &'static str,
    /// The value in the notation of the operators' file, or `-` if no table sets it.
    pub value: String,
    /// The table that sets the key: `default`, `class NAME` or `route NAME`, or `-` if none does.
    pub source: String,
}

/// A class of the settings and its table in the operators' file.
#[derive(Clone, Debug)]
pub struct ClassPolicy {
    /// The class's name.
    pub name: String,
    /// Whether running a request twice may do harm. The default policy's hedging does not apply to
    /// such a class, nor do the outcomes in its `retry_on` after which the attempt may have run.
    pub non_idempotent: bool,
    /// The policy of the class's table, or `None` if the file has no table for the class.
    pub own_policy: Option<AttemptPolicy>,
}

impl ClassPolicy {
    /// Returns the policy in force for the class, without routes.
    #[must_use]
    pub fn effective(&self, default: &AttemptPolicy) -> AttemptPolicy {
        let own_policy = self.own_policy.as_ref();
        if self.non_idempotent {
            default.for_non_idempotent().overridden_by(own_policy)
        } else {
            default.overridden_by(own_policy)
        }
    }
}

/// All tables of one operators' file, ready to resolve requests. The `Default` value, which is used
/// without a file, limits nothing.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    route_index: RouteIndex,
    default: AttemptPolicy,
    /// The classes, by position in the settings.
    classes: Vec<ClassPolicy>,
    /// The routes, in the order of the file.
    routes_in_order: Vec<Route>,
    /// The names of the members, by position in the settings.
    members: Vec<String>,
}

/// A table that applies to a request.
struct ApplicableTable<'a> {
    /// The table's name, as in [`EffectiveValue::source`].
    label: String,
    policy: &'a AttemptPolicy,
}

impl Policy {
    /// Builds a policy from the tables. `classes` and `members` are in the order of the settings.
    ///
    /// # Errors
    ///
    /// Every reason why the routes cannot be used together.
    pub fn new(
        default: AttemptPolicy,
        classes: Vec<ClassPolicy>,
        routes: Vec<Route>,
        members: Vec<String>,
    ) -> Result<Policy, Vec<RouteError>> {
        let effective: Vec<Option<AttemptPolicy>> = classes
            .iter()
            .map(|class| Some(class.effective(&default)))
            .collect();
        let index = RouteIndex::new(&AttemptPolicy::default(), &effective, &routes)?;
        Ok(Policy {
            route_index: index,
            default,
            classes,
            routes_in_order: routes,
            members,
        })
    }

    /// Returns the position of the member with this name, by which routes match it. An unknown
    /// member has `usize::MAX`, which no route matches by value.
    pub fn member_position(&self, name: &[u8]) -> usize {
        self.members
            .iter()
            .position(|member| member.as_bytes() == name)
            .unwrap_or(usize::MAX)
    }

    /// Whether there are no keys, class tables or routes.
    pub fn is_empty(&self) -> bool {
        self.default == AttemptPolicy::default()
            && self.classes.iter().all(|class| class.own_policy.is_none())
            && self.routes_in_order.is_empty()
    }

    /// Returns the policy in force for a request. The cost does not grow with the number of routes.
    pub fn resolve(&self, request: &RequestAttributes) -> AttemptPolicy {
        self.route_index.resolve(request)
    }

    /// Returns each key's value for a request and the table that sets it. It iterates over all
    /// routes, so it is for on-call staff and not for the path of a request.
    pub fn explain(&self, request: &RequestAttributes) -> Vec<EffectiveValue> {
        let tables = self.applicable_tables(request);
        self.resolve(request)
            .key_values()
            .into_iter()
            .map(|key_value| effective_value(key_value, &tables))
            .collect()
    }

    /// Returns the tables that apply to a request. Each overrides those before it.
    fn applicable_tables(&self, request: &RequestAttributes) -> Vec<ApplicableTable<'_>> {
        let mut tables = vec![ApplicableTable {
            label: "default".to_owned(),
            policy: &self.default,
        }];
        if let Some(class) = self.classes.get(request.class) {
            tables.extend(class.own_policy.as_ref().map(|policy| ApplicableTable {
                label: format!("class {}", class.name),
                policy,
            }));
        }
        let mut routes: Vec<&Route> = self
            .routes_in_order
            .iter()
            .filter(|route| route.matches.matches(request))
            .collect();
        routes.sort_by_key(|route| {
            let matches = &route.matches;
            (matches.matchers(), Reverse(matches.combinations()))
        });
        tables.extend(routes.into_iter().map(|route| ApplicableTable {
            label: format!("route {}", route.name),
            policy: &route.policy,
        }));
        tables
    }

    /// Copies the usage of an earlier policy's budgets, each to the budget of the same table.
    pub fn carry_over_budgets(&self, earlier: &Policy) {
        carry_over_budget(&self.default, &earlier.default);
        for class in &self.classes {
            let same_class = earlier.classes.iter().find(|old| old.name == class.name);
            let earlier_policy = same_class.and_then(|old| old.own_policy.as_ref());
            if let (Some(policy), Some(earlier_policy)) = (&class.own_policy, earlier_policy) {
                carry_over_budget(policy, earlier_policy);
            }
        }
        for route in &self.routes_in_order {
            let mut earlier_routes = earlier.routes_in_order.iter();
            if let Some(same_route) = earlier_routes.find(|old| old.name == route.name) {
                carry_over_budget(&route.policy, &same_route.policy);
            }
        }
    }
}

/// Returns a key's value with the last table that sets it.
fn effective_value(key_value: KeyValue, tables: &[ApplicableTable<'_>]) -> EffectiveValue {
    let KeyValue { key, value } = key_value;
    let sets_key = |table: &&ApplicableTable<'_>| {
        let mut key_values = table.policy.key_values().into_iter();
        key_values.any(|table_value| table_value.key == key && table_value.value.is_some())
    };
    let source = value
        .as_ref()
        .and_then(|_| tables.iter().rev().find(sets_key))
        .map_or(UNSET, |table| table.label.as_str());
    EffectiveValue {
        key,
        source: source.to_owned(),
        value: value.unwrap_or_else(|| UNSET.to_owned()),
    }
}

fn carry_over_budget(policy: &AttemptPolicy, earlier: &AttemptPolicy) {
    if let (Some(budget), Some(earlier)) = (&policy.budget, &earlier.budget) {
        budget.carry_over(earlier);
    }
}
