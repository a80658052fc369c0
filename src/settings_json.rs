//! Parses the platform's settings from JSON into the types of the dispatcher and of the programs
//! that run it. The simulator's adapter and the workload manager share this module, so both give
//! the dispatcher the same values.
//!
//! [`json`] defines the format of the text, with the platform's names. This module checks the
//! values and converts them.

mod error;
mod json;

pub use error::ParseSettingsError;

use crate::decision::{Class, DedupScope, Idempotency, LoadReportMode, RetryBudget, Settings};
use json::{ClassJson, SettingsJson, SpecificsJson};
use std::sync::Arc;

/// Maximum memory grant, in MB, if the settings give the memory of no machine type.
const UNLIMITED_MEMORY_GRANT_MB: f64 = 1e6;

/// A class with its name. A request keeps its class until it ends, even if the settings change in
/// the meantime.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClass {
    /// The name by which clients and engines refer to the class.
    pub name: String,
    /// The settings of the class.
    pub class: Class,
}

/// The settings of the dispatcher, and further settings for the programs that run it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The dispatcher's settings.
    pub settings: Settings,
    /// Names of the fields of a load report, in order.
    pub load_report_fields: Vec<String>,
    /// Whether engines report in their answers the work and memory that a query needed.
    pub answers_report_work: bool,
    /// Classes with their names, in the order of the settings.
    pub classes: Vec<Arc<NamedClass>>,
    /// Tenant names, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zone names, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of machine types, in the order of the settings.
    pub machine_types: Vec<String>,
    /// Maximum time to set up a connection to an engine, in ms.
    pub connect_timeout_ms: f64,
    /// Engines close a connection that has been idle for this time, in ms.
    pub engine_idle_timeout_ms: f64,
    /// Maximum number of attempts in flight on one engine connection.
    pub attempts_per_connection: usize,
    /// Maximum memory that any engine grants one query, in MB.
    pub max_memory_grant_mb: f64,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Whether a request may have two attempts in flight at once.
    pub parallel_attempts_allowed: bool,
}

/// Parses the settings from JSON.
///
/// # Errors
///
/// The text is not JSON of the expected format, or one of its values is invalid.
pub fn parse(text: &[u8]) -> Result<PlatformSettings, ParseSettingsError> {
    let json: SettingsJson = serde_json::from_slice(text)?;
    check_bounds(&json)?;
    let settings = dispatcher_settings(&json)?;
    settings.check()?;
    let max_memory_grant_mb = max_memory_grant_mb(&json.specifics);
    let limits = json.limits;
    Ok(PlatformSettings {
        load_report_fields: json.report.fields,
        answers_report_work: json.specifics.answers_report_work,
        classes: classes_with_names(&settings),
        settings,
        tenants: json.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: json.zones,
        machine_types: json.machine_types,
        connect_timeout_ms: limits.connect_timeout_ms,
        engine_idle_timeout_ms: limits.engine_idle_timeout_ms,
        attempts_per_connection: limits.attempts_per_connection.max(1),
        max_memory_grant_mb,
        max_open_requests: limits.max_open_requests.max(1),
        parallel_attempts_allowed: limits.parallel_attempts_allowed,
    })
}

/// Rejects settings under which every request of a class would end at once, because its time is not
/// above 0 or its maximum number of attempts is below 1.
fn check_bounds(json: &SettingsJson) -> Result<(), ParseSettingsError> {
    for (class, times) in json.classes.iter().enumerate() {
        for milliseconds in [times.client_timeout_ms, times.latency_objective_ms] {
            if milliseconds <= 0.0 {
                return Err(ParseSettingsError::NonPositiveTime {
                    class,
                    milliseconds,
                });
            }
        }
    }
    if json.limits.max_attempts < 1.0 {
        return Err(ParseSettingsError::TooFewAttempts(json.limits.max_attempts));
    }
    Ok(())
}

fn dispatcher_settings(json: &SettingsJson) -> Result<Settings, ParseSettingsError> {
    let classes = json
        .classes
        .iter()
        .enumerate()
        .map(|(position, class)| dispatcher_class(position, class, &json.specifics))
        .collect::<Result<Vec<_>, _>>()?;
    let (guarantees, limits, specifics) = (&json.guarantees, &json.limits, &json.specifics);
    Ok(Settings {
        instances: json.instances,
        ordinal: json.ordinal,
        classes,
        class_names: json.classes.iter().map(|c| c.name.clone()).collect(),
        machine_type_cores: specifics.machine_type_cores.clone(),
        memory_grants_supported: specifics.memory_grants_supported,
        progress_interval_ms: specifics.progress_interval_ms,
        tenant_quotas_per_s: json.tenants.iter().map(|t| t.quota_per_s).collect(),
        zone: json.zone,
        cross_zone_cost: json.charges.cross_zone,
        must_poll_list: json.discovery == "ask",
        max_attempts: limits.max_attempts as u32,
        cancellation_allowed: limits.cancellation_allowed,
        health_checks_allowed: limits.health_checks_allowed,
        max_retry_after_ms: if limits.retry_after_allowed {
            limits.max_retry_after_ms
        } else {
            0.0
        },
        load_reports: load_report_mode(&json.report.mode),
        slow_start_initial_share: guarantees.slow_start_initial_share,
        slow_start_ms: guarantees.slow_start_ms,
        overload_multiple: guarantees.overload_multiple,
        overload_window_ms: guarantees.overload_window_ms,
        order_key_pause_ms: guarantees.order_key_pause_ms,
        retry_budget: retry_budget(guarantees)?,
    })
}

/// Converts a class, with the values at its position in the lists of `specifics`.
fn dispatcher_class(
    position: usize,
    class: &ClassJson,
    specifics: &SpecificsJson,
) -> Result<Class, ParseSettingsError> {
    let flag = |flags: &[bool]| flags.get(position).copied().unwrap_or(false);
    let threads = specifics.class_threads.get(position);
    Ok(Class {
        priority_weight: class.priority_weight,
        late_weight_factor: class.late_weight_factor,
        latency_objective_ms: class.latency_objective_ms,
        objective_work_factor: class.objective_work_factor,
        client_timeout_ms: class.client_timeout_ms,
        threads: threads.copied().unwrap_or(1),
        idempotency: idempotency(position, class)?,
        dedup_window_ms: class.dedup_window_ms,
        ordered_by_key: class.ordered_by_key,
        is_bulk_load: flag(&specifics.class_is_bulk_load),
        waits_for_bulk_loads: flag(&specifics.class_waits_for_bulk_loads),
        allowed_zones: class.allowed_zones.clone(),
        allowed_machine_types: class.allowed_machine_types.clone(),
    })
}

fn idempotency(position: usize, class: &ClassJson) -> Result<Idempotency, ParseSettingsError> {
    match (class.effect.as_str(), class.dedup_scope.as_str()) {
        ("repeatable", _) => Ok(Idempotency::Idempotent),
        ("once", _) => Ok(Idempotency::NonIdempotent),
        ("by_key", "all") => Ok(Idempotency::WithKey(DedupScope::All)),
        ("by_key", "zone") => Ok(Idempotency::WithKey(DedupScope::Zone)),
        ("by_key", "cell") => Ok(Idempotency::WithKey(DedupScope::Cell)),
        (effect, scope) => Err(ParseSettingsError::UnknownEffect {
            class: position,
            effect: effect.to_owned(),
            scope: scope.to_owned(),
        }),
    }
}

fn retry_budget(
    guarantees: &json::GuaranteesJson,
) -> Result<Option<RetryBudget>, ParseSettingsError> {
    let (free, ratio) = (guarantees.free_retries, guarantees.retries_per_request);
    match guarantees.retry_window_ms {
        Some(window_ms) if free.is_some() || ratio.is_some() => Ok(Some(RetryBudget {
            free_retries: free.unwrap_or(0.0),
            retries_per_request: ratio.unwrap_or(0.0),
            window_ms,
        })),
        None if free.is_some() || ratio.is_some() => Err(ParseSettingsError::BudgetWithoutWindow),
        _ => Ok(None),
    }
}

fn load_report_mode(text: &str) -> LoadReportMode {
    match text {
        "inline" => LoadReportMode::Inline,
        "on_probe" => LoadReportMode::OnHealthCheck,
        _ => LoadReportMode::Off,
    }
}

/// Returns the maximum memory, in MB, that any machine type grants one query.
fn max_memory_grant_mb(specifics: &SpecificsJson) -> f64 {
    let memories = specifics.machine_type_memory_mb.iter().copied();
    let largest_mb = memories.fold(0.0, f64::max);
    let grant_mb = largest_mb * specifics.max_grant_share.clamp(0.0, 1.0);
    if grant_mb >= 1.0 {
        grant_mb
    } else {
        UNLIMITED_MEMORY_GRANT_MB
    }
}

fn classes_with_names(settings: &Settings) -> Vec<Arc<NamedClass>> {
    let named = |(name, class): (&String, &Class)| {
        Arc::new(NamedClass {
            name: name.clone(),
            class: class.clone(),
        })
    };
    let classes = settings.class_names.iter().zip(&settings.classes);
    classes.map(named).collect()
}
