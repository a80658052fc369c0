//! Loads what operators configure when the program starts, from the operators' file or the older
//! file of front ends.

use super::faults::Faults;
use super::text::LogTable;
use super::{LoadedFile, PlatformConstraints, load};
use crate::node_config::{ConfigError, EngineProtocol, OptionalFrontEnds};
use crate::retry_policy::Policy;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// What operators configure at startup, and the path of the file to read at a reload.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The front ends in addition to that of the platform's protocol.
    pub front_ends: OptionalFrontEnds,
    /// The retry policy; empty without an operators' file.
    pub policy: Arc<Policy>,
    /// The path of the operators' file, which each reload reads again. The file need not exist.
    pub path: Option<PathBuf>,
    /// The level and format of the log.
    pub log: LogTable,
}

impl From<OptionalFrontEnds> for OperatorConfig {
    fn from(front_ends: OptionalFrontEnds) -> OperatorConfig {
        OperatorConfig {
            front_ends,
            ..OperatorConfig::default()
        }
    }
}

impl From<LoadedFile> for OperatorConfig {
    fn from(loaded: LoadedFile) -> OperatorConfig {
        OperatorConfig {
            front_ends: OptionalFrontEnds {
                flight: loaded.file.flight,
                snmp: loaded.file.snmp,
            },
            policy: Arc::new(loaded.policy),
            path: None,
            log: loaded.file.log,
        }
    }
}

/// Why the operators' file or the older file of front ends cannot be used at startup.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The operators' file has faults.
    #[error(transparent)]
    File(#[from] Faults),
    /// The older file of front ends cannot be used.
    #[error(transparent)]
    FrontEnds(#[from] ConfigError),
}

impl OperatorConfig {
    /// Reads the operators' file at `path` and checks it against the platform's constraints. If the
    /// file does not exist, reads the older file of front ends with a warning. Only this version
    /// still reads that file.
    ///
    /// # Errors
    ///
    /// The file cannot be used. For the operators' file, the error contains all faults.
    pub fn load(
        path: &Path,
        front_ends_path: &Path,
        constraints: &PlatformConstraints,
    ) -> Result<OperatorConfig, OperatorConfigError> {
        let config = match load(path, constraints)? {
            Some(loaded) => OperatorConfig::from(loaded),
            None => OperatorConfig::from(load_front_ends(front_ends_path, path)?),
        };
        Ok(OperatorConfig {
            path: Some(path.to_owned()),
            ..config
        })
    }

    /// The protocol that the engines in the endpoint list use.
    pub(crate) fn engine_protocol(&self) -> EngineProtocol {
        let flight = self.front_ends.flight.as_ref();
        flight
            .map(|front_end| front_end.engines)
            .unwrap_or_default()
    }
}

/// Reads the older file of front ends. The log is not set up yet, so the warning goes directly to
/// standard error.
fn load_front_ends(
    path: &Path,
    operator_file_path: &Path,
) -> Result<OptionalFrontEnds, ConfigError> {
    let front_ends = OptionalFrontEnds::load(path)?;
    if path.exists() {
        eprintln!(
            "workload-manager: {} is deprecated and read by this version only; move its tables into {}",
            path.display(),
            operator_file_path.display()
        );
    }
    Ok(front_ends)
}
