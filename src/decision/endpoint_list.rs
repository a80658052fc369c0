//! The endpoint list: the engines that the platform lists, with their states.

use super::Millis;
use std::fmt;

/// Address of one SQL engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId {
    /// IPv4 address.
    pub addr: [u8; 4],
    /// Port.
    pub port: u16,
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, fourth] = self.addr;
        write!(formatter, "{first}.{second}.{third}.{fourth}:{}", self.port)
    }
}

/// An engine's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts new queries.
    #[default]
    Ready,
    /// Completes its running queries and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// The workload managers that use an engine, where each manager uses a subset of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSharing {
    /// Mean number of managers that use an engine, over the engines of the list.
    pub mean_managers: f64,
    /// Upper bound on the number of managers that use this engine. It also holds while the
    /// managers' lists differ.
    pub max_managers: u32,
    /// This manager's rank among them, from 0.
    pub rank: u32,
}

/// One record of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// The engine's address.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u8,
    /// Its machine type, as an index into [`super::Settings::machine_type_cores`].
    pub machine_type: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EngineState,
    /// Its listed size, in a unit that all engines share.
    pub nominal_capacity: f64,
    /// Time of its latest start; 0 if it started so long ago that it has no slow start.
    pub started_at_ms: Millis,
    /// The workload managers that use it; `None` if all do.
    pub sharing: Option<EngineSharing>,
}

/// How an update relates to the endpoint list that the dispatcher holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only the entries that have changed.
    Delta,
    /// The full list.
    Full,
    /// The full list from the cache; it may be stale.
    Cached,
    /// A poll failed; the dispatcher keeps the list that it holds.
    PollFailed,
}
