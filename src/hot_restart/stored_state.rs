//! The stored state file: its JSON format, and how it is read and replaced.

use crate::decision::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::Path;
use thiserror::Error;

/// Version of the file format. A file of another version is ignored.
const FORMAT_VERSION: u32 = 1;

/// The content of the stored state file.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct StoredState {
    version: u32,
    /// The last decision on each engine: its manual ejection or its return to service. The keys are
    /// engine ids as text.
    #[serde(rename = "engines")]
    pub(super) ejections: BTreeMap<String, ManualEjection>,
}

/// The last decision of the on-call staff about one engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ManualEjection {
    /// True if the engine was ejected, false if it was returned to service.
    #[serde(rename = "out")]
    pub(crate) ejected: bool,
    /// Time of the decision, in Unix ms.
    #[serde(rename = "at")]
    pub(crate) decided_at_ms: Millis,
}

/// An error while reading a stored state file.
#[derive(Debug, Error)]
pub(super) enum StoredStateError {
    /// The file cannot be read.
    #[error("cannot read the stored state: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is larger than the limit.
    #[error("the stored state has more than {max_bytes} bytes")]
    TooLarge {
        /// The limit, in bytes.
        max_bytes: u64,
    },
    /// The file is not JSON of the expected structure.
    #[error("the stored state is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The file has another format version.
    #[error("the stored state has version {found}, expected {FORMAT_VERSION}")]
    UnknownVersion {
        /// The version in the file.
        found: u32,
    },
}

impl StoredState {
    /// Creates a state of the current format version.
    pub(super) fn new(ejections: BTreeMap<String, ManualEjection>) -> Self {
        StoredState {
            version: FORMAT_VERSION,
            ejections,
        }
    }

    /// Reads the file. A file of more than `max_bytes` is an error.
    ///
    /// # Errors
    ///
    /// See [`StoredStateError`].
    pub(super) fn read(path: &Path, max_bytes: u64) -> Result<Self, StoredStateError> {
        let mut text = Vec::new();
        // One byte more than the limit is read, so that a file of exactly the limit is
        // distinguished from a larger one.
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

    /// Replaces the file atomically: a reader, or a process that starts after a kill, finds either
    /// the old content or the new content.
    ///
    /// # Errors
    ///
    /// Returns an error if the temporary file cannot be written or renamed.
    pub(super) fn replace(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self)?;
        let temporary_path = path.with_extension("next");
        fs::write(&temporary_path, text)?;
        fs::rename(&temporary_path, path)
    }
}
