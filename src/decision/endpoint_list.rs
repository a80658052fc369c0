//! The endpoint list: the engines as the platform lists them.

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
    /// Takes work.
    #[default]
    Ready,
    /// Completes its work and takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// The workload managers that hold an engine, where they hold subsets of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSharing {
    /// Their mean number over the engines of the list.
    pub mean_managers: f64,
    /// A bound on their number, also while their lists differ.
    pub max_managers: u32,
    /// This manager's place among them, from 0.
    pub rank: u32,
}

/// One record of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u8,
    /// Its machine type, by position in the settings.
    pub machine_type: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EngineState,
    /// Its listed size, comparable between engines.
    pub nominal_capacity: f64,
    /// Time of its latest start; 0 for long ago.
    pub started_at_ms: Millis,
    /// The workload managers that hold it; none where all do.
    pub sharing: Option<EngineSharing>,
}

/// How an update relates to the endpoint list that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last cached; it may be stale.
    Cached,
    /// A poll failed; the held list stays.
    PollFailed,
}
