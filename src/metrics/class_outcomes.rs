//! The final answers of each class's requests.

use super::Counter;
use std::sync::{Arc, PoisonError, RwLock};

/// The most classes that have counters; past it the oldest lose theirs. Names come from configurations alone, so this
/// bounds only an endless row of configurations with ever new names.
const MAX_CLASSES: usize = 256;

/// Final answers to the requests of one class, as its clients received them.
#[derive(Debug, Default)]
pub struct ClassOutcomes {
    /// Served; printed as `passed`.
    pub served: Counter,
    /// Rejected; printed as `dropped`.
    pub rejected: Counter,
    /// Failed; printed as `bad_gateway`.
    pub failed: Counter,
}

/// A class's counts at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassCounts {
    /// The class's name in the settings.
    pub class: String,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

impl ClassCounts {
    /// The counts with their printed names, in the order of the MIB's columns.
    #[must_use]
    pub fn named_counts(&self) -> [(&'static str, u64); 3] {
        [
            ("passed", self.served),
            ("dropped", self.rejected),
            ("bad_gateway", self.failed),
        ]
    }
}

/// The counters of all classes, in the order in which the classes were first named.
#[derive(Debug, Default)]
pub(super) struct ClassOutcomesTable(RwLock<Vec<ClassEntry>>);

#[derive(Debug)]
struct ClassEntry {
    class: String,
    outcomes: Arc<ClassOutcomes>,
}

impl ClassOutcomesTable {
    /// The counters of a class, which are created at its first mention.
    pub(super) fn get_or_create(&self, class: &str) -> Arc<ClassOutcomes> {
        let entries = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(outcomes) = find(&entries, class) {
            return outcomes;
        }
        drop(entries);
        let mut entries = self.0.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have created it between the two locks.
        if let Some(outcomes) = find(&entries, class) {
            return outcomes;
        }
        if entries.len() >= MAX_CLASSES {
            entries.remove(0);
        }
        let outcomes = Arc::<ClassOutcomes>::default();
        entries.push(ClassEntry {
            class: class.to_owned(),
            outcomes: outcomes.clone(),
        });
        outcomes
    }

    /// The counts of all classes.
    pub(super) fn counts(&self) -> Vec<ClassCounts> {
        let entries = self.0.read().unwrap_or_else(PoisonError::into_inner);
        entries
            .iter()
            .map(|ClassEntry { class, outcomes }| ClassCounts {
                class: class.clone(),
                served: outcomes.served.get(),
                rejected: outcomes.rejected.get(),
                failed: outcomes.failed.get(),
            })
            .collect()
    }
}

fn find(entries: &[ClassEntry], class: &str) -> Option<Arc<ClassOutcomes>> {
    let entry = entries.iter().find(|entry| entry.class == class)?;
    Some(entry.outcomes.clone())
}
