//! `list`: what the list of engines costs a manager and the feed, and how soon a change of it is in force at all
//! managers. The protocol has no record of a primary: that an engine is gone and its successor is ready stands for
//! a change of primary.

use super::row::{Failure, Output};
use super::{Options, cost, returning, spread};

/// The test's name in its rows.
pub(super) const TEST: &str = "list";

/// Plays all parts. What one manager costs comes first, as its memory tells which sizes fit this machine.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let memory = cost::run(options, output)?;
    spread::run(options, output, memory)?;
    returning::run(options, output, memory)
}
