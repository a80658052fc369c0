//! What the file is worth: faults that it shows alone, and those against the platform's settings, all at once; and
//! from a sound file the policy of attempts.

use super::Fault;
use super::lines::line_of;
use super::text::{FileText, TableText};
use crate::decision::{Idempotency, Millis};
use crate::retry_policy::{
    AttemptPolicy, Backoff, Budget, FrontendKind, HedgingDelay, HedgingPolicy, OutcomeSet, Policy,
    RETRYABLE_OUTCOMES, Route, RouteError, RouteMatch,
};
use crate::settings_json::PlatformSettings;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// What the platform's settings tell that the file is held against.
#[derive(Clone, Debug, Default)]
pub struct PlatformConstraints {
    /// Classes by position.
    pub classes: Vec<ClassConstraints>,
    /// Members by position; none where the platform names no tenants.
    pub members: Vec<String>,
    /// Attempts that the platform allows a request, the first included.
    pub max_attempts: u32,
    /// Whether a request may have two attempts out at once.
    pub parallel_attempts_allowed: bool,
}

/// A class of the settings.
#[derive(Clone, Debug)]
pub struct ClassConstraints {
    /// Its name.
    pub name: String,
    /// Whether a repeat may do harm: it may run once only, or once within a group of engines and a span of time.
    pub not_idempotent: bool,
    /// How long its clients wait, in ms.
    pub client_timeout_ms: Millis,
}

impl PlatformConstraints {
    /// What the settings tell.
    pub fn from_settings(parsed: &PlatformSettings) -> PlatformConstraints {
        let s = &parsed.settings;
        let class = |(name, c): (&String, &crate::decision::Class)| ClassConstraints {
            name: name.clone(),
            not_idempotent: c.idempotency != Idempotency::Idempotent,
            client_timeout_ms: c.client_timeout_ms,
        };
        PlatformConstraints {
            classes: s.class_names.iter().zip(&s.classes).map(class).collect(),
            members: parsed.tenants.clone(),
            max_attempts: s.max_attempts,
            parallel_attempts_allowed: parsed.parallel_attempts_allowed,
        }
    }
}

/// A table of the file, with its place.
struct Table<'a> {
    text: &'a TableText,
    /// Its key path, as `attempts.class.NAME`.
    path: String,
    kind: Kind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Default,
    Class,
    Route,
}

fn tables(text: &FileText) -> Vec<Table<'_>> {
    let a = &text.attempts;
    let default = Table {
        text: &a.default,
        path: "attempts.default".into(),
        kind: Kind::Default,
    };
    let classes = a.class.iter().map(|(name, text)| Table {
        text,
        path: format!("attempts.class.{name}"),
        kind: Kind::Class,
    });
    let routes = a.route.iter().enumerate().map(|(i, text)| Table {
        text,
        path: format!("attempts.route[{i}]"),
        kind: Kind::Route,
    });
    [default].into_iter().chain(classes).chain(routes).collect()
}

/// Collects faults, each with the line of its key, and each once.
struct Faults<'s> {
    source: &'s str,
    faults: Vec<Fault>,
    seen: HashSet<(String, String)>,
}

impl Faults<'_> {
    fn at(&mut self, path: &str, key: &str, what: impl Into<String>, mend: impl Into<String>) {
        let key = if key.is_empty() {
            path.to_owned()
        } else {
            format!("{path}.{key}")
        };
        let what = what.into();
        if self.seen.insert((key.clone(), what.clone())) {
            let line = line_of(self.source, &key);
            self.faults.push(Fault {
                line,
                key,
                problem: what,
                suggestion: mend.into(),
            });
        }
    }
}

/// The name among these nearest to a word, for a fault's mend.
fn nearest<'a>(word: &str, among: impl IntoIterator<Item = &'a str>) -> String {
    let best = among
        .into_iter()
        .min_by_key(|name| strsim::levenshtein(word, name));
    best.map_or_else(
        || "there are none".to_owned(),
        |name| format!("did you mean {name:?}?"),
    )
}

const FRONTS: [(&str, FrontendKind); 2] = FrontendKind::NAMES;

/// Faults that the file shows without the platform's settings.
#[expect(clippy::too_many_lines, reason = "not split yet")]
pub(super) fn alone(text: &FileText, source: &str) -> Vec<Fault> {
    let mut faults = Faults {
        source,
        faults: Vec::new(),
        seen: HashSet::new(),
    };
    let mut names = HashSet::new();
    for table in tables(text) {
        let (t, path) = (table.text, table.path.as_str());
        if table.kind != Kind::Route {
            for (key, set) in [("name", t.name.is_some()), ("match", t.matches.is_some())] {
                if set {
                    faults.at(
                        path,
                        key,
                        format!("{key} belongs to routes alone"),
                        "move the table to [[attempts.route]]",
                    );
                }
            }
        } else {
            match &t.name {
                None => faults.at(path, "", "a route has no name", "give it name = \"...\""),
                Some(name) if !names.insert(name.clone()) => faults.at(
                    path,
                    "name",
                    format!("route {name:?} is named twice"),
                    "give each route a name of its own",
                ),
                Some(_) => {}
            }
            if t.matches.is_none() {
                faults.at(
                    path,
                    "",
                    "a route without match would match every request",
                    "say what it matches, or use [attempts.default]",
                );
            }
        }
        for end in t.retry_on.iter().flatten() {
            if !RETRYABLE_OUTCOMES.iter().any(|(name, _)| name == end) {
                let mend = nearest(end, RETRYABLE_OUTCOMES.iter().map(|(n, _)| *n));
                faults.at(
                    path,
                    "retry_on",
                    format!("{end:?} is no end of an attempt"),
                    mend,
                );
            }
        }
        for front in t
            .matches
            .iter()
            .flat_map(|m| m.front.iter())
            .flat_map(|f| f.names())
        {
            if !FRONTS.iter().any(|(name, _)| *name == front) {
                faults.at(
                    path,
                    "match.front",
                    format!("{front:?} is no front"),
                    nearest(front, FRONTS.map(|f| f.0)),
                );
            }
        }
        if let Some(copy) = &t.second_copy {
            match (&copy.after, copy.after_ms) {
                (Some(_), Some(_)) | (None, None) => faults.at(
                    path,
                    "second_copy",
                    "it names both after and after_ms, or neither",
                    "name one of them",
                ),
                (Some(after), None) if quantile(after).is_none() => faults.at(
                    path,
                    "second_copy.after",
                    format!("{after:?} is no share of the usual attempts"),
                    "write it as p50 to p99.99",
                ),
                _ => {}
            }
        }
        if let Some(b) = t.backoff.as_ref().filter(|b| b.base_ms > b.max_ms) {
            faults.at(
                path,
                "backoff",
                format!("base_ms {} is above max_ms {}", b.base_ms, b.max_ms),
                "let base_ms be max_ms or less",
            );
        }
        if let (Some(one), Some(all)) = (t.attempt_timeout_ms, t.timeout_ms)
            && one > all
        {
            faults.at(
                path,
                "attempt_timeout_ms",
                format!("{one} ms is longer than the request's timeout_ms {all}"),
                "let one attempt take no longer than the request",
            );
        }
    }
    faults.faults
}

/// `p95` as 0.95.
fn quantile(text: &str) -> Option<f64> {
    let share: f64 = text.strip_prefix('p')?.parse().ok()?;
    (1.0..=99.99).contains(&share).then_some(share / 100.0)
}

/// The keys of a table that is sound in itself.
fn keys(t: &TableText) -> AttemptPolicy {
    let ends = |names: &Vec<String>| {
        let known = names
            .iter()
            .filter_map(|n| RETRYABLE_OUTCOMES.iter().find(|(name, _)| name == n));
        known.fold(OutcomeSet::default(), |all, (_, end)| all.with(*end))
    };
    let copy = |c: &super::text::SecondCopyText| {
        let after = match (c.after_ms, c.after.as_deref().and_then(quantile)) {
            (Some(ms), _) => HedgingDelay::Ms(ms),
            (None, share) => HedgingDelay::Quantile(share.unwrap_or(0.95)),
        };
        HedgingPolicy {
            after,
            ratio: c.ratio,
        }
    };
    AttemptPolicy {
        timeout_ms: t.timeout_ms,
        attempt_timeout_ms: t.attempt_timeout_ms,
        max_attempts: t.max_attempts,
        retry_on: t.retry_on.as_ref().map(ends),
        backoff: t.backoff.as_ref().map(|b| Backoff {
            base_ms: b.base_ms,
            max_ms: b.max_ms,
            jitter: b.jitter,
        }),
        budget: t
            .budget
            .as_ref()
            .map(|b| Arc::new(Budget::new(b.ratio, b.min_per_s, b.window_s * 1000.0))),
        hedging: t.second_copy.as_ref().map(copy),
    }
}

/// The policy of a file that was parsed, held against the platform's settings, after the faults found so far.
/// Errors: every fault, in the order of the file.
#[expect(clippy::too_many_lines, reason = "not split yet")]
pub(super) fn policy(
    text: &FileText,
    source: &str,
    known: &PlatformConstraints,
    earlier: Vec<Fault>,
) -> Result<Policy, Vec<Fault>> {
    let mut faults = Faults {
        source,
        faults: earlier,
        seen: HashSet::new(),
    };
    let class_at = |name: &str| known.classes.iter().position(|c| c.name == name);
    for name in text
        .attempts
        .class
        .keys()
        .filter(|name| class_at(name).is_none())
    {
        let mend = nearest(name, known.classes.iter().map(|c| c.name.as_str()));
        faults.at(
            &format!("attempts.class.{name}"),
            "",
            format!("{name:?} is no class of the settings"),
            mend,
        );
    }
    let all = tables(text);
    let default = keys(&text.attempts.default);
    let mut by_class: Vec<AttemptPolicy> = Vec::new();
    for class in &known.classes {
        let mut held = if class.not_idempotent {
            default.for_non_idempotent()
        } else {
            default.clone()
        };
        text.attempts
            .class
            .get(&class.name)
            .iter()
            .for_each(|own| held.override_with(&keys(own)));
        by_class.push(held);
    }
    let route_tables: Vec<&Table<'_>> = all.iter().filter(|t| t.kind == Kind::Route).collect();
    let mut routes = Vec::new();
    for table in &route_tables {
        let matches = matches(table, known, &mut faults);
        routes.push(Route {
            name: table.text.name.clone().unwrap_or_default(),
            matches,
            policy: keys(table.text),
        });
    }
    for table in all.iter().filter(|t| t.kind != Kind::Route) {
        let own = keys(table.text);
        for (at, class) in known.classes.iter().enumerate() {
            if table.kind == Kind::Default || table.path == format!("attempts.class.{}", class.name)
            {
                against(table, &own, &by_class[at], class, known, &mut faults);
            }
        }
    }
    for (table, route) in route_tables.iter().zip(&routes) {
        for (at, class) in known.classes.iter().enumerate() {
            if route.matches.class.as_ref().is_none_or(|c| c.contains(&at)) {
                let mut held = by_class[at].clone();
                held.override_with(&route.policy);
                against(table, &route.policy, &held, class, known, &mut faults);
            }
        }
    }
    if faults.faults.is_empty() {
        let classes = known.classes.iter().map(|c| {
            (
                c.name.clone(),
                c.not_idempotent,
                text.attempts.class.get(&c.name).map(keys),
            )
        });
        match Policy::new(default, classes.collect(), routes, known.members.clone()) {
            Ok(policy) => return Ok(policy),
            Err(between) => between
                .into_iter()
                .for_each(|fault| route_fault(fault, &all, &mut faults)),
        }
    }
    super::sorted(faults.faults).map(|()| Policy::default())
}

/// What a route matches, by positions; unknown names are faults.
fn matches(table: &Table<'_>, known: &PlatformConstraints, faults: &mut Faults<'_>) -> RouteMatch {
    let Some(m) = &table.text.matches else {
        return RouteMatch::default();
    };
    let mut by_name = |key: &str, names: &Option<Vec<String>>, among: Vec<&str>| {
        names.as_ref().map(|names| {
            let mut set = BTreeSet::new();
            for name in names {
                match among.iter().position(|n| n == name) {
                    Some(at) => {
                        set.insert(at);
                    }
                    None => faults.at(
                        &table.path,
                        &format!("match.{key}"),
                        format!("{name:?} is no {key} of the settings"),
                        nearest(name, among.iter().copied()),
                    ),
                }
            }
            set
        })
    };
    let class = by_name(
        "class",
        &m.class,
        known.classes.iter().map(|c| c.name.as_str()).collect(),
    );
    let member = by_name(
        "member",
        &m.member,
        known.members.iter().map(String::as_str).collect(),
    );
    let front = m.front.as_ref().map(|f| {
        f.names()
            .iter()
            .filter_map(|name| {
                FRONTS
                    .iter()
                    .find(|(n, _)| n == name)
                    .map(|(_, front)| *front)
            })
            .collect()
    });
    let data_set = m
        .data_set
        .as_ref()
        .map(|sets| sets.iter().copied().collect());
    RouteMatch {
        class,
        member,
        frontend: front,
        data_set,
    }
}

/// The faults of one table's own keys, for one class that it reaches, with `held` all that holds there.
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn against(
    table: &Table<'_>,
    own: &AttemptPolicy,
    held: &AttemptPolicy,
    class: &ClassConstraints,
    known: &PlatformConstraints,
    faults: &mut Faults<'_>,
) {
    let (path, name) = (table.path.as_str(), class.name.as_str());
    let narrow = table.kind != Kind::Default;
    if own.hedging.is_some() && !known.parallel_attempts_allowed {
        faults.at(
            path,
            "second_copy",
            "the platform's settings allow one attempt out at a time (limits.parallelTries)",
            "remove second_copy",
        );
    } else if own.hedging.is_some() && class.not_idempotent && narrow {
        faults.at(
            path,
            "second_copy",
            format!("class {name} may run once only, and a second copy could run it twice"),
            "remove second_copy, or narrow the route to other classes",
        );
    } else if own.hedging.is_some() {
        // Guard: a key that the core does not carry out would be a promise that nothing keeps.
        faults.at(
            path,
            "second_copy",
            "this version sends no second copies yet",
            "remove second_copy",
        );
    }
    if let Some(ends) = own.retry_on.filter(|_| class.not_idempotent && narrow) {
        let ran: Vec<&str> = ends.names_that_may_have_run().collect();
        if !ran.is_empty() {
            let what = format!(
                "class {name} may run once only, and after {} it may have run",
                ran.join(", ")
            );
            faults.at(
                path,
                "retry_on",
                what,
                "name only no-connection, full and never-sent for it",
            );
        }
    }
    let request = held
        .timeout_ms
        .unwrap_or(class.client_timeout_ms)
        .min(class.client_timeout_ms);
    if let Some(ms) = own.timeout_ms.filter(|ms| *ms > class.client_timeout_ms) {
        let what = format!(
            "{ms} ms is longer than the give-up time of class {name}, {} ms",
            class.client_timeout_ms
        );
        faults.at(
            path,
            "timeout_ms",
            what,
            format!("set {} or less", class.client_timeout_ms),
        );
    }
    if let Some(one) = held.attempt_timeout_ms.filter(|one| *one > request)
        && (own.attempt_timeout_ms.is_some() || own.timeout_ms.is_some())
    {
        let what = format!(
            "one attempt may take {one} ms, longer than a request of class {name} may, {request} ms"
        );
        faults.at(
            path,
            "attempt_timeout_ms",
            what,
            format!("set {request} or less"),
        );
    }
    if let Some(most) = own.max_attempts.filter(|most| *most > known.max_attempts) {
        let what = format!(
            "{most} attempts are more than the platform allows, {}",
            known.max_attempts
        );
        faults.at(
            path,
            "max_attempts",
            what,
            format!("set {} or less", known.max_attempts),
        );
    }
    let attempts = held
        .max_attempts
        .unwrap_or(known.max_attempts)
        .min(known.max_attempts);
    if let Some(wait) = held
        .backoff
        .map(|b| b.all_ms(attempts))
        .filter(|wait| *wait >= request)
        && (own.backoff.is_some() || own.max_attempts.is_some() || own.timeout_ms.is_some())
    {
        let what = format!("{attempts} attempts of class {name} wait {wait} ms between them alone");
        faults.at(
            path,
            "backoff",
            format!("{what}, and the request has {request} ms"),
            "shorten the waits or allow fewer attempts",
        );
    }
}

/// A fault between routes, with the line of the route that it names last.
fn route_fault(fault: RouteError, all: &[Table<'_>], faults: &mut Faults<'_>) {
    let path_of = |name: &str| {
        all.iter()
            .find(|t| t.kind == Kind::Route && t.text.name.as_deref() == Some(name))
            .map(|t| t.path.clone())
    };
    let what = fault.to_string();
    let (path, mend) = match &fault {
        RouteError::Empty(name) => (path_of(name), "name what it is to match"),
        RouteError::Disagree(_, b, _) => {
            (path_of(b), "let one route lie within the other, or agree")
        }
        RouteError::TooMany(_) => (None, "leave some values out"),
    };
    let what = what.split("; ").next().unwrap_or(&what).to_owned();
    faults.at(
        &path.unwrap_or_else(|| "attempts.route".to_owned()),
        "",
        what,
        mend,
    );
}
