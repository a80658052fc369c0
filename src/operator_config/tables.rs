//! Lists the attempt tables of the operators' file and converts them to attempt policies.

use super::text::{AttemptTable, HedgingTable, OperatorFile};
use crate::retry_policy::{
    AttemptPolicy, Backoff, Budget, FrontendKind, HedgingDelay, HedgingPolicy, OutcomeSet,
    RETRYABLE_OUTCOMES,
};
use std::sync::Arc;

/// The names of the front ends for the key `match.front` of a route.
pub(super) const FRONT_ENDS: [(&str, FrontendKind); 2] = [
    ("platform", FrontendKind::Platform),
    ("flight", FrontendKind::Flight),
];

/// The quantile of the durations of attempts after which a request is hedged, if the table sets no
/// delay.
const DEFAULT_HEDGING_QUANTILE: f64 = 0.95;

/// An attempt table with its place in the file.
pub(super) struct Table<'a> {
    pub(super) content: &'a AttemptTable,
    /// Its key path, such as `attempts.class.NAME`.
    pub(super) path: String,
    pub(super) kind: TableKind,
}

/// Which requests a table applies to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum TableKind {
    /// Every request.
    Default,
    /// The requests of one class.
    Class,
    /// The requests that a route matches.
    Route,
}

/// All tables of the file: the default table, the class tables sorted by name, the routes in the
/// order of the file.
pub(super) fn all_tables(file: &OperatorFile) -> Vec<Table<'_>> {
    let attempts = &file.attempts;
    let default = Table {
        content: &attempts.default,
        path: "attempts.default".to_owned(),
        kind: TableKind::Default,
    };
    let classes = attempts.class.iter().map(|(name, content)| Table {
        content,
        path: class_path(name),
        kind: TableKind::Class,
    });
    let routes = attempts
        .route
        .iter()
        .enumerate()
        .map(|(index, content)| Table {
            content,
            path: format!("attempts.route[{index}]"),
            kind: TableKind::Route,
        });
    std::iter::once(default)
        .chain(classes)
        .chain(routes)
        .collect()
}

/// The key path of the table of this class.
pub(super) fn class_path(class: &str) -> String {
    format!("attempts.class.{class}")
}

impl Table<'_> {
    /// Whether this is the default table or the table of this class.
    pub(super) fn is_default_or_of_class(&self, class: &str) -> bool {
        self.kind == TableKind::Default || self.path == class_path(class)
    }
}

/// Converts a table to a policy. The result is correct only for a table without faults.
pub(super) fn attempt_policy(table: &AttemptTable) -> AttemptPolicy {
    AttemptPolicy {
        timeout_ms: table.timeout_ms,
        attempt_timeout_ms: table.attempt_timeout_ms,
        max_attempts: table.max_attempts,
        retry_on: table.retry_on.as_deref().map(outcome_set),
        backoff: table.backoff.as_ref().map(|backoff| Backoff {
            base_ms: backoff.base_ms,
            max_ms: backoff.max_ms,
            jitter: backoff.jitter,
        }),
        budget: table.budget.as_ref().map(|budget| {
            let window_ms = budget.window_s * 1000.0;
            Arc::new(Budget::new(budget.ratio, budget.min_per_s, window_ms))
        }),
        hedging: table.hedging.as_ref().map(hedging_policy),
    }
}

fn outcome_set(names: &[String]) -> OutcomeSet {
    names
        .iter()
        .filter_map(|name| RETRYABLE_OUTCOMES.iter().find(|(known, _)| known == name))
        .fold(OutcomeSet::default(), |set, (_, outcome)| {
            set.with(*outcome)
        })
}

fn hedging_policy(table: &HedgingTable) -> HedgingPolicy {
    let after = match table.after_ms {
        Some(milliseconds) => HedgingDelay::Ms(milliseconds),
        None => {
            let quantile = table.after.as_deref().and_then(parse_quantile);
            HedgingDelay::Quantile(quantile.unwrap_or(DEFAULT_HEDGING_QUANTILE))
        }
    };
    HedgingPolicy {
        after,
        ratio: table.ratio,
    }
}

/// Parses a percentile from `p1` to `p99.99`: `p95` is the quantile 0.95.
pub(super) fn parse_quantile(text: &str) -> Option<f64> {
    let percent: f64 = text.strip_prefix('p')?.parse().ok()?;
    (1.0..=99.99).contains(&percent).then_some(percent / 100.0)
}
