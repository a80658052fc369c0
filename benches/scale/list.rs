//! `list`: what the list of engines costs a manager and the feed, and how soon a change of it is in force at all
//! managers. The protocol has no record of a primary: that an engine is gone and its successor is ready stands for
//! a change of primary.

use super::options::Options;
use super::row::{Output, ScaleError};
use super::{list_cost, list_propagation, list_reconnect};

/// Plays all parts. What one manager costs comes first, as its memory tells which sizes fit this machine.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let memory = list_cost::run(options, output)?;
    list_propagation::run(options, output, memory)?;
    list_reconnect::run(options, output, memory)
}
