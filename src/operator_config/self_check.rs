//! Checks that need nothing but the operators' file itself.

use super::faults::{Fault, FaultCollector};
use super::suggestions::nearest_name;
use super::tables::{FRONT_ENDS, Table, TableKind, all_tables, parse_quantile};
use super::text::{HedgingTable, OperatorFile};
use crate::retry_policy::RETRYABLE_OUTCOMES;
use std::collections::HashSet;

/// The faults that the file shows without the platform's settings.
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

/// Only routes have a name and a match.
fn check_no_route_keys(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    let route_keys = [
        ("name", table.content.name.is_some()),
        ("match", table.content.matches.is_some()),
    ];
    for (key, is_set) in route_keys {
        if is_set {
            let problem = format!("{key} belongs to routes alone");
            let suggestion = "move the table to [[attempts.route]]";
            faults.add(&table.path, key, problem, suggestion);
        }
    }
}

/// A route has a name of its own, and a match.
fn check_route(
    table: &Table<'_>,
    route_names: &mut HashSet<String>,
    faults: &mut FaultCollector<'_>,
) {
    let path = table.path.as_str();
    match &table.content.name {
        None => faults.add(path, "", "a route has no name", "give it name = \"...\""),
        Some(name) if !route_names.insert(name.clone()) => faults.add(
            path,
            "name",
            format!("route {name:?} is named twice"),
            "give each route a name of its own",
        ),
        Some(_) => {}
    }
    if table.content.matches.is_none() {
        faults.add(
            path,
            "",
            "a route without match would match every request",
            "say what it matches, or use [attempts.default]",
        );
    }
}

fn check_retry_outcomes(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    for outcome in table.content.retry_on.iter().flatten() {
        let known_names = RETRYABLE_OUTCOMES.iter().map(|(name, _)| *name);
        if !known_names.clone().any(|name| name == outcome) {
            let problem = format!("{outcome:?} is no end of an attempt");
            let suggestion = nearest_name(outcome, known_names);
            faults.add(&table.path, "retry_on", problem, suggestion);
        }
    }
}

fn check_front_ends(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    let matches = table.content.matches.as_ref();
    let Some(front_ends) = matches.and_then(|matches| matches.front_ends.as_ref()) else {
        return;
    };
    for front_end in front_ends.names() {
        if !FRONT_ENDS.iter().any(|(name, _)| *name == front_end) {
            let problem = format!("{front_end:?} is no front");
            let suggestion = nearest_name(front_end, FRONT_ENDS.map(|(name, _)| name));
            faults.add(&table.path, "match.front", problem, suggestion);
        }
    }
}

/// A hedged request is sent after a share of the usual attempts or after a time, not both.
fn check_hedging(path: &str, hedging: &HedgingTable, faults: &mut FaultCollector<'_>) {
    match (&hedging.after, hedging.after_ms) {
        (Some(_), Some(_)) | (None, None) => faults.add(
            path,
            "second_copy",
            "it names both after and after_ms, or neither",
            "name one of them",
        ),
        (Some(after), None) if parse_quantile(after).is_none() => faults.add(
            path,
            "second_copy.after",
            format!("{after:?} is no share of the usual attempts"),
            "write it as p50 to p99.99",
        ),
        _ => {}
    }
}

fn check_times(table: &Table<'_>, faults: &mut FaultCollector<'_>) {
    if let Some(backoff) = &table.content.backoff
        && backoff.base_ms > backoff.max_ms
    {
        let (base_ms, max_ms) = (backoff.base_ms, backoff.max_ms);
        let problem = format!("base_ms {base_ms} is above max_ms {max_ms}");
        let suggestion = "let base_ms be max_ms or less";
        faults.add(&table.path, "backoff", problem, suggestion);
    }
    if let Some(attempt_ms) = table.content.attempt_timeout_ms
        && let Some(request_ms) = table.content.timeout_ms
        && attempt_ms > request_ms
    {
        let problem =
            format!("{attempt_ms} ms is longer than the request's timeout_ms {request_ms}");
        let suggestion = "let one attempt take no longer than the request";
        faults.add(&table.path, "attempt_timeout_ms", problem, suggestion);
    }
}
