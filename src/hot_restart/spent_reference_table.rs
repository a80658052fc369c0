//! A table of spent references that the processes of one workload manager share: client references
//! of non-idempotent requests that were sent to an engine.
//!
//! It lies in the file of the order locks, which every process has open, behind the process slots. A
//! reference selects its entry, so each call reads or writes one entry, and the size of the table is
//! fixed. A later reference with the same entry replaces an earlier one. The table outlasts the
//! processes.

use crate::core::SharedReferences;
use crate::metrics::Metrics;
use std::fs::File;
use std::num::NonZeroU64;
use std::os::unix::fs::FileExt;
use std::sync::Arc;

/// Offset of the table in the file, in bytes. The process slots lie before it.
const TABLE_OFFSET: u64 = 4096;

/// Number of entries.
const ENTRIES: u64 = 1 << 16;

/// Size of an entry in bytes: one reference, or zero if it is unused.
const ENTRY_BYTES: u64 = size_of::<u64>() as u64;

/// An unused entry.
const UNUSED: u64 = 0;

/// The table, in the open file of the order locks.
pub(super) struct SpentReferenceTable {
    file: Arc<File>,
    metrics: Arc<Metrics>,
}

impl SpentReferenceTable {
    pub(super) fn new(file: Arc<File>, metrics: Arc<Metrics>) -> SpentReferenceTable {
        SpentReferenceTable { file, metrics }
    }

    /// Reads the entry that a reference selects. Entries beyond the end of the file are unused.
    fn read(&self, reference: NonZeroU64) -> u64 {
        let mut entry = UNUSED.to_be_bytes();
        match self.file.read_at(&mut entry, offset(reference)) {
            Ok(bytes) if bytes == entry.len() => u64::from_be_bytes(entry),
            Ok(_) => UNUSED,
            Err(error) => {
                self.report(&error);
                UNUSED
            }
        }
    }

    fn write(&self, reference: NonZeroU64, entry: u64) {
        let written = self
            .file
            .write_all_at(&entry.to_be_bytes(), offset(reference));
        if let Err(error) = written {
            self.report(&error);
        }
    }

    fn report(&self, error: &std::io::Error) {
        tracing::debug!(%error, "the table of spent references cannot be used");
        self.metrics.state_errors.increment();
    }
}

impl SharedReferences for SpentReferenceTable {
    fn insert(&self, reference: NonZeroU64) {
        self.write(reference, reference.get());
    }

    fn remove(&self, reference: NonZeroU64) {
        if self.contains(reference) {
            self.write(reference, UNUSED);
        }
    }

    fn contains(&self, reference: NonZeroU64) -> bool {
        self.read(reference) == reference.get()
    }
}

fn offset(reference: NonZeroU64) -> u64 {
    TABLE_OFFSET + reference.get() % ENTRIES * ENTRY_BYTES
}

#[cfg(test)]
mod tests;
