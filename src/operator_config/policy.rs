//! Builds the retry policy from the operators' file and checks the file against the platform's
//! settings.

use super::constraints::{ClassConstraints, PlatformConstraints};
use super::faults::{Fault, FaultCollector, fail_if_any};
use super::settings_check::TableForClass;
use super::suggestions::nearest_name;
use super::tables::{FRONT_ENDS, Table, TableKind, all_tables, attempt_policy, class_path};
use super::text::{OneOrMany, OperatorFile};
use crate::retry_policy::{
    AttemptPolicy, ClassPolicy, FrontendKind, Policy, Route, RouteError, RouteMatch,
};
use std::collections::BTreeSet;

/// Checks the file against the platform's settings and builds its retry policy. `earlier_faults`
/// are the faults that previous checks found in the file.
///
/// # Errors
///
/// All faults, the earlier ones included, ordered by line.
pub(super) fn build(
    file: &OperatorFile,
    source: &str,
    platform: &PlatformConstraints,
    earlier_faults: Vec<Fault>,
) -> Result<Policy, Vec<Fault>> {
    let mut faults = FaultCollector::new(source, earlier_faults);
    check_class_names(file, platform, &mut faults);
    let tables = all_tables(file);
    let default = attempt_policy(&file.attempts.default);
    let classes = class_policies(file, platform);
    let by_class: Vec<AttemptPolicy> = classes
        .iter()
        .map(|class| class.effective(&default))
        .collect();
    let routes = routes(&tables, platform, &mut faults);
    check_class_tables(&tables, &by_class, platform, &mut faults);
    check_routes(&tables, &routes, &by_class, platform, &mut faults);
    if faults.is_empty() {
        match Policy::new(default, classes, routes, platform.members.clone()) {
            Ok(policy) => return Ok(policy),
            Err(errors) => {
                for error in &errors {
                    add_route_error(error, &tables, &mut faults);
                }
            }
        }
    }
    fail_if_any(faults.into_faults()).map(|()| Policy::default())
}

/// Adds a fault for each class table whose class is not in the platform's settings.
fn check_class_names(
    file: &OperatorFile,
    platform: &PlatformConstraints,
    faults: &mut FaultCollector<'_>,
) {
    for name in file.attempts.class.keys() {
        if platform.class_position(name).is_none() {
            let problem = format!("{name:?} is not a class in the platform's settings");
            let known_names = platform.classes.iter().map(|class| class.name.as_str());
            let suggestion = nearest_name(name, known_names);
            faults.add(&class_path(name), "", problem, suggestion);
        }
    }
}

/// The policy of each class in the platform's settings, from the class's table in the file if there
/// is one.
fn class_policies(file: &OperatorFile, platform: &PlatformConstraints) -> Vec<ClassPolicy> {
    let class_policy = |class: &ClassConstraints| ClassPolicy {
        name: class.name.clone(),
        non_idempotent: class.non_idempotent,
        own_policy: file.attempts.class.get(&class.name).map(attempt_policy),
    };
    platform.classes.iter().map(class_policy).collect()
}

/// The routes in the order of the file.
fn routes(
    tables: &[Table<'_>],
    platform: &PlatformConstraints,
    faults: &mut FaultCollector<'_>,
) -> Vec<Route> {
    route_tables(tables)
        .map(|table| Route {
            name: table.content.name.clone().unwrap_or_default(),
            matches: route_match(table, platform, faults),
            policy: attempt_policy(table.content),
        })
        .collect()
}

fn route_tables<'t, 'f>(tables: &'t [Table<'f>]) -> impl Iterator<Item = &'t Table<'f>> {
    tables.iter().filter(|table| table.kind == TableKind::Route)
}

/// Checks the default table for every class, and each class table for its class.
fn check_class_tables(
    tables: &[Table<'_>],
    by_class: &[AttemptPolicy],
    platform: &PlatformConstraints,
    faults: &mut FaultCollector<'_>,
) {
    for table in tables.iter().filter(|t| t.kind != TableKind::Route) {
        let table_policy = attempt_policy(table.content);
        for (class, effective) in platform.classes.iter().zip(by_class) {
            if table.is_default_or_of_class(&class.name) {
                let table_for_class = TableForClass {
                    table,
                    table_policy: &table_policy,
                    effective,
                    class,
                    platform,
                };
                table_for_class.check(faults);
            }
        }
    }
}

/// Checks each route for every class that it matches.
fn check_routes(
    tables: &[Table<'_>],
    routes: &[Route],
    by_class: &[AttemptPolicy],
    platform: &PlatformConstraints,
    faults: &mut FaultCollector<'_>,
) {
    for (table, route) in route_tables(tables).zip(routes) {
        for (position, class) in platform.classes.iter().enumerate() {
            let classes = route.matches.class.as_ref();
            if classes.is_some_and(|classes| !classes.contains(&position)) {
                continue;
            }
            let mut effective = by_class[position].clone();
            effective.override_with(&route.policy);
            let table_for_class = TableForClass {
                table,
                table_policy: &route.policy,
                effective: &effective,
                class,
                platform,
            };
            table_for_class.check(faults);
        }
    }
}

/// What a route matches, with classes and members as positions in the settings. Adds a fault for
/// each unknown name.
fn route_match(
    table: &Table<'_>,
    platform: &PlatformConstraints,
    faults: &mut FaultCollector<'_>,
) -> RouteMatch {
    let Some(matches) = &table.content.matches else {
        return RouteMatch::default();
    };
    let class_names: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
    let member_names: Vec<&str> = platform.members.iter().map(String::as_str).collect();
    let mut positions = |key: &str, names: &Option<Vec<String>>, known_names: &[&str]| {
        let names = names.as_ref()?;
        Some(known_positions(
            &table.path,
            key,
            names,
            known_names,
            faults,
        ))
    };
    let class = positions("class", &matches.class, &class_names);
    let member = positions("member", &matches.member, &member_names);
    let data_sets = matches.data_set.as_ref();
    RouteMatch {
        class,
        member,
        frontend: matches.front_ends.as_ref().map(known_front_ends),
        data_set: data_sets.map(|sets| sets.iter().copied().collect()),
    }
}

/// The positions of the names in `known_names`. Adds a fault for each unknown name.
fn known_positions(
    path: &str,
    key: &str,
    names: &[String],
    known_names: &[&str],
    faults: &mut FaultCollector<'_>,
) -> BTreeSet<usize> {
    let mut positions = BTreeSet::new();
    for name in names {
        match known_names.iter().position(|known| known == name) {
            Some(position) => {
                positions.insert(position);
            }
            None => {
                let problem = format!("{name:?} is not a {key} in the platform's settings");
                let suggestion = nearest_name(name, known_names.iter().copied());
                faults.add(path, &format!("match.{key}"), problem, suggestion);
            }
        }
    }
    positions
}

/// The front ends with these names. Skips unknown names, which `self_check` has reported as faults.
fn known_front_ends<S: FromIterator<FrontendKind>>(names: &OneOrMany) -> S {
    let known = |name: &str| FRONT_ENDS.iter().find(|(known, _)| *known == name);
    names
        .names()
        .into_iter()
        .filter_map(known)
        .map(|(_, front_end)| *front_end)
        .collect()
}

/// Adds a fault for a route error. For a conflict between two routes, it has the line of the later
/// route.
fn add_route_error(error: &RouteError, tables: &[Table<'_>], faults: &mut FaultCollector<'_>) {
    let path_of = |name: &str| {
        route_tables(tables)
            .find(|table| table.content.name.as_deref() == Some(name))
            .map(|table| table.path.clone())
    };
    let (path, suggestion) = match error {
        RouteError::MatchesNothing { route } => {
            (path_of(route), "give each key of match at least one value")
        }
        RouteError::Conflict { later, .. } => (
            path_of(later),
            "narrow one route to a part of the other, or set the same values",
        ),
        RouteError::TooManyCombinations { .. } => {
            (None, "remove some values from the match tables")
        }
    };
    let path = path.unwrap_or_else(|| "attempts.route".to_owned());
    // The error's text ends with a suggestion. The fault has its own suggestion, so only the first
    // part is used.
    let text = error.to_string();
    let problem = text.split("; ").next().unwrap_or(&text);
    faults.add(&path, "", problem, suggestion);
}
