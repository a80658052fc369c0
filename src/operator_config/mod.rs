//! The operators' own file, `deploy/magpiechute.toml`: read whole and with bounds, every fault found at once with
//! its line, the key, what is wrong and what would be right. `check` holds it against the platform's settings and
//! makes the [`Policy`] of attempts; `docs/attempts.md` is its page for operators.

mod check;
mod lines;
pub mod text;

pub use check::PlatformConstraints;
pub use text::FileText;

use crate::node_config::{ConfigError, EngineProtocol, OptionalFronts};
use crate::retry_policy::Policy;
use garde::Validate;
use std::fmt;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The largest file that is read, in bytes.
pub const LARGEST: u64 = 1 << 20;
/// Reads of a file that changes while it is read, before it is turned down.
const READS: usize = 3;

/// One thing wrong with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1, where one can be named.
    pub line: Option<usize>,
    /// The key, as a dotted path; empty for the file as a whole.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub suggestion: String,
}

impl Fault {
    /// A fault of the file as a whole.
    pub fn of_file(what: impl Into<String>, mend: impl Into<String>) -> Fault {
        Fault {
            line: None,
            key: String::new(),
            problem: what.into(),
            suggestion: mend.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; {}", self.problem, self.suggestion)
    }
}

/// All faults of a file, with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The file, as it was named.
    pub file: String,
    /// Each fault, in the order of the file where lines are known.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.faults.len();
        write!(
            f,
            "{} cannot be used ({n} fault{}):",
            self.file,
            if n == 1 { "" } else { "s" }
        )?;
        self.faults
            .iter()
            .try_for_each(|fault| write!(f, "\n  {}: {fault}", self.file))
    }
}

impl std::error::Error for Faults {}

/// Reads a file whole, at most [`LARGEST`] bytes. None where there is no such file. Errors: the file cannot be read,
/// is a folder, too large, not UTF-8, or changes while it is read; each says what to do.
pub fn read(path: &Path) -> Result<Option<String>, Fault> {
    let fault = |what: String| {
        Fault::of_file(
            what,
            "give the path of a readable TOML file of 1 MiB at most",
        )
    };
    let mut before = None;
    for _ in 0..READS {
        let mut file = match std::fs::File::open(path) {
            Ok(file) => file,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(fault(format!("cannot be opened: {e}"))),
        };
        let seen = file
            .metadata()
            .map_err(|e| fault(format!("cannot be looked at: {e}")))?;
        if seen.is_dir() {
            return Err(fault("is a folder".to_owned()));
        }
        let mut bytes = Vec::new();
        let taken = file.by_ref().take(LARGEST + 1).read_to_end(&mut bytes);
        taken.map_err(|e| fault(format!("cannot be read: {e}")))?;
        if bytes.len() as u64 > LARGEST {
            return Err(fault(format!("is larger than {LARGEST} bytes")));
        }
        // Guard: a file replaced or written while it was read is read again, lest half of two files be taken.
        let stamp = |m: &std::fs::Metadata| (m.len(), m.modified().ok());
        let after = std::fs::metadata(path).ok();
        let steady = after
            .as_ref()
            .is_some_and(|a| stamp(a) == stamp(&seen) && a.len() == bytes.len() as u64);
        if steady && before.as_ref().is_none_or(|b| *b == bytes) {
            return String::from_utf8(bytes).map(Some).map_err(|e| {
                let at = e.utf8_error().valid_up_to();
                let line = e.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
                Fault {
                    line: Some(line),
                    ..fault(format!("is not UTF-8 after byte {at}"))
                }
            });
        }
        before = Some(bytes);
    }
    Err(Fault::of_file(
        "changed while it was read, three times",
        "write it elsewhere and move it into place",
    ))
}

/// Parses a file's text and checks what it can judge alone. Errors: every fault, with its line.
pub fn parse(source: &str) -> Result<FileText, Vec<Fault>> {
    parse_and_check(source, None).map(|(text, _)| text)
}

/// Parses a file's text and checks all of it: alone, and against the settings where they are known, which makes its
/// policy. Errors: every fault, with its line; a file that is no TOML of this form stops at its first.
pub fn parse_and_check(
    source: &str,
    known: Option<&PlatformConstraints>,
) -> Result<(FileText, Option<Policy>), Vec<Fault>> {
    let text: FileText = toml::from_str(source).map_err(|e| {
        let line = e.span().map(|span| lines::line_at(source, span.start));
        let message = e.message().trim_end_matches('\n').to_owned();
        vec![Fault {
            line,
            key: String::new(),
            problem: message,
            suggestion: mend_of_syntax(e.message()).to_owned(),
        }]
    })?;
    let mut faults: Vec<Fault> = match text.validate() {
        Ok(()) => Vec::new(),
        Err(report) => report
            .iter()
            .map(|(path, error)| {
                let key = path.to_string();
                let line = lines::line_of(source, &key);
                let what = error.message();
                let what = if what.starts_with("greater") || what.starts_with("lower") {
                    format!("is {what}")
                } else {
                    what.to_owned()
                };
                Fault {
                    line,
                    key,
                    problem: what,
                    suggestion: "set it within its range".to_owned(),
                }
            })
            .collect(),
    };
    faults.extend(check::alone(&text, source));
    match known {
        Some(known) => {
            check::policy(&text, source, known, faults).map(|policy| (text, Some(policy)))
        }
        None => sorted(faults).map(|()| (text, None)),
    }
}

/// Faults in the order of the file; none is an answer.
fn sorted(mut faults: Vec<Fault>) -> Result<(), Vec<Fault>> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|f| f.line.unwrap_or(usize::MAX));
    Err(faults)
}

fn mend_of_syntax(message: &str) -> &'static str {
    if message.contains("unknown field") {
        "remove the key, or spell it as the page names it"
    } else if message.contains("missing field") {
        "add the key"
    } else if message.contains("invalid type") || message.contains("expected") {
        "give a value of the type that the page names"
    } else {
        "write it as TOML"
    }
}

/// The JSON Schema of the file, as `workload-manager schema` prints it and `deploy/magpiechute.schema.json` keeps it.
pub fn schema() -> String {
    let schema = schemars::schema_for!(FileText);
    let mut text =
        serde_json::to_string_pretty(&schema).unwrap_or_else(|_| unreachable!("a schema is JSON"));
    text.push('\n');
    text
}

#[cfg(test)]
mod tests;

/// What the operators' files set at a start: fronts and policy, and where to read them again at SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The further fronts.
    pub front_ends: OptionalFronts,
    /// The policy of attempts; without a file it sets nothing.
    pub policy: Arc<Policy>,
    /// The file, where there is one, read again at SIGHUP.
    pub path: Option<PathBuf>,
    /// What is logged, and how.
    pub log: text::LogText,
}

impl From<OptionalFronts> for OperatorConfig {
    fn from(front_ends: OptionalFronts) -> OperatorConfig {
        OperatorConfig {
            front_ends,
            ..OperatorConfig::default()
        }
    }
}

impl From<Loaded> for OperatorConfig {
    fn from(loaded: Loaded) -> OperatorConfig {
        OperatorConfig {
            front_ends: OptionalFronts {
                flight: loaded.text.flight,
                snmp: loaded.text.snmp,
            },
            policy: Arc::new(loaded.policy),
            path: None,
            log: loaded.text.log,
        }
    }
}

/// Why the operators' files cannot be used at a start.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The operators' file has faults.
    #[error(transparent)]
    File(#[from] Faults),
    /// The older file of front ends cannot be used.
    #[error(transparent)]
    FrontEnds(#[from] ConfigError),
}

impl OperatorConfig {
    /// Reads the operators' file at `path` and checks it against these constraints. Where there is none, the older file
    /// of front ends is read, with a warning, for one version.
    ///
    /// # Errors
    ///
    /// One of the files cannot be used; the error holds all faults.
    pub fn load(
        path: &Path,
        front_ends: &Path,
        constraints: &PlatformConstraints,
    ) -> Result<OperatorConfig, OperatorConfigError> {
        let from_file = match load(path, constraints)? {
            Some(loaded) => OperatorConfig::from(loaded),
            None => OperatorConfig::from(load_front_ends(front_ends, path)?),
        };
        Ok(OperatorConfig {
            path: Some(path.to_owned()),
            ..from_file
        })
    }

    /// What the engines of the list speak.
    pub(crate) fn engine_protocol(&self) -> EngineProtocol {
        let flight = self.front_ends.flight.as_ref();
        flight
            .map(|front_end| front_end.engines)
            .unwrap_or_default()
    }
}

/// Reads the older file of front ends. The log is not set up yet, so the warning is written directly.
fn load_front_ends(path: &Path, successor: &Path) -> Result<OptionalFronts, ConfigError> {
    let front_ends = OptionalFronts::load(path)?;
    if path.exists() {
        eprintln!(
            "workload-manager: {} is read for this version only: move its tables into {}",
            path.display(),
            successor.display()
        );
    }
    Ok(front_ends)
}

/// A file read, sound, and held against the settings in use.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The file as written; what it leaves out is as without a file.
    pub text: FileText,
    /// Its policy of attempts.
    pub policy: Policy,
}

/// Reads, parses and checks a file against the settings. `Ok(None)` where there is no such file. Errors: every
/// fault, with the file's name.
pub fn load(path: &Path, known: &PlatformConstraints) -> Result<Option<Loaded>, Faults> {
    let named = |all| Faults {
        file: path.display().to_string(),
        faults: all,
    };
    let Some(source) = read(path).map_err(|fault| named(vec![fault]))? else {
        return Ok(None);
    };
    let (text, policy) = parse_and_check(&source, Some(known)).map_err(named)?;
    Ok(Some(Loaded {
        text,
        policy: policy.unwrap_or_default(),
    }))
}
