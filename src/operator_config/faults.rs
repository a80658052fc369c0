//! Faults in the operators' file, each with its line and a suggestion.

use super::lines::line_of;
use std::collections::HashSet;
use std::fmt;

/// One fault in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line number, counted from 1, if it can be determined.
    pub line: Option<usize>,
    /// The path of the key, with dots; empty for a fault of the whole file.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub suggestion: String,
}

impl Fault {
    /// Creates a fault that concerns the whole file.
    pub fn of_file(problem: impl Into<String>, suggestion: impl Into<String>) -> Fault {
        Fault {
            line: None,
            key: String::new(),
            problem: problem.into(),
            suggestion: suggestion.into(),
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

/// All faults in a file, with the file's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The file's path as the caller gave it.
    pub file: String,
    /// The faults, ordered by line; faults without a line come last.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let plural = if count == 1 { "" } else { "s" };
        write!(f, "{} cannot be used ({count} fault{plural}):", self.file)?;
        self.faults
            .iter()
            .try_for_each(|fault| write!(f, "\n  {}: {fault}", self.file))
    }
}

impl std::error::Error for Faults {}

/// Collects the faults that one check finds. It adds the line of each key and leaves out
/// duplicates.
pub(super) struct FaultCollector<'s> {
    source: &'s str,
    faults: Vec<Fault>,
    /// The key and the problem of each fault that this check has added.
    seen: HashSet<(String, String)>,
}

impl<'s> FaultCollector<'s> {
    /// Creates a collector for the file with this text. It starts with the faults of earlier
    /// checks.
    pub(super) fn new(source: &'s str, earlier_faults: Vec<Fault>) -> Self {
        FaultCollector {
            source,
            faults: earlier_faults,
            seen: HashSet::new(),
        }
    }

    /// Adds a fault for a key in the table at `path`. An empty key stands for the table itself.
    pub(super) fn add(
        &mut self,
        path: &str,
        key: &str,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) {
        let key = if key.is_empty() {
            path.to_owned()
        } else {
            format!("{path}.{key}")
        };
        let problem = problem.into();
        if self.seen.insert((key.clone(), problem.clone())) {
            self.faults.push(Fault {
                line: line_of(self.source, &key),
                key,
                problem,
                suggestion: suggestion.into(),
            });
        }
    }

    /// Whether neither this check nor an earlier one found a fault.
    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Returns the faults in the order in which they were found.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}

/// Returns the faults as an error, ordered by line, if there are any.
pub(super) fn fail_if_any(mut faults: Vec<Fault>) -> Result<(), Vec<Fault>> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
    Err(faults)
}
