//! The policy of attempts in force: the index of the tables, and the tables themselves for telling where each value
//! of a request's keys comes from.

use super::attempt_policy::{AttemptPolicy, OutcomeSet, RETRYABLE_OUTCOMES};
use super::routes::{RequestAttributes, Route, RouteError, Routes};
use crate::attempt::never_ran;
use std::cmp::Reverse;

/// Where a value of a request's keys comes from, as `POLICY` and `explain` tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The key, as the file names it.
    pub key: &'static str,
    /// Its value, as the file would write it; `-` where nothing sets it.
    pub value: String,
    /// `default`, `class NAME`, `route NAME`, or `-` where nothing sets it.
    pub from: String,
}

/// All tables of attempts of one file, ready to be asked. Without a file it sets nothing, and nothing is barred.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    routes: Routes,
    default: AttemptPolicy,
    /// By the position of the class in the settings, with its name.
    classes: Vec<(String, Option<AttemptPolicy>)>,
    routes_in_order: Vec<Route>,
    /// Members by position.
    members: Vec<String>,
}

impl Policy {
    /// A policy of these tables. `classes` by position in the settings, with each class's name and whether it may run
    /// once only: there the default's second copies, and its ends after which the attempt may have run, do not
    /// reach. Errors: the faults between routes, all at once.
    pub fn new(
        default: AttemptPolicy,
        classes: Vec<(String, bool, Option<AttemptPolicy>)>,
        routes: Vec<Route>,
        members: Vec<String>,
    ) -> Result<Policy, Vec<RouteError>> {
        let mut laid = Vec::new();
        for (_, once, own) in &classes {
            let mut keys = if *once {
                default.for_non_idempotent()
            } else {
                default.clone()
            };
            own.iter().for_each(|over| keys.override_with(over));
            laid.push(Some(keys));
        }
        let routes_index = Routes::new(&AttemptPolicy::default(), &laid, &routes)?;
        let classes = classes
            .into_iter()
            .map(|(name, _, own)| (name, own))
            .collect();
        Ok(Policy {
            routes: routes_index,
            default,
            classes,
            routes_in_order: routes,
            members,
        })
    }

    /// A member's position by its name, as routes match it; `usize::MAX` for one that no route can name.
    pub fn member_position(&self, name: &[u8]) -> usize {
        self.members
            .iter()
            .position(|m| m.as_bytes() == name)
            .unwrap_or(usize::MAX)
    }

    /// Whether the file set anything at all.
    pub fn is_empty(&self) -> bool {
        self.default == AttemptPolicy::default()
            && self.classes.iter().all(|(_, own)| own.is_none())
            && self.routes_in_order.is_empty()
    }

    /// The keys that hold for a request: a lookup whose cost does not grow with the routes.
    pub fn resolve(&self, at: &RequestAttributes) -> AttemptPolicy {
        self.routes.resolve(at)
    }

    /// Each key that holds for a request, with the table that it comes from. Walks all routes: for staff, not for
    /// the path of a request.
    pub fn explain(&self, at: &RequestAttributes) -> Vec<EffectiveValue> {
        let held = self.resolve(at);
        let (name, own) = self
            .classes
            .get(at.class)
            .map_or(("", None), |(n, own)| (n.as_str(), own.as_ref()));
        let mut tables: Vec<(String, &AttemptPolicy)> = vec![("default".to_owned(), &self.default)];
        tables.extend(own.map(|keys| (format!("class {name}"), keys)));
        let mut mine: Vec<&Route> = self
            .routes_in_order
            .iter()
            .filter(|r| r.matches.matches(at))
            .collect();
        mine.sort_by_key(|r| {
            (
                r.matches.pattern().count_ones(),
                r.matches.pattern(),
                Reverse(r.matches.size()),
            )
        });
        tables.extend(
            mine.into_iter()
                .map(|r| (format!("route {}", r.name), &r.policy)),
        );
        let shown = held.key_values();
        shown
            .into_iter()
            .map(|(key, value)| {
                let from = tables.iter().rev().find(|(_, keys)| {
                    keys.key_values()
                        .iter()
                        .any(|(k, v)| *k == key && v.is_some())
                });
                let from = value
                    .as_ref()
                    .and(from)
                    .map_or("-".to_owned(), |(table, _)| table.clone());
                EffectiveValue {
                    key,
                    value: value.unwrap_or_else(|| "-".to_owned()),
                    from,
                }
            })
            .collect()
    }

    /// Takes over what the budgets of an earlier policy have spent, table by table.
    pub fn carry_over_budgets(&self, earlier: &Policy) {
        let pairs = [(&self.default, &earlier.default)].into_iter();
        let classes = self.classes.iter().filter_map(|(name, own)| {
            let before = earlier
                .classes
                .iter()
                .find(|(n, _)| n == name)?
                .1
                .as_ref()?;
            Some((own.as_ref()?, before))
        });
        let routes = self.routes_in_order.iter().filter_map(|r| {
            let before = earlier.routes_in_order.iter().find(|e| e.name == r.name)?;
            Some((&r.policy, &before.policy))
        });
        for (now, before) in pairs.chain(classes).chain(routes) {
            if let (Some(now), Some(before)) = (&now.budget, &before.budget) {
                now.carry_over(before);
            }
        }
    }
}

impl AttemptPolicy {
    /// These keys as they may reach a class that runs once only: no second copies, and no further attempt after an
    /// end at which the attempt may have run.
    pub fn for_non_idempotent(&self) -> AttemptPolicy {
        let never = |ends: OutcomeSet| {
            let kept = RETRYABLE_OUTCOMES
                .iter()
                .filter(move |(_, e)| never_ran(*e) && ends.contains(*e));
            kept.fold(OutcomeSet::default(), |all, (_, e)| all.with(*e))
        };
        let retry_on = self.retry_on.map(never);
        AttemptPolicy {
            hedging: None,
            retry_on,
            ..self.clone()
        }
    }
}
