//! Checks of the operators' file that do not need the platform's settings.

use super::faults::{Fault, FaultCollector};
use super::suggestions::nearest_name;
use super::tables::{FRONT_ENDS, Table, TableKind, all_tables, parse_quantile};
use super::text::{HedgingTable, OperatorFile};
use crate::retry_policy::RETRYABLE_OUTCOMES;
use std::collections::HashSet;

/// Returns the faults that can be found without the platform's settings.
pub(super) fn check(file: &OperatorFile, source: &str) -> Vec<Fault> {
    let mut faults = FaultCollector::new(source, Vec::new());
    let mut route_names = HashSet::new();
    for table in all_tables(file) {
        if table.kind == TableKind::Route {
            check_route(&table, &mut route_names, &mut faults);
        } else {
            check_no_route_keys(&table, &mut faults);
        }
        check_retry_outcomes(&table, &mut faults);
        check_front_ends(&table, &mut faults);
        if let Some(hedging) = &table.content.hedging {
            check_hedging(&table.path, hedging, &mut faults);
        }
        check_times(&table, &mut faults);
    }
    faults.into_faults()
}

/// Adds a fault if a default or class table has `name` or `match`, which are allowed in routes
/// only.
fn check_no_route_keys(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    let route_keys = [
        ("name", table.content.name.is_some()),
        ("match", table.content.matches.is_some()),
    ];
    for (key, is_set) in route_keys {
        if is_set {
            let problem = format!("{key} is allowed in routes only");
            let suggestion = "move the table to [[attempts.route]]";
            faults.add(&table.path, key, problem, suggestion);
        }
    }
}

/// Adds a fault if a route has no name, has the name of an earlier route, or has no `match`.
fn check_route(
    table: &Table<'_>,
    route_names: &mut HashSet<String>,
    faults: &mut FaultCollector<'_>,
) {
    let path = table.path.as_str();
    match &table.content.name {
        None => faults.add(path, "", "the route has no name", "add name = \"...\""),
        Some(name) if !route_names.insert(name.clone()) => faults.add(
            path,
            "name",
            format!("an earlier route is named {name:?} too"),
            "give each route a different name",
        ),
        Some(_) => {}
    }
    if table.content.matches.is_none() {
        faults.add(
            path,
            "",
            "the route has no match, so it would match every request",
            "add match, or set the keys in [attempts.default]",
        );
    }
}

/// Adds a fault for each unknown outcome in `retry_on`.
fn check_retry_outcomes(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    for outcome in table.content.retry_on.iter().flatten() {
        let known_names = RETRYABLE_OUTCOMES.iter().map(|(name, _)| *name);
        if !known_names.clone().any(|name| name == outcome) {
            let problem = format!("{outcome:?} is not an outcome of an attempt");
            let suggestion = nearest_name(outcome, known_names);
            faults.add(&table.path, "retry_on", problem, suggestion);
        }
    }
}

/// Adds a fault for each unknown front end in `match.front`.
fn check_front_ends(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    let matches = table.content.matches.as_ref();
    let Some(front_ends) = matches.and_then(|matches| matches.front_ends.as_ref()) else {
        return;
    };
    for front_end in front_ends.names() {
        if !FRONT_ENDS.iter().any(|(name, _)| *name == front_end) {
            let problem = format!("{front_end:?} is not a front end");
            let suggestion = nearest_name(front_end, FRONT_ENDS.map(|(name, _)| name));
            faults.add(&table.path, "match.front", problem, suggestion);
        }
    }
}

/// Adds a fault if not exactly one of `after` and `after_ms` is set, or if `after` is not a
/// percentile.
fn check_hedging(path: &str, hedging: &HedgingTable, faults: &mut FaultCollector<'_>) {
    match (&hedging.after, hedging.after_ms) {
        (Some(_), Some(_)) | (None, None) => faults.add(
            path,
            "second_copy",
            "has both after and after_ms, or neither",
            "set exactly one of them",
        ),
        (Some(after), None) if parse_quantile(after).is_none() => faults.add(
            path,
            "second_copy.after",
            format!("{after:?} is not a percentile of the durations of attempts"),
            "write it as p50 to p99.99",
        ),
        _ => {}
    }
}

/// Adds a fault if the first backoff delay exceeds the longest one, or the timeout of an attempt
/// that of the request.
fn check_times(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    if let Some(backoff) = &table.content.backoff
        && backoff.base_ms > backoff.max_ms
    {
        let (base_ms, max_ms) = (backoff.base_ms, backoff.max_ms);
        let problem = format!("base_ms {base_ms} is above max_ms {max_ms}");
        let suggestion = "set base_ms to max_ms or less";
        faults.add(&table.path, "backoff", problem, suggestion);
    }
    if let Some(attempt_ms) = table.content.attempt_timeout_ms
        && let Some(request_ms) = table.content.timeout_ms
        && attempt_ms > request_ms
    {
        let problem =
            format!("{attempt_ms} ms is longer than the request's timeout_ms {request_ms}");
        let suggestion = "set attempt_timeout_ms to timeout_ms or less";
        faults.add(&table.path, "attempt_timeout_ms", problem, suggestion);
    }
}
