//! Counters of the final answers to requests, by class.

use super::Counter;
use std::sync::{Arc, PoisonError, RwLock};

/// Maximum number of classes with counters. A further class replaces the class that was added
/// first. Class names come only from configurations, so the limit matters only if reloads keep
/// adding new names.
const MAX_CLASSES: usize = 256;

/// Counters of the final answers that clients received to the requests of one class.
#[derive(Debug, Default)]
pub struct ClassOutcomes {
    /// Requests served; printed as `passed`.
    pub served: Counter,
    /// Requests rejected; printed as `dropped`.
    pub rejected: Counter,
    /// Requests failed; printed as `bad_gateway`.
    pub failed: Counter,
}

/// A snapshot of the counters of one class.
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
    /// Returns the counts with their printed names, in the order of the MIB's columns.
    #[must_use]
    pub fn named_counts(&self) -> [(&'static str, u64); 3] {
        [
            ("passed", self.served),
            ("dropped", self.rejected),
            ("bad_gateway", self.failed),
        ]
    }
}

/// The counters of all classes, in the order in which the classes were added.
#[derive(Debug, Default)]
pub(super) struct ClassOutcomesTable(RwLock<Vec<ClassEntry>>);

#[derive(Debug)]
struct ClassEntry {
    class: String,
    outcomes: Arc<ClassOutcomes>,
}

impl ClassOutcomesTable {
    /// Returns the counters of a class. They are created if the class has none.
    pub(super) fn get_or_create(&self, class: &str) -> Arc<ClassOutcomes> {
        let entries = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(outcomes) = find(&entries, class) {
            return outcomes;
        }
        drop(entries);
        let mut entries = self.0.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have added the class between the two locks.
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

    /// Returns a snapshot of the counters of all classes, in the order of the table.
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
