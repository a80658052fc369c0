//! The JSON format of the settings. Fields are named as in this program, and attributes give the
//! platform's names. Keys that the platform may leave out have defaults.

use serde::Deserialize;

/// The whole settings.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SettingsJson {
    #[serde(rename = "nInstances")]
    pub(super) instances: u32,
    #[serde(default)]
    pub(super) ordinal: u32,
    pub(super) classes: Vec<ClassJson>,
    #[serde(default)]
    pub(super) discovery: String,
    pub(super) guarantees: GuaranteesJson,
    pub(super) limits: LimitsJson,
    #[serde(default)]
    pub(super) report: ReportJson,
    #[serde(default)]
    pub(super) specifics: SpecificsJson,
    #[serde(default)]
    pub(super) tenants: Vec<TenantJson>,
    #[serde(default, rename = "az")]
    pub(super) zone: u8,
    #[serde(default)]
    pub(super) charges: ChargesJson,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default, rename = "shapes")]
    pub(super) machine_types: Vec<String>,
}

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantJson {
    #[serde(default)]
    pub(super) name: String,
    #[serde(default)]
    pub(super) quota_per_s: f64,
}

/// Costs of requests in addition to their work.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
pub(super) struct ChargesJson {
    #[serde(default)]
    pub(super) cross_zone: f64,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassJson {
    #[serde(default)]
    pub(super) name: String,
    #[serde(default, rename = "aimStretch")]
    pub(super) objective_work_factor: f64,
    #[serde(rename = "promiseMs")]
    pub(super) latency_objective_ms: f64,
    #[serde(rename = "giveUpMs")]
    pub(super) client_timeout_ms: f64,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) dedup_scope: String,
    #[serde(default, rename = "fifoByKey")]
    pub(super) ordered_by_key: bool,
    #[serde(default, rename = "lateWorth")]
    pub(super) late_weight_factor: f64,
    #[serde(rename = "runsOn")]
    pub(super) allowed_machine_types: Option<Vec<u16>>,
    #[serde(rename = "confinedTo")]
    pub(super) allowed_zones: Option<Vec<u8>>,
    #[serde(default, rename = "memorySpanMs")]
    pub(super) dedup_window_ms: f64,
    #[serde(default = "one", rename = "points")]
    pub(super) priority_weight: f64,
}

/// Values that the platform guarantees, and the retry budget.
#[derive(Deserialize)]
pub(super) struct GuaranteesJson {
    #[serde(rename = "coldMs")]
    pub(super) slow_start_ms: f64,
    #[serde(rename = "coldShare")]
    pub(super) slow_start_initial_share: f64,
    #[serde(default, rename = "orderPauseMs")]
    pub(super) order_key_pause_ms: f64,
    #[serde(rename = "overloadForMs")]
    pub(super) overload_window_ms: f64,
    #[serde(rename = "tipMultiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "extraFree")]
    pub(super) free_retries: Option<f64>,
    #[serde(rename = "furtherRatio")]
    pub(super) retries_per_request: Option<f64>,
    #[serde(rename = "extraWindowMs")]
    pub(super) retry_window_ms: Option<f64>,
}

/// Limits of the platform, and the features that it allows.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LimitsJson {
    #[serde(rename = "attemptsCap")]
    pub(super) max_attempts: f64,
    #[serde(default, rename = "cancel")]
    pub(super) cancellation_allowed: bool,
    #[serde(default, rename = "mayProbe")]
    pub(super) health_checks_allowed: bool,
    #[serde(default, rename = "retryAfter")]
    pub(super) retry_after_allowed: bool,
    #[serde(default)]
    pub(super) max_retry_after_ms: f64,
    #[serde(default = "default_connect_timeout_ms")]
    pub(super) connect_timeout_ms: f64,
    #[serde(default = "default_engine_idle_timeout_ms", rename = "connIdleMs")]
    pub(super) engine_idle_timeout_ms: f64,
    #[serde(default = "default_attempts_per_connection", rename = "streamsPerConn")]
    pub(super) attempts_per_connection: usize,
    #[serde(default = "default_max_open_requests", rename = "maxOpen")]
    pub(super) max_open_requests: usize,
    #[serde(default, rename = "parallelTries")]
    pub(super) parallel_attempts_allowed: bool,
}

/// How engines report their load.
#[derive(Deserialize, Default)]
pub(super) struct ReportJson {
    #[serde(default, rename = "how")]
    pub(super) mode: String,
    #[serde(default, rename = "names")]
    pub(super) fields: Vec<String>,
}

/// Settings that are specific to one installation.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
pub(super) struct SpecificsJson {
    #[serde(default, rename = "bills")]
    pub(super) answers_report_work: bool,
    #[serde(default)]
    pub(super) class_threads: Vec<u32>,
    #[serde(default, rename = "sizeCores")]
    pub(super) machine_type_cores: Vec<f64>,
    #[serde(default, rename = "classLoad")]
    pub(super) class_is_bulk_load: Vec<bool>,
    #[serde(default, rename = "waitsForLoads")]
    pub(super) class_waits_for_bulk_loads: Vec<bool>,
    #[serde(default, rename = "takesGrants")]
    pub(super) memory_grants_supported: bool,
    #[serde(default, rename = "kindMemoryMb")]
    pub(super) machine_type_memory_mb: Vec<f64>,
    #[serde(default = "one")]
    pub(super) max_grant_share: f64,
    #[serde(default, rename = "progressMs")]
    pub(super) progress_interval_ms: f64,
}

fn one() -> f64 {
    1.0
}

fn default_connect_timeout_ms() -> f64 {
    250.0
}

fn default_engine_idle_timeout_ms() -> f64 {
    15_000.0
}

fn default_attempts_per_connection() -> usize {
    100
}

fn default_max_open_requests() -> usize {
    20_000
}
