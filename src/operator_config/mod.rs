//! The operators' own file, `deploy/magpiechute.toml`: read and checked completely, so that every fault is found at once,
//! each with its line, its key, the problem and a suggestion.
//!
//! [`text`] is the file's form with the bounds of its values, [`self_check`] looks for contradictions within the file, and
//! [`policy`] checks it against the platform's settings ([`settings_check`]) and builds the retry policy. [`startup`]
//! adds what a start needs besides. `docs/attempts.md` is the page for operators. `node` loads the file at a start and at
//! each reload; `command` serves the sub-commands `check`, `schema` and `explain` with it.

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

/// A file without faults, checked against the settings in force.
#[derive(Clone, Debug, Default)]
pub struct LoadedFile {
    /// The file as written; what it leaves out is as without a file.
    pub file: OperatorFile,
    /// Its retry policy.
    pub policy: Policy,
}

/// Reads a file and checks it against the settings. `Ok(None)` where there is no such file.
///
/// # Errors
///
/// Every fault, with the file's name.
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

/// Parses a file's text and checks what needs no settings.
///
/// # Errors
///
/// Every fault, with its line.
pub fn parse(source: &str) -> Result<OperatorFile, Vec<Fault>> {
    parse_and_check(source, None).map(|(file, _)| file)
}

/// Parses a file's text and checks all of it: by itself, and against the settings where they are known, which also
/// gives its policy.
///
/// # Errors
///
/// Every fault, with its line. A text that is not TOML of this form has one fault, the first.
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

fn syntax_fault(source: &str, error: &toml::de::Error) -> Fault {
    Fault {
        line: error.span().map(|span| lines::line_at(source, span.start)),
        key: String::new(),
        problem: error.message().trim_end_matches('\n').to_owned(),
        suggestion: suggestions::for_syntax_error(error.message()).to_owned(),
    }
}

/// The values that are out of the bounds that [`text`] names.
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
            suggestion: "set it within its range".to_owned(),
        }
    };
    report.iter().map(fault).collect()
}

/// The JSON Schema of the file, as `workload-manager schema` prints it and `deploy/magpiechute.schema.json` keeps it.
pub fn schema() -> String {
    let schema = schemars::schema_for!(OperatorFile);
    let mut text =
        serde_json::to_string_pretty(&schema).unwrap_or_else(|_| unreachable!("a schema is JSON"));
    text.push('\n');
    text
}

#[cfg(test)]
mod tests;
