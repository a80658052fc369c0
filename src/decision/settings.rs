//! The settings of the decisions: request classes, what the platform guarantees, and limits.

use super::{EngineEntry, EngineSharing, Millis};

/// How safe a repeat of a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Engines drop repeats for a while.
    WithKey(DedupScope),
    /// Must not run more than once.
    NonIdempotent,
}

/// The engines that drop repeats of a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Weight of one request answered in time.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency objective keeps.
    pub late_weight_factor: f64,
    /// Latency objective, to which `objective_work_factor` times work over threads is added.
    pub latency_objective_ms: Millis,
    /// Growth of the latency objective by the request's work over its threads.
    pub objective_work_factor: f64,
    /// Time that a client waits in all.
    pub client_timeout_ms: Millis,
    /// Threads a query runs on.
    pub threads: u32,
    /// Whether and where repeats do no harm.
    pub idempotency: Idempotency,
    /// For how long engines drop repeats, from the send of the first attempt that may have run.
    pub dedup_window_ms: Millis,
    /// Requests with one key run one at a time, in order.
    pub ordered_by_key: bool,
    /// It locks its data set on its engine until it ends.
    pub is_bulk_load: bool,
    /// It waits while a bulk load locks its data set on its engine.
    pub waits_for_bulk_loads: bool,
    /// The only zones allowed, if there are such bounds.
    pub allowed_zones: Option<Vec<u8>>,
    /// The only machine types allowed, if there are such bounds.
    pub allowed_machine_types: Option<Vec<u16>>,
}

/// A budget of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that any window allows.
    pub free_retries: f64,
    /// Retries allowed in addition for each request of the window.
    pub retries_per_request: f64,
    /// The window's length.
    pub window_ms: Millis,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    /// Nowhere.
    #[default]
    Off,
    /// With every answer and health check.
    Inline,
    /// With health checks only.
    OnHealthCheck,
}

/// The settings of one workload manager.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Workload managers in this tier.
    pub instances: u32,
    /// This manager's place among them, from 0.
    pub ordinal: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Names of the classes, by which new settings find them.
    pub class_names: Vec<String>,
    /// Cores of each machine type.
    pub machine_type_cores: Vec<f64>,
    /// Engines heed a memory grant.
    pub memory_grants_supported: bool,
    /// Time between progress reports; 0 for none.
    pub progress_interval_ms: Millis,
    /// Requests a second within each tenant's quota, over all managers; empty where there are no tenants.
    pub tenant_quotas_per_s: Vec<f64>,
    /// This manager's zone.
    pub zone: u8,
    /// Cost of a cross-zone attempt, in shares of all weight.
    pub cross_zone_cost: f64,
    /// The endpoint list comes only to those that poll it.
    pub must_poll_list: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Health checks may be sent.
    pub health_checks_allowed: bool,
    /// Longest `Retry-After` that clients honour; 0 where they get none.
    pub max_retry_after_ms: Millis,
    /// Where load reports come from.
    pub load_reports: LoadReportMode,
    /// An engine begins its slow start with this share of its capacity or more.
    pub slow_start_initial_share: f64,
    /// Longest time of a slow start.
    pub slow_start_ms: Millis,
    /// An engine in slow start that gets more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long fails.
    pub overload_window_ms: Millis,
    /// Pause of an order key after an attempt that may still run.
    pub order_key_pause_ms: Millis,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no request classes.
    #[error("settings name no request class")]
    NoClasses,
    /// There are no workload managers.
    #[error("settings name no workload manager instance")]
    NoInstances,
    /// A figure is negative, not finite or otherwise impossible.
    #[error("settings hold an impossible figure: {setting} is {value}")]
    ValueOutOfRange {
        /// The setting's field.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
}

/// A figure of the settings that has to be finite and not negative.
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

/// Checks that a figure is finite and not negative.
fn check_value((setting, value): NamedValue) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::ValueOutOfRange { setting, value })
    }
}

impl Settings {
    /// Checks that the figures are possible at all.
    ///
    /// # Errors
    ///
    /// Returns the first figure that is not.
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

    /// Threads of the widest class.
    pub fn max_class_threads(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| f64::from(class.threads))
            .fold(1.0, f64::max)
    }

    /// The workload managers that hold an engine.
    pub fn sharing(&self, entry: &EngineEntry) -> EngineSharing {
        let all_managers = EngineSharing {
            mean_managers: f64::from(self.instances),
            max_managers: self.instances,
            rank: self.ordinal,
        };
        entry.sharing.unwrap_or(all_managers)
    }

    /// The position of a class that has this name and is equal to this one.
    pub fn class_position(&self, name: &str, class: &Class) -> Option<usize> {
        self.class_names
            .iter()
            .zip(&self.classes)
            .position(|(other_name, other)| other_name == name && other == class)
    }

    /// These settings in place of `old`. The old classes that are still used and are not in these are added behind
    /// their own; `is_used` tells that of a position in `old`.
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

/// Settings that have replaced others.
pub struct ReplacedSettings {
    /// The new settings, with the old classes that are still used.
    pub settings: Settings,
    /// For each class of the old settings its position in the new ones; meaningful only for a class that is used.
    pub class_positions: Vec<usize>,
}
