//! Memory by listed engine. A process of its own holds some hollow managers, so that nothing freed earlier hides what
//! they take.

use super::crowd::Crowd;
use super::feed::{Feed, IDLE};
use super::fleet;
use super::hollow::Plan;
use super::row::{Failure, Output};
use super::{Options, usage};
use serde::{Deserialize, Serialize};
use std::process::{Command, Stdio};

/// Engines that all managers of one measurement hold together, at least: pages of memory are coarse.
const ENTRIES: usize = 80_000;

/// What some managers hold.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Held {
    /// Managers.
    pub managers: usize,
    /// Resident bytes of each, without those of the process before.
    pub bytes_manager: f64,
    /// Engines that the roster of each has taken up.
    pub known: usize,
}

/// Measures a list of this size, in a process of its own where the options name the program.
pub fn of(options: &Options, listed: usize) -> Result<Held, Failure> {
    let Some(program) = &options.program else { return here(options, listed) };
    let child = Command::new(program)
        .args(options.small.then_some("--small"))
        .args(["--memory-of", &listed.to_string()])
        .args(["--memory-mb", &options.memory_mb.to_string()])
        .args(["--managers", &options.managers.to_string()])
        .stderr(Stdio::inherit())
        .output()?;
    Ok(serde_json::from_slice(&child.stdout)?)
}

/// Measures in this process, which should hold nothing else.
pub fn here(options: &Options, listed: usize) -> Result<Held, Failure> {
    let managers = ENTRIES.div_ceil(listed).min(options.most_managers());
    let list = fleet::whole_list(1, listed);
    let feed = Feed::start(&list, IDLE)?;
    drop(list);
    let plan =
        Plan { instances: options.managers, memory_mb: options.memory_mb, feed: feed.address, ticks: false };
    let before = usage::resident_bytes()?;
    let crowd = Crowd::start(&plan, managers)?;
    let sightings = crowd.gather(1)?;
    let bytes = usage::resident_bytes()?.saturating_sub(before);
    let known = sightings.iter().map(|sighting| sighting.taken_up.known()).min().unwrap_or_default();
    Ok(Held { managers, bytes_manager: bytes as f64 / managers as f64, known })
}

/// What the process of its own does: one line, for its parent.
pub fn report(options: &Options, listed: usize, output: &mut Output) -> Result<(), Failure> {
    output.row(&here(options, listed)?)
}
