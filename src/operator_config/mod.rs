//! Reads and checks the operators' file, `deploy/magpiechute.toml`. One check reports every fault
//! in the file, each with its line, its key, the problem and a suggestion.
//!
//! [`text`] defines the file's format and the ranges of its values. [`self_check`] finds
//! contradictions within the file. [`policy`] checks the file against the platform's settings (with
//! [`settings_check`]) and builds the retry policy. [`startup`] loads everything that operators
//! configure when the program starts.
//!
//! `node` loads the file at startup and at each reload. `command` uses it for the sub-commands
//! `check`, `schema` and `explain`. `docs/attempts.md` documents the file for operators.

mod constraints;
mod faults;
mod lines;
mod policy;
mod read;
mod self_check;
mod settings_check;
mod startup;
mod suggestions;
mod tables;
pub mod text;

pub use constraints::{ClassConstraints, PlatformConstraints};
pub use faults::{Fault, Faults};
pub use read::{MAX_FILE_BYTES, read};
pub use startup::{OperatorConfig, OperatorConfigError};
pub use text::OperatorFile;

use crate::retry_policy::Policy;
use garde::Validate;
use std::path::Path;

/// An operators' file without faults, checked against the platform's settings.
#[derive(Clone, Debug, Default)]
pub struct LoadedFile {
    /// The parsed file; a key that it leaves out has the same value as without a file.
    pub file: OperatorFile,
    /// The retry policy that the file sets.
    pub policy: Policy,
}

/// Reads the file and checks it against the platform's settings. Returns `Ok(None)` if the file
/// does not exist.
///
/// # Errors
///
/// All faults, with the name of the file.
pub fn load(path: &Path, constraints: &PlatformConstraints) -> Result<Option<LoadedFile>, Faults> {
    let faults_of_file = |faults| Faults {
        file: path.display().to_string(),
        faults,
    };
    let Some(source) = read(path).map_err(|fault| faults_of_file(vec![fault]))? else {
        return Ok(None);
    };
    let (file, policy) = parse_and_check(&source, Some(constraints)).map_err(faults_of_file)?;
    Ok(Some(LoadedFile {
        file,
        policy: policy.unwrap_or_default(),
    }))
}

/// Parses the file's text and runs the checks that do not need the platform's settings.
///
/// # Errors
///
/// All faults, with their lines.
pub fn parse(source: &str) -> Result<OperatorFile, Vec<Fault>> {
    parse_and_check(source, None).map(|(file, _)| file)
}

/// Parses the file's text and checks it by itself. With the constraints of the platform's settings,
/// checks the file against them as well and returns its retry policy.
///
/// # Errors
///
/// All faults, with their lines. For a text that is not TOML or does not have the expected keys and
/// types, only the first fault.
pub fn parse_and_check(
    source: &str,
    constraints: Option<&PlatformConstraints>,
) -> Result<(OperatorFile, Option<Policy>), Vec<Fault>> {
    let file: OperatorFile =
        toml::from_str(source).map_err(|error| vec![syntax_fault(source, &error)])?;
    let mut faults = bounds_faults(&file, source);
    faults.extend(self_check::check(&file, source));
    match constraints {
        Some(constraints) => {
            let policy = policy::build(&file, source, constraints, faults)?;
            Ok((file, Some(policy)))
        }
        None => {
            faults::fail_if_any(faults)?;
            Ok((file, None))
        }
    }
}

/// The fault for an error of the TOML parser.
fn syntax_fault(source: &str, error: &toml::de::Error) -> Fault {
    Fault {
        line: error.span().map(|span| lines::line_at(source, span.start)),
        key: String::new(),
        problem: error.message().trim_end_matches('\n').to_owned(),
        suggestion: suggestions::for_syntax_error(error.message()).to_owned(),
    }
}

/// A fault for each value that is outside the range that [`text`] defines for it.
fn bounds_faults(file: &OperatorFile, source: &str) -> Vec<Fault> {
    let Err(report) = file.validate() else {
        return Vec::new();
    };
    let fault = |(path, error): &(garde::Path, garde::Error)| {
        let key = path.to_string();
        let message = error.message();
        let is_comparison = message.starts_with("greater") || message.starts_with("lower");
        Fault {
            line: lines::line_of(source, &key),
            key,
            problem: if is_comparison {
                format!("is {message}")
            } else {
                message.to_owned()
            },
            suggestion: "set a value within the range".to_owned(),
        }
    };
    report.iter().map(fault).collect()
}

/// The JSON Schema of the file, as `workload-manager schema` prints it.
/// `deploy/magpiechute.schema.json` is a copy.
pub fn schema() -> String {
    let schema = schemars::schema_for!(OperatorFile);
    let mut text = serde_json::to_string_pretty(&schema)
        .unwrap_or_else(|_| unreachable!("a schema serializes to JSON"));
    text.push('\n');
    text
}

#[cfg(test)]
mod tests;
