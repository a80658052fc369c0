//! The dispatcher's settings: request classes, service guarantees of the platform, and limits.

use super::{EngineEntry, EngineSharing, Millis};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Engines drop repeats of the request for [`Class::dedup_window_ms`].
    WithKey(DedupScope),
    /// The request must not run more than once.
    NonIdempotent,
}

/// The engines that share one record of idempotency keys: each drops repeats of a request that
/// another has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Priority weight that a request earns if it is answered within its latency objective.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency objective still earns.
    pub late_weight_factor: f64,
    /// Fixed part of the latency objective. `objective_work_factor` times the request's work
    /// divided by its threads is added to it.
    pub latency_objective_ms: Millis,
    /// Time in ms that is added to the latency objective for each ms of the request's work divided
    /// by its threads.
    pub objective_work_factor: f64,
    /// Total time that a client waits for an answer.
    pub client_timeout_ms: Millis,
    /// Threads that a query runs on.
    pub threads: u32,
    /// Whether repeats are safe, and on which engines.
    pub idempotency: Idempotency,
    /// Time for which engines drop repeats, counted from the sending of the first attempt that may
    /// have run.
    pub dedup_window_ms: Millis,
    /// Whether requests with the same order key run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// Whether a query of this class writes in bulk and locks its data set on its engine until it
    /// ends.
    pub is_bulk_load: bool,
    /// Whether a query of this class waits while a bulk load locks its data set on its engine.
    pub waits_for_bulk_loads: bool,
    /// Zones whose engines the class may use; `None` allows all.
    pub allowed_zones: Option<Vec<u8>>,
    /// Machine types that the class may use; `None` allows all.
    pub allowed_machine_types: Option<Vec<u16>>,
}

/// A limit on the retries within a sliding time window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that every window allows, whatever its number of requests.
    pub free_retries: f64,
    /// Additional retries for each request of the window.
    pub retries_per_request: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    /// Engines send no load reports.
    #[default]
    Off,
    /// Every answer and every health check carries a load report.
    Inline,
    /// Only health checks carry a load report.
    OnHealthCheck,
}

/// The settings of one workload manager.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of workload managers in the fleet.
    pub instances: u32,
    /// This manager's number among them, from 0.
    pub ordinal: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Names of the classes, in the order of `classes`. The classes of old and new settings are
    /// matched by name.
    pub class_names: Vec<String>,
    /// Number of cores of each machine type.
    pub machine_type_cores: Vec<f64>,
    /// Whether engines honour a memory grant.
    pub memory_grants_supported: bool,
    /// Time between progress reports; 0 for none.
    pub progress_interval_ms: Millis,
    /// Quota of each tenant in requests per second, over all managers; empty if there are no
    /// tenants.
    pub tenant_quotas_per_s: Vec<f64>,
    /// This manager's zone.
    pub zone: u8,
    /// Cost of a cross-zone attempt, as a share of the total priority weight.
    pub cross_zone_cost: f64,
    /// Whether the manager has to poll the endpoint list to get it.
    pub must_poll_list: bool,
    /// Maximum number of attempts of a request, the first included.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
    /// Longest `Retry-After` that clients honour; 0 if they get none.
    pub max_retry_after_ms: Millis,
    /// Where load reports come from.
    pub load_reports: LoadReportMode,
    /// Minimum share of its capacity that an engine has at the beginning of its slow start.
    pub slow_start_initial_share: f64,
    /// Longest duration of a slow start.
    pub slow_start_ms: Millis,
    /// An engine in slow start fails if it gets more than this multiple of its present capacity
    /// within `overload_window_ms`.
    pub overload_multiple: f64,
    /// Length of the time window to which `overload_multiple` applies.
    pub overload_window_ms: Millis,
    /// Time for which an order key is paused after an attempt that may still run.
    pub order_key_pause_ms: Millis,
    /// The retry budget; `None` sets no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// Why settings are unusable.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings contain no request class.
    #[error("settings contain no request class")]
    NoClasses,
    /// The number of workload managers is 0.
    #[error("settings contain no workload manager instance")]
    NoInstances,
    /// A value is negative, not finite or otherwise outside its range.
    #[error("settings contain a value out of range: {setting} is {value}")]
    ValueOutOfRange {
        /// Name of the setting's field.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
}

/// A setting's field name and its value, which has to be finite and not negative.
type NamedValue = (&'static str, f64);

impl Class {
    fn named_values(&self) -> [NamedValue; 6] {
        [
            ("latency_objective_ms", self.latency_objective_ms),
            ("objective_work_factor", self.objective_work_factor),
            ("client_timeout_ms", self.client_timeout_ms),
            ("dedup_window_ms", self.dedup_window_ms),
            ("priority_weight", self.priority_weight),
            ("late_weight_factor", self.late_weight_factor),
        ]
    }
}

impl RetryBudget {
    fn named_values(&self) -> [NamedValue; 3] {
        [
            ("free_retries", self.free_retries),
            ("retries_per_request", self.retries_per_request),
            ("window_ms", self.window_ms),
        ]
    }
}

/// Checks that a value is finite and not negative.
fn check_value((setting, value): NamedValue) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::ValueOutOfRange { setting, value })
    }
}

impl Settings {
    /// Checks that the settings are usable.
    ///
    /// # Errors
    ///
    /// Returns the first fault that it finds.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.instances == 0 {
            return Err(SettingsError::NoInstances);
        }
        for class in &self.classes {
            class.named_values().into_iter().try_for_each(check_value)?;
            if class.threads == 0 {
                return Err(SettingsError::ValueOutOfRange {
                    setting: "threads",
                    value: 0.0,
                });
            }
        }
        self.named_values().into_iter().try_for_each(check_value)?;
        let budget = self.retry_budget.iter();
        budget
            .flat_map(RetryBudget::named_values)
            .try_for_each(check_value)?;
        let quotas = self.tenant_quotas_per_s.iter();
        quotas
            .map(|quota| ("tenant_quotas_per_s", *quota))
            .try_for_each(check_value)?;
        let cores = self.machine_type_cores.iter();
        cores
            .map(|cores| ("machine_type_cores", *cores))
            .try_for_each(check_value)
    }

    fn named_values(&self) -> [NamedValue; 8] {
        [
            ("slow_start_initial_share", self.slow_start_initial_share),
            ("slow_start_ms", self.slow_start_ms),
            ("overload_multiple", self.overload_multiple),
            ("overload_window_ms", self.overload_window_ms),
            ("order_key_pause_ms", self.order_key_pause_ms),
            ("max_retry_after_ms", self.max_retry_after_ms),
            ("progress_interval_ms", self.progress_interval_ms),
            ("cross_zone_cost", self.cross_zone_cost),
        ]
    }

    /// Threads of the class whose queries run on the most threads, at least 1.
    pub fn max_class_threads(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| f64::from(class.threads))
            .fold(1.0, f64::max)
    }

    /// The workload managers that use an engine; all of them if its list entry does not limit them.
    pub fn sharing(&self, entry: &EngineEntry) -> EngineSharing {
        let all_managers = EngineSharing {
            mean_managers: f64::from(self.instances),
            max_managers: self.instances,
            rank: self.ordinal,
        };
        entry.sharing.unwrap_or(all_managers)
    }

    /// The position of the class with this name, if its settings equal those of `class`.
    pub fn class_position(&self, name: &str, class: &Class) -> Option<usize> {
        self.class_names
            .iter()
            .zip(&self.classes)
            .position(|(other_name, other)| other_name == name && other == class)
    }

    /// Prepares these settings to replace `old`. Old classes that are still in use and are missing
    /// here are appended. `is_used` returns whether the class at a position in `old` is still in
    /// use.
    pub fn replacing(
        mut self,
        old: &Settings,
        is_used: impl Fn(usize) -> bool,
    ) -> ReplacedSettings {
        let mut class_positions = Vec::new();
        for (old_position, (name, class)) in old.class_names.iter().zip(&old.classes).enumerate() {
            let position = self
                .class_position(name, class)
                .unwrap_or(self.classes.len());
            class_positions.push(position);
            if position == self.classes.len() && is_used(old_position) {
                self.class_names.push(name.clone());
                self.classes.push(class.clone());
            }
        }
        ReplacedSettings {
            settings: self,
            class_positions,
        }
    }
}

/// Settings that replace older ones.
pub struct ReplacedSettings {
    /// The new settings, with the old classes that are still in use appended.
    pub settings: Settings,
    /// For each class of the old settings, its position in the new ones. Valid only for classes
    /// that are in use.
    pub class_positions: Vec<usize>,
}
