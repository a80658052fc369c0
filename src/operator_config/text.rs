//! The form of the operators' file: TOML with `version = 1` and no unknown keys. The bounds of single values stand here,
//! checked by garde. The JSON Schema of `workload-manager schema` is derived from the same types: their doc comments are
//! its descriptions, so a changed comment changes `deploy/magpiechute.schema.json`.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The longest time that a key of the file may name, in ms: one hour.
pub const MAX_TIME_MS: f64 = 3_600_000.0;

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FileText")]
pub struct OperatorFile {
    /// The form of the file; 1 is the only one.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// What the program logs, and in what form.
    #[serde(default)]
    #[garde(dive)]
    pub log: LogTable,
    /// The Arrow Flight SQL front; off where it is left out.
    #[garde(skip)]
    pub flight: Option<crate::node_config::FlightFrontConfig>,
    /// The SNMP agent; off where it is left out.
    #[garde(skip)]
    pub snmp: Option<crate::node_config::SnmpAgentConfig>,
    /// Timeouts, retries and hedged requests.
    #[serde(default)]
    #[garde(dive)]
    pub attempts: AttemptTables,
}

/// What is logged, and in what form.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "LogText")]
pub struct LogTable {
    /// The lowest level that is logged: `error`, `warn`, `info` (the usual level), `debug`
    /// (one line for each decision about a request) or `trace`.
    #[serde(default)]
    #[garde(skip)]
    pub level: LogLevel,
    /// `text` lines, or one JSON object a line.
    #[serde(default)]
    #[garde(skip)]
    pub format: LogFormat,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "documented variants would change the form of the JSON Schema"
)]
#[schemars(rename = "Level")]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "documented variants would change the form of the JSON Schema"
)]
#[schemars(rename = "Format")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The tables of attempts.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "AttemptsText")]
pub struct AttemptTables {
    /// Keys of every request, unless the table of its class or a route sets them.
    #[serde(default)]
    #[garde(dive)]
    pub default: AttemptTable,
    /// By the name of a class in the platform's settings.
    #[serde(default)]
    #[garde(dive)]
    pub class: BTreeMap<String, AttemptTable>,
    /// Routes by member, class, front end and data set; a narrower route overrides a broader one.
    #[serde(default)]
    #[garde(dive)]
    pub route: Vec<AttemptTable>,
}

/// One table: the default, a class or a route. `name` and `match` belong to routes alone.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TableText")]
pub struct AttemptTable {
    /// A route's name, as faults and `POLICY` show it.
    #[garde(length(min = 1, max = 128))]
    pub name: Option<String>,
    /// The requests that a route matches; a list that is left out matches all.
    #[serde(rename = "match")]
    #[garde(dive)]
    pub matches: Option<MatchTable>,
    /// Longest time of the request, in ms, from its acceptance.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub timeout_ms: Option<f64>,
    /// Longest time of one attempt, in ms, from when it is sent.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub attempt_timeout_ms: Option<f64>,
    /// Attempts in all, the first included.
    #[garde(range(min = 1, max = 64))]
    pub max_attempts: Option<u32>,
    /// The outcomes after which a retry may follow: `no-connection`, `full`, `never-sent`, `reset`, `error`,
    /// `timed-out`.
    #[garde(length(max = 6))]
    pub retry_on: Option<Vec<String>>,
    /// Waits before retries.
    #[garde(dive)]
    pub backoff: Option<BackoffTable>,
    /// Retries that all requests with this budget may make together.
    #[garde(dive)]
    pub budget: Option<BudgetTable>,
    /// Hedging of attempts that take long; only where the platform's settings allow two attempts in flight.
    #[garde(dive)]
    #[serde(rename = "second_copy")]
    pub hedging: Option<HedgingTable>,
}

/// The requests that a route matches.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "MatchText")]
pub struct MatchTable {
    /// Members by their names in the platform's settings.
    #[garde(length(max = 4096))]
    pub member: Option<Vec<String>>,
    /// Classes by their names in the platform's settings.
    #[garde(length(max = 4096))]
    pub class: Option<Vec<String>>,
    /// `platform` or `flight`, or a list of them.
    #[garde(skip)]
    #[serde(rename = "front")]
    pub front_ends: Option<OneOrMany>,
    /// Data sets by their numbers.
    #[garde(length(max = 4096))]
    pub data_set: Option<Vec<u32>>,
}

/// One name, or a list.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(untagged)]
#[expect(
    missing_docs,
    reason = "documented variants would change the form of the JSON Schema"
)]
#[schemars(rename = "OneOrMore")]
pub enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

impl OneOrMany {
    /// The names.
    pub fn names(&self) -> Vec<&str> {
        match self {
            OneOrMany::One(name) => vec![name.as_str()],
            OneOrMany::Many(names) => names.iter().map(String::as_str).collect(),
        }
    }
}

/// Waits between attempts, doubled with each.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BackoffText")]
pub struct BackoffTable {
    /// The wait before the first retry, in ms; twice as long before each further one.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub base_ms: f64,
    /// The longest wait, in ms.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub max_ms: f64,
    /// The largest part of a wait, from 0 to 1, by which it is shortened at random.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub jitter: f64,
}

/// Retries against first attempts, over a sliding window.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetText")]
pub struct BudgetTable {
    /// Retries for each first attempt of the window, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
    /// Retries a second that are allowed in addition.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub min_per_s: f64,
    /// The window, in seconds.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub window_s: f64,
}

/// When a hedged request is sent, and how many there may be.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "SecondCopyText")]
pub struct HedgingTable {
    /// After the time within which this share of the class's attempts end, as `p95` or `p99.9`.
    #[garde(length(min = 2, max = 8))]
    pub after: Option<String>,
    /// Or after this time, in ms.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub after_ms: Option<f64>,
    /// Hedged requests for each first attempt, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
}
