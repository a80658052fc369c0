//! The settings object, from its JSON words to the library's. The simulator's adapter and the real program
//! share it, so that both run the module on the same figures.

use crate::decision::{Class, DedupScope, Idempotency, LoadReportMode, RetryBudget, Settings};
use serde::Deserialize;
use std::sync::Arc;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Setup {
    n_instances: u32,
    #[serde(default)]
    ordinal: u32,
    classes: Vec<ClassText>,
    #[serde(default)]
    discovery: String,
    guarantees: Guarantees,
    limits: Limits,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    az: u8,
    #[serde(default)]
    charges: Charges,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    shapes: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Charges {
    #[serde(default)]
    cross_zone: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassText {
    #[serde(default)]
    name: String,
    #[serde(default)]
    aim_stretch: f64,
    promise_ms: f64,
    give_up_ms: f64,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    fifo_by_key: bool,
    #[serde(default)]
    late_worth: f64,
    runs_on: Option<Vec<u16>>,
    confined_to: Option<Vec<u8>>,
    #[serde(default)]
    memory_span_ms: f64,
    #[serde(default = "one")]
    points: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Guarantees {
    cold_ms: f64,
    cold_share: f64,
    #[serde(default)]
    order_pause_ms: f64,
    overload_for_ms: f64,
    tip_multiple: f64,
    extra_free: Option<f64>,
    further_ratio: Option<f64>,
    extra_window_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    attempts_cap: f64,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default = "connect_timeout")]
    connect_timeout_ms: f64,
    #[serde(default = "conn_idle")]
    conn_idle_ms: f64,
    #[serde(default = "streams")]
    streams_per_conn: usize,
    #[serde(default = "max_open")]
    max_open: usize,
    #[serde(default)]
    parallel_tries: bool,
}

fn connect_timeout() -> f64 {
    250.0
}

fn conn_idle() -> f64 {
    15_000.0
}

fn streams() -> usize {
    100
}

fn max_open() -> usize {
    20_000
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Report {
    #[serde(default)]
    how: String,
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Specifics {
    #[serde(default)]
    bills: bool,
    #[serde(default)]
    class_threads: Vec<u32>,
    #[serde(default)]
    size_cores: Vec<f64>,
    #[serde(default)]
    class_load: Vec<bool>,
    #[serde(default)]
    waits_for_loads: Vec<bool>,
    #[serde(default)]
    takes_grants: bool,
    #[serde(default)]
    kind_memory_mb: Vec<f64>,
    #[serde(default = "one")]
    max_grant_share: f64,
    #[serde(default)]
    progress_ms: f64,
}

/// A class with its name, as a request holds it from its arrival to its end, whatever settings come meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClass {
    /// The clients' and the engines' name for it.
    pub name: String,
    /// What the settings said of it.
    pub class: Class,
}

/// Settings for the library, and what its hosts need besides.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the values of a load report, in order.
    pub load_report_fields: Vec<String>,
    /// Answers tell the work and memory that a query needed.
    pub answers_report_work: bool,
    /// Classes with their names, by position.
    pub classes: Vec<Arc<NamedClass>>,
    /// Tenant names, by position.
    pub tenants: Vec<String>,
    /// Zone names, by position.
    pub zones: Vec<String>,
    /// Names of machine kinds, by position.
    pub machine_types: Vec<String>,
    /// A connection that is not up within this time has failed.
    pub connect_timeout_ms: f64,
    /// Engines close connections that idle this long.
    pub engine_idle_timeout_ms: f64,
    /// Attempts that one connection carries at once.
    pub attempts_per_connection: usize,
    /// Most memory that any engine grants one query, in MB.
    pub max_memory_grant_mb: f64,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// A request may have two attempts out at once.
    pub parallel_attempts_allowed: bool,
}

/// Reads a settings message.
#[expect(
    clippy::similar_names,
    clippy::too_many_lines,
    reason = "not split yet"
)]
pub fn parse(text: &[u8]) -> Result<PlatformSettings, String> {
    let s: Setup = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    // Guard: with no time, or no attempt at all, every request of the class would end at once.
    if s.classes
        .iter()
        .any(|c| c.give_up_ms <= 0.0 || c.promise_ms <= 0.0)
    {
        return Err("settings: a deadline that is not above 0".to_owned());
    }
    if s.limits.attempts_cap < 1.0 {
        return Err("settings: a number of attempts that is not above 0".to_owned());
    }
    let mut classes = Vec::new();
    for (i, c) in s.classes.iter().enumerate() {
        let effect = match (c.effect.as_str(), c.dedup_scope.as_str()) {
            ("repeatable", _) => Idempotency::Idempotent,
            ("once", _) => Idempotency::NonIdempotent,
            ("by_key", "all") => Idempotency::WithKey(DedupScope::All),
            ("by_key", "zone") => Idempotency::WithKey(DedupScope::Zone),
            ("by_key", "cell") => Idempotency::WithKey(DedupScope::Cell),
            (effect, scope) => {
                return Err(format!(
                    "settings: class {i} has effect {effect:?}, scope {scope:?}"
                ));
            }
        };
        classes.push(Class {
            priority_weight: c.points,
            late_weight_factor: c.late_worth,
            latency_objective_ms: c.promise_ms,
            objective_work_factor: c.aim_stretch,
            client_timeout_ms: c.give_up_ms,
            threads: s.specifics.class_threads.get(i).copied().unwrap_or(1),
            idempotency: effect,
            dedup_window_ms: c.memory_span_ms,
            ordered_by_key: c.fifo_by_key,
            is_bulk_load: s.specifics.class_load.get(i).copied().unwrap_or(false),
            waits_for_bulk_loads: s.specifics.waits_for_loads.get(i).copied().unwrap_or(false),
            allowed_zones: c.confined_to.clone(),
            allowed_machine_types: c.runs_on.clone(),
        });
    }
    let g = &s.guarantees;
    let extra = match (g.extra_free, g.further_ratio, g.extra_window_ms) {
        (None, None, _) => None,
        (free, ratio, Some(window_ms)) => Some(RetryBudget {
            free_retries: free.unwrap_or(0.0),
            retries_per_request: ratio.unwrap_or(0.0),
            window_ms,
        }),
        _ => return Err("settings: a budget of further attempts without its window".to_owned()),
    };
    let reports = match s.report.how.as_str() {
        "inline" => LoadReportMode::Inline,
        "on_probe" => LoadReportMode::OnHealthCheck,
        _ => LoadReportMode::Off,
    };
    let largest = s
        .specifics
        .kind_memory_mb
        .iter()
        .copied()
        .fold(0.0, f64::max);
    let grant_mb = largest * s.specifics.max_grant_share.clamp(0.0, 1.0);
    let names: Vec<String> = s.classes.iter().map(|c| c.name.clone()).collect();
    let named = |(name, class): (&String, &Class)| NamedClass {
        name: name.clone(),
        class: class.clone(),
    };
    let classes_named = names
        .iter()
        .zip(&classes)
        .map(named)
        .map(Arc::new)
        .collect();
    let settings = Settings {
        instances: s.n_instances,
        ordinal: s.ordinal,
        classes,
        class_names: names,
        machine_type_cores: s.specifics.size_cores,
        memory_grants_supported: s.specifics.takes_grants,
        progress_interval_ms: s.specifics.progress_ms,
        tenant_quotas_per_s: s.tenants.iter().map(|t| t.quota_per_s).collect(),
        zone: s.az,
        cross_zone_cost: s.charges.cross_zone,
        must_poll_list: s.discovery == "ask",
        max_attempts: s.limits.attempts_cap as u32,
        cancellation_allowed: s.limits.cancel,
        health_checks_allowed: s.limits.may_probe,
        max_retry_after_ms: if s.limits.retry_after {
            s.limits.max_retry_after_ms
        } else {
            0.0
        },
        load_reports: reports,
        slow_start_initial_share: g.cold_share,
        slow_start_ms: g.cold_ms,
        overload_multiple: g.tip_multiple,
        overload_window_ms: g.overload_for_ms,
        order_key_pause_ms: g.order_pause_ms,
        retry_budget: extra,
    };
    settings.check().map_err(|e| e.to_string())?;
    Ok(PlatformSettings {
        settings,
        load_report_fields: s.report.names,
        answers_report_work: s.specifics.bills,
        classes: classes_named,
        tenants: s.tenants.into_iter().map(|t| t.name).collect(),
        zones: s.zones,
        machine_types: s.shapes,
        connect_timeout_ms: s.limits.connect_timeout_ms,
        engine_idle_timeout_ms: s.limits.conn_idle_ms,
        attempts_per_connection: s.limits.streams_per_conn.max(1),
        max_memory_grant_mb: if grant_mb >= 1.0 { grant_mb } else { 1e6 },
        max_open_requests: s.limits.max_open.max(1),
        parallel_attempts_allowed: s.limits.parallel_tries,
    })
}
