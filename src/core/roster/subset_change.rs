//! The endpoint list update that the roster computes for the dispatcher.

use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind};
use std::collections::BTreeMap;

/// The endpoint list update for the dispatcher.
#[derive(Debug)]
pub(in crate::core) struct SubsetChange {
    pub(in crate::core) kind: ListUpdateKind,
    pub(in crate::core) entries: Vec<EngineEntry>,
    /// Number of engines that joined the subset.
    pub(in crate::core) engines_added: usize,
    /// Number of engines that left the subset.
    pub(in crate::core) engines_removed: usize,
    /// Whether the previous subset had engines and none of them is ready any more.
    pub(in crate::core) all_unavailable: bool,
}

impl SubsetChange {
    /// Computes the update that turns the subset `before` into `after`. Engines that left the
    /// subset are reported as removed: the dispatcher starts no new attempts on them, and drops
    /// their state once their last attempt has ended. If `before` is `None`, the dispatcher was
    /// notified of all engines, and the subset is sent as a full list.
    pub(super) fn between(
        before: Option<&BTreeMap<EngineId, EngineEntry>>,
        after: &BTreeMap<EngineId, EngineEntry>,
    ) -> SubsetChange {
        let Some(before) = before else {
            let entries: Vec<EngineEntry> = after.values().cloned().collect();
            return SubsetChange {
                kind: ListUpdateKind::Full,
                engines_added: entries.len(),
                entries,
                ..SubsetChange::default()
            };
        };
        let removed = before
            .iter()
            .filter(|(engine, _)| !after.contains_key(engine));
        let mut entries: Vec<EngineEntry> = removed
            .map(|(_, entry)| EngineEntry {
                state: EngineState::Removed,
                ..entry.clone()
            })
            .collect();
        let engines_removed = entries.len();
        let engines_added = after
            .keys()
            .filter(|engine| !before.contains_key(engine))
            .count();
        let changed = after
            .iter()
            .filter(|(engine, entry)| before.get(engine) != Some(entry));
        entries.extend(changed.map(|(_, entry)| entry.clone()));
        SubsetChange {
            kind: ListUpdateKind::Delta,
            entries,
            engines_added,
            engines_removed,
            all_unavailable: false,
        }
    }
}

impl Default for SubsetChange {
    fn default() -> SubsetChange {
        SubsetChange {
            kind: ListUpdateKind::Delta,
            entries: Vec::new(),
            engines_added: 0,
            engines_removed: 0,
            all_unavailable: false,
        }
    }
}
