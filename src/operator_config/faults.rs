//! Faults of the operators' file, each with its line and a suggestion.

use super::lines::line_of;
use std::collections::HashSet;
use std::fmt;

/// One fault of the file.
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
        let count = self.faults.len();
        let plural = if count == 1 { "" } else { "s" };
        write!(f, "{} cannot be used ({count} fault{plural}):", self.file)?;
        self.faults
            .iter()
            .try_for_each(|fault| write!(f, "\n  {}: {fault}", self.file))
    }
}

impl std::error::Error for Faults {}

/// Collects the faults of one check, each with the line of its key, and each once.
pub(super) struct FaultCollector<'s> {
    source: &'s str,
    faults: Vec<Fault>,
    /// Key and problem of what this check found.
    seen: HashSet<(String, String)>,
}

impl<'s> FaultCollector<'s> {
    /// A collector for the file with this text, after the faults of earlier checks.
    pub(super) fn new(source: &'s str, earlier_faults: Vec<Fault>) -> Self {
        FaultCollector {
            source,
            faults: earlier_faults,
            seen: HashSet::new(),
        }
    }

    /// Adds a fault of a key in the table at `path`; an empty key stands for the table itself.
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

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The faults in the order in which they were found.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}

/// Fails with the faults in the order of the file, where there are any.
pub(super) fn fail_if_any(mut faults: Vec<Fault>) -> Result<(), Vec<Fault>> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
    Err(faults)
}
