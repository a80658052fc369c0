//! The form of the operators' file: TOML with `version = 1` and no unknown keys. The bounds of single values stand here,
//! checked by garde. The JSON Schema of `workload-manager schema` is derived from the same types: their doc comments are
//! its descriptions, so a changed comment changes `deploy/magpiechute.schema.json`.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The longest time that a key of the file may name, in ms: one hour.
pub const LONGEST_MS: f64 = 3_600_000.0;

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
    /// Time-outs, repeated attempts and second copies.
    #[serde(default)]
    #[garde(dive)]
    pub attempts: AttemptTables,
}

/// How much is logged, and how.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "LogText")]
pub struct LogTable {
    /// The least that is logged: `error`, `warn`, `info` (without the file, the program's usual lines), `debug`
    /// (one line for each decision about a request) or `trace`.
    #[serde(default)]
    #[garde(skip)]
    pub level: LogLevel,
    /// `text` lines, or one JSON object a line.
    #[serde(default)]
    #[garde(skip)]
    pub format: LogFormat,
}

/// The least that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
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
#[allow(missing_docs)]
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
    /// What holds for every class that its own table and the routes leave alone.
    #[serde(default)]
    #[garde(dive)]
    pub default: AttemptTable,
    /// By the name of a class in the platform's settings.
    #[serde(default)]
    #[garde(dive)]
    pub class: BTreeMap<String, AttemptTable>,
    /// Routes by member, class, front and data set; the narrower goes over the broader.
    #[serde(default)]
    #[garde(dive)]
    pub route: Vec<AttemptTable>,
}

/// One table: the default, a class or a route. `name` and `match` belong to routes alone.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TableText")]
pub struct AttemptTable {
    /// A route's name, as faults and `POLICY` name it.
    #[garde(length(min = 1, max = 128))]
    pub name: Option<String>,
    /// What a route matches; a list that is left out matches all.
    #[serde(rename = "match")]
    #[garde(dive)]
    pub matches: Option<MatchTable>,
    /// The whole request, in ms, from when it is taken.
    #[garde(range(min = 1.0, max = LONGEST_MS))]
    pub timeout_ms: Option<f64>,
    /// One attempt, in ms, from when it is sent.
    #[garde(range(min = 1.0, max = LONGEST_MS))]
    pub attempt_timeout_ms: Option<f64>,
    /// Attempts in all, the first included.
    #[garde(range(min = 1, max = 64))]
    pub max_attempts: Option<u32>,
    /// The ends after which another attempt may follow: `no-connection`, `full`, `never-sent`, `reset`, `error`,
    /// `timed-out`.
    #[garde(length(max = 6))]
    pub retry_on: Option<Vec<String>>,
    /// Waits before further attempts.
    #[garde(dive)]
    pub backoff: Option<BackoffTable>,
    /// Further attempts that all requests taking it from this table may make together.
    #[garde(dive)]
    pub budget: Option<BudgetTable>,
    /// A second copy of an attempt that takes long; only where the platform's settings allow two attempts out.
    #[garde(dive)]
    #[serde(rename = "second_copy")]
    pub hedging: Option<HedgingTable>,
}

/// What a route matches.
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
#[allow(missing_docs)]
#[schemars(rename = "OneOrMore")]
pub enum OneOrMany {
    One(String),
    More(Vec<String>),
}

impl OneOrMany {
    /// The names.
    pub fn names(&self) -> Vec<&str> {
        match self {
            OneOrMany::One(name) => vec![name.as_str()],
            OneOrMany::More(names) => names.iter().map(String::as_str).collect(),
        }
    }
}

/// Waits between attempts.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BackoffText")]
pub struct BackoffTable {
    /// Before the second attempt, in ms; twice as long before each further one.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub base_ms: f64,
    /// The longest wait, in ms.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub max_ms: f64,
    /// The share of a wait, from 0 to 1, that chance may take off.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub jitter: f64,
}

/// Further attempts against first ones, over a sliding window.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetText")]
pub struct BudgetTable {
    /// Further attempts for each first attempt of the window, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
    /// Further attempts a second that are allowed besides.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub min_per_s: f64,
    /// The window, in seconds.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub window_s: f64,
}

/// When a second copy goes out, and how many there may be.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "SecondCopyText")]
pub struct HedgingTable {
    /// Past this share of the class's usual attempts, as `p95` or `p99.9`.
    #[garde(length(min = 2, max = 8))]
    pub after: Option<String>,
    /// Or past this time, in ms.
    #[garde(range(min = 1.0, max = LONGEST_MS))]
    pub after_ms: Option<f64>,
    /// Copies for each first attempt, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub ratio: f64,
}
