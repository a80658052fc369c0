//! The sub-commands `check`, `schema` and `explain` of `workload-manager`. Each returns its output
//! and its exit code; only `main` writes to the standard streams.

use crate::node_config::{ConfigError, NodeConfig};
use crate::operator_config::{self, Fault, Faults, PlatformConstraints};
use crate::retry_policy::{FrontendKind, RequestAttributes};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The exit code of a command that cannot use its file or its arguments.
const EXIT_INVALID_INPUT: u8 = 2;

/// The output and the exit code of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct CommandOutput {
    /// 0 on success, 2 if the file or the arguments cannot be used.
    pub exit_code: u8,
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
}

impl CommandOutput {
    fn success(stdout: String) -> Self {
        CommandOutput {
            stdout,
            ..CommandOutput::default()
        }
    }

    fn invalid_input(stderr: String) -> Self {
        CommandOutput {
            exit_code: EXIT_INVALID_INPUT,
            stderr,
            ..CommandOutput::default()
        }
    }
}

/// The format in which `check` prints faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultFormat {
    /// One line for each fault.
    #[default]
    Text,
    /// One JSON array with an object for each fault.
    Json,
}

/// The request whose policy `explain` prints.
#[derive(Clone, Debug, Default)]
pub struct ExplainQuery {
    /// The name of its class.
    pub class: String,
    /// The name of its member.
    pub member: Option<String>,
    /// The front end that receives it: `platform` (the default) or `flight`.
    pub front: Option<String>,
    /// The number of its data set; 0 if not given.
    pub data_set: Option<u32>,
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("workload-manager: {0}")]
    Config(#[from] ConfigError),
    #[error("workload-manager: file {} does not exist", .0.display())]
    NoFile(PathBuf),
    #[error(transparent)]
    Faults(#[from] Faults),
    #[error("workload-manager: {0:?} is not a class in the platform's settings")]
    UnknownClass(String),
    #[error("workload-manager: {0:?} is not a member in the platform's settings")]
    UnknownMember(String),
    #[error("workload-manager: {0:?} is not a front end; use platform or flight")]
    UnknownFrontEnd(String),
}

/// `check [--config JSON] FILE`: checks the file by itself and, with `--config`, against the
/// platform's settings.
pub fn check(config: Option<&Path>, path: &Path, format: FaultFormat) -> CommandOutput {
    match check_file(config, path) {
        Ok(scope) => {
            let file = path.display();
            CommandOutput::success(format!("{file}: no faults; {scope}\n"))
        }
        Err(CommandError::Faults(faults)) if format == FaultFormat::Json => {
            CommandOutput::invalid_input(format!("{}\n", faults_as_json(&faults)))
        }
        Err(error) => CommandOutput::invalid_input(format!("{error}\n")),
    }
}

/// Checks the file. Returns a text that says whether it was checked against the platform's
/// settings.
fn check_file(config: Option<&Path>, path: &Path) -> Result<&'static str, CommandError> {
    let constraints = config.map(load_constraints).transpose()?;
    let faults_of_file = |faults| Faults {
        file: path.display().to_string(),
        faults,
    };
    let source = operator_config::read(path)
        .map_err(|fault| faults_of_file(vec![fault]))?
        .ok_or_else(|| CommandError::NoFile(path.to_owned()))?;
    operator_config::parse_and_check(&source, constraints.as_ref()).map_err(faults_of_file)?;
    Ok(match constraints {
        Some(_) => "checked against the platform's settings",
        None => "not checked against the platform's settings (no --config)",
    })
}

fn load_constraints(config: &Path) -> Result<PlatformConstraints, ConfigError> {
    let config = NodeConfig::load(config)?;
    Ok(PlatformConstraints::from_settings(&config.settings))
}

fn faults_as_json(faults: &Faults) -> serde_json::Value {
    let as_json = |fault: &Fault| {
        serde_json::json!({
            "file": faults.file,
            "line": fault.line,
            "key": fault.key,
            "what": fault.problem,
            "mend": fault.suggestion,
        })
    };
    faults.faults.iter().map(as_json).collect()
}

/// `schema`: prints the JSON Schema of the operators' file.
pub fn schema() -> CommandOutput {
    CommandOutput::success(operator_config::schema())
}

/// `explain --config JSON FILE --class C ...`: prints the keys in force for such a request, and for
/// each the table that sets it.
pub fn explain(config: &Path, path: &Path, query: &ExplainQuery) -> CommandOutput {
    match explain_request(config, path, query) {
        Ok(lines) => CommandOutput::success(lines),
        Err(error) => CommandOutput::invalid_input(format!("{error}\n")),
    }
}

fn explain_request(
    config: &Path,
    path: &Path,
    query: &ExplainQuery,
) -> Result<String, CommandError> {
    let constraints = load_constraints(config)?;
    let loaded = operator_config::load(path, &constraints)?.unwrap_or_default();
    let request = request_attributes(query, &constraints)?;
    let mut lines = String::new();
    for value in loaded.policy.explain(&request) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            lines,
            "{:<20} {:<60} {}",
            value.key, value.value, value.source
        );
    }
    Ok(lines)
}

/// Converts a query to the attributes of a request. Classes and members are given by their
/// positions in the settings.
fn request_attributes(
    query: &ExplainQuery,
    constraints: &PlatformConstraints,
) -> Result<RequestAttributes, CommandError> {
    let class = constraints
        .class_position(&query.class)
        .ok_or_else(|| CommandError::UnknownClass(query.class.clone()))?;
    let member = match &query.member {
        // No member has this position, so routes with a list of members do not match.
        None => usize::MAX,
        Some(name) => constraints
            .members
            .iter()
            .position(|member| member == name)
            .ok_or_else(|| CommandError::UnknownMember(name.clone()))?,
    };
    let frontend = match query.front.as_deref() {
        None | Some("platform") => FrontendKind::Platform,
        Some("flight") => FrontendKind::Flight,
        Some(other) => return Err(CommandError::UnknownFrontEnd(other.to_owned())),
    };
    Ok(RequestAttributes {
        class,
        member,
        frontend,
        data_set: query.data_set.unwrap_or(0),
    })
}
