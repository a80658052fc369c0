//! Memory by listed engine. A process of its own holds some in-process managers, so that nothing freed earlier hides what
//! they take.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fleet;
use super::in_process_manager::ManagerPlan;
use super::manager_group::ManagerGroup;
use super::options::Options;
use super::row::{Output, ScaleError};
use super::usage;
use serde::{Deserialize, Serialize};
use std::process::{Command, Stdio};

/// Engines that the managers of one measurement hold together, at least: pages of memory are coarse.
const ENTRIES: usize = 80_000;

/// What some managers hold.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Held {
    /// Managers.
    pub managers: usize,
    /// Resident bytes of each once it has its list, without those of the process before.
    pub bytes: f64,
    /// The most that were resident for each, as it took its list in.
    pub peak_bytes: f64,
}

/// Resident bytes of a manager with a list of this size, from several together, and the most of one alone. Each is
/// measured in a process of its own where the options name the program.
pub(super) fn of(options: &Options, listed: usize) -> Result<Held, ScaleError> {
    let together = measured(
        options,
        listed,
        ENTRIES.div_ceil(listed).min(options.max_managers()),
    )?;
    let alone = measured(options, listed, 1)?;
    Ok(Held {
        peak_bytes: alone.peak_bytes,
        ..together
    })
}

fn measured(options: &Options, listed: usize, managers: usize) -> Result<Held, ScaleError> {
    let Some(program) = &options.program else {
        return here(options, listed, managers);
    };
    let child = Command::new(program)
        .args(["--memory-of", &listed.to_string()])
        .args(["--memory-managers", &managers.to_string()])
        .args(["--memory-mb", &options.memory_mb.to_string()])
        .args(["--managers", &options.managers.to_string()])
        .stderr(Stdio::inherit())
        .output()?;
    Ok(serde_json::from_slice(&child.stdout)?)
}

/// Measures in this process, which should hold nothing else.
fn here(options: &Options, listed: usize, managers: usize) -> Result<Held, ScaleError> {
    let list = fleet::full_list(1, listed);
    let feed = Feed::start(&list, HEARTBEAT_INTERVAL)?;
    drop(list);
    let plan = ManagerPlan {
        instances: options.managers,
        memory_mb: options.memory_mb,
        feed: feed.address,
        ticks: false,
    };
    let before = usage::resident_bytes()?;
    let group = ManagerGroup::start(&plan, managers)?;
    group.await_event(1)?;
    let each = |bytes: usize| bytes.saturating_sub(before) as f64 / managers as f64;
    Ok(Held {
        managers,
        bytes: each(usage::resident_bytes()?),
        peak_bytes: each(usage::peak_bytes()?),
    })
}

/// What the process of its own does: one line, for its parent.
pub(super) fn report(
    options: &Options,
    listed: usize,
    output: &mut Output,
) -> Result<(), ScaleError> {
    output.row(&here(options, listed, options.memory_managers)?)
}
