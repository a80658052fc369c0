//! The stored state file: its JSON form, and how it is read and replaced.

use crate::decision::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::Path;
use thiserror::Error;

/// Version of the file's form; a file of another version is not used.
const FORMAT_VERSION: u32 = 1;

/// The content of the file.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct StoredState {
    version: u32,
    /// The last manual ejection or return of each engine, by the engine's id as text.
    #[serde(rename = "engines")]
    pub(super) ejections: BTreeMap<String, ManualEjection>,
}

/// The last decision of on-call staff on one engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ManualEjection {
    /// True where the engine was ejected, false where it was returned to service.
    #[serde(rename = "out")]
    pub(crate) ejected: bool,
    /// Time of the decision, in Unix ms.
    #[serde(rename = "at")]
    pub(crate) decided_at_ms: Millis,
}

/// Why a stored state file cannot be used.
#[derive(Debug, Error)]
pub(super) enum StoredStateError {
    /// The file cannot be read.
    #[error("cannot read the stored state: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is larger than the limit.
    #[error("the stored state has more than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: u64,
    },
    /// The file is not JSON of the expected form.
    #[error("the stored state is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The file was written in another form.
    #[error("the stored state has version {found}, expected {FORMAT_VERSION}")]
    UnknownVersion {
        /// The version in the file.
        found: u32,
    },
}

impl StoredState {
    /// A state of the current version.
    pub(super) fn new(ejections: BTreeMap<String, ManualEjection>) -> Self {
        StoredState {
            version: FORMAT_VERSION,
            ejections,
        }
    }

    /// Reads a file of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// See [`StoredStateError`].
    pub(super) fn read(path: &Path, max_bytes: u64) -> Result<Self, StoredStateError> {
        let mut text = Vec::new();
        // One byte more than allowed tells a file that is too large from one that just fits.
        File::open(path)?
            .take(max_bytes + 1)
            .read_to_end(&mut text)?;
        if text.len() as u64 > max_bytes {
            return Err(StoredStateError::TooLarge { max_bytes });
        }
        let state: StoredState = serde_json::from_slice(&text)?;
        if state.version != FORMAT_VERSION {
            return Err(StoredStateError::UnknownVersion {
                found: state.version,
            });
        }
        Ok(state)
    }

    /// Replaces the file in one step: a reader, or a start after a kill, finds either the old content or the new.
    ///
    /// # Errors
    ///
    /// The temporary file cannot be written or renamed.
    pub(super) fn replace(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self)?;
        let temporary_path = path.with_extension("next");
        fs::write(&temporary_path, text)?;
        fs::rename(&temporary_path, path)
    }
}
