//! `list`: cost of the endpoint list at a manager and at the feed, and the time until all managers
//! have applied a change of it. The protocol has no record of a primary, so a change of primary is
//! represented by the removal of an engine together with its ready successor.

use super::options::Options;
use super::row::{Output, ScaleError};
use super::{list_cost, list_propagation, list_reconnect};

/// Runs all parts. The cost of one manager is measured first, as its memory determines which fleets
/// fit on this machine.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let memory = list_cost::run(options, output)?;
    list_propagation::run(options, output, memory)?;
    list_reconnect::run(options, output, memory)
}
