//! The format of the operators' file: TOML with `version = 1` and no unknown keys. `garde` checks
//! the ranges of single values that the types define.
//!
//! The JSON Schema that `workload-manager schema` prints is derived from these types. Their doc
//! comments become its descriptions, so a changed comment changes `deploy/magpiechute.schema.json`.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The longest timeout or hedging delay that a key may set, in ms: one hour.
pub const MAX_TIME_MS: f64 = 3_600_000.0;

/// The operators' file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FileText")]
pub struct OperatorFile {
    /// The version of the file's format; only version 1 exists.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// The level and format of the log.
    #[serde(default)]
    #[garde(dive)]
    pub log: LogTable,
    /// The Arrow Flight SQL front end; disabled if left out.
    #[garde(skip)]
    pub flight: Option<crate::node_config::FlightFrontEndConfig>,
    /// The SNMP agent; disabled if left out.
    #[garde(skip)]
    pub snmp: Option<crate::node_config::SnmpAgentConfig>,
    /// Timeouts, retries and hedged requests.
    #[serde(default)]
    #[garde(dive)]
    pub attempts: AttemptTables,
}

/// The level and format of the log.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "LogText")]
pub struct LogTable {
    /// The lowest level that is logged: `error`, `warn`, `info` (the default), `debug`
    /// (one line for each decision about a request) or `trace`.
    #[serde(default)]
    #[garde(skip)]
    pub level: LogLevel,
    /// `text` for plain lines (the default), `json` for one JSON object per line.
    #[serde(default)]
    #[garde(skip)]
    pub format: LogFormat,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "doc comments on variants would change the structure of the JSON Schema"
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[expect(
    missing_docs,
    reason = "doc comments on variants would change the structure of the JSON Schema"
)]
#[schemars(rename = "Format")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The tables with the keys for attempts.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "AttemptsText")]
pub struct AttemptTables {
    /// Keys for all requests. The table of a request's class or a route overrides them.
    #[serde(default)]
    #[garde(dive)]
    pub default: AttemptTable,
    /// Keys for the requests of one class, by the class's name in the platform's settings.
    #[serde(default)]
    #[garde(dive)]
    pub class: BTreeMap<String, AttemptTable>,
    /// Routes by member, class, front end and data set; a narrower route overrides a broader one.
    #[serde(default)]
    #[garde(dive)]
    pub route: Vec<AttemptTable>,
}

/// One table: the default, a class or a route. `name` and `match` are allowed in routes only.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TableText")]
pub struct AttemptTable {
    /// The route's name, as messages of faults and the answer to `POLICY` show it.
    #[garde(length(min = 1, max = 128))]
    pub name: Option<String>,
    /// The requests that the route matches. A key that is left out matches all requests.
    #[serde(rename = "match")]
    #[garde(dive)]
    pub matches: Option<MatchTable>,
    /// The timeout of the request in ms, counted from its acceptance.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub timeout_ms: Option<f64>,
    /// The timeout of one attempt in ms, counted from when it is sent.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub attempt_timeout_ms: Option<f64>,
    /// The largest number of attempts, the first included.
    #[garde(range(min = 1, max = 64))]
    pub max_attempts: Option<u32>,
    /// The outcomes after which a retry may follow: `no-connection`, `full`, `never-sent`, `reset`,
    /// `error`, `timed-out`.
    #[garde(length(max = 6))]
    pub retry_on: Option<Vec<String>>,
    /// The delays before retries.
    #[garde(dive)]
    pub backoff: Option<BackoffTable>,
    /// The limit of the retries of all requests that share this budget.
    #[garde(dive)]
    pub budget: Option<BudgetTable>,
    /// Hedging of slow attempts. The platform's settings must allow two attempts of a request in
    /// flight.
    #[garde(dive)]
    #[serde(rename = "second_copy")]
    pub hedging: Option<HedgingTable>,
}

/// The requests that a route matches.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "MatchText")]
pub struct MatchTable {
    /// Members, by their names in the platform's settings.
    #[garde(length(max = 4096))]
    pub member: Option<Vec<String>>,
    /// Classes, by their names in the platform's settings.
    #[garde(length(max = 4096))]
    pub class: Option<Vec<String>>,
    /// `platform` or `flight`, or a list of them.
    #[garde(skip)]
    #[serde(rename = "front")]
    pub front_ends: Option<OneOrMany>,
    /// Data sets, by their numbers.
    #[garde(length(max = 4096))]
    pub data_set: Option<Vec<u32>>,
}

/// One name, or a list of names.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(untagged)]
#[expect(
    missing_docs,
    reason = "doc comments on variants would change the structure of the JSON Schema"
)]
#[schemars(rename = "OneOrMore")]
pub enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

impl OneOrMany {
    /// All names, whether one is given or a list.
    pub fn names(&self) -> Vec<&str> {
        match self {
            OneOrMany::One(name) => vec![name.as_str()],
            OneOrMany::Many(names) => names.iter().map(String::as_str).collect(),
        }
    }
}

/// Exponential backoff between attempts.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BackoffText")]
pub struct BackoffTable {
    /// The delay before the first retry, in ms. It doubles with each further retry.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub base_ms: f64,
    /// The longest delay, in ms.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub max_ms: f64,
    /// The largest fraction of a delay, from 0 to 1, by which it is randomly shortened.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub jitter: f64,
}

/// A limit of retries in proportion to first attempts, over a sliding window.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetText")]
pub struct BudgetTable {
    /// Retries per first attempt in the window, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
    /// Retries per second that are allowed in addition.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub min_per_s: f64,
    /// The length of the window, in seconds.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub window_s: f64,
}

/// When hedged requests are sent, and how many are allowed.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "SecondCopyText")]
pub struct HedgingTable {
    /// The delay as a percentile of the durations of the class's attempts, such as `p95` or
    /// `p99.9`.
    #[garde(length(min = 2, max = 8))]
    pub after: Option<String>,
    /// The delay in ms, instead of a percentile.
    #[garde(range(min = 1.0, max = MAX_TIME_MS))]
    pub after_ms: Option<f64>,
    /// Hedged requests per first attempt, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
}
