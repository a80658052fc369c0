//! Memory of a manager, by the number of listed engines. In-process managers are measured in a
//! separate process, because memory that was freed earlier would be reused and hide what they take.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fleet;
use super::in_process_manager::ManagerPlan;
use super::manager_group::ManagerGroup;
use super::options::Options;
use super::row::{Output, ScaleError};
use super::usage;
use serde::{Deserialize, Serialize};
use std::process::{Command, Stdio};

/// Minimum number of list entries over all managers of one measurement. Memory is counted in whole
/// pages, which is too coarse for a few entries.
const MIN_LIST_ENTRIES: usize = 80_000;

/// Memory per manager, measured over one or more managers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ManagerMemory {
    /// Number of managers measured together.
    pub managers: usize,
    /// Resident bytes per manager once it has its list, without what the process used before.
    pub bytes: f64,
    /// Peak resident bytes per manager while it takes up its list.
    pub peak_bytes: f64,
}

/// Measures a manager with a list of this size: its resident bytes as the mean over several
/// managers, and the peak of a single one. Each measurement runs in a separate process if the
/// options contain the program's path.
pub(super) fn measure_manager(
    options: &Options,
    listed: usize,
) -> Result<ManagerMemory, ScaleError> {
    let grouped = measure_group(
        options,
        listed,
        MIN_LIST_ENTRIES
            .div_ceil(listed)
            .min(options.max_managers()),
    )?;
    let single = measure_group(options, listed, 1)?;
    Ok(ManagerMemory {
        peak_bytes: single.peak_bytes,
        ..grouped
    })
}

fn measure_group(
    options: &Options,
    listed: usize,
    managers: usize,
) -> Result<ManagerMemory, ScaleError> {
    let Some(program) = &options.program else {
        return measure_in_this_process(options, listed, managers);
    };
    let child_output = Command::new(program)
        .args(["--memory-of", &listed.to_string()])
        .args(["--memory-managers", &managers.to_string()])
        .args(["--memory-mb", &options.memory_mb.to_string()])
        .args(["--managers", &options.managers.to_string()])
        .stderr(Stdio::inherit())
        .output()?;
    Ok(serde_json::from_slice(&child_output.stdout)?)
}

/// Measures in this process, which should hold nothing else in memory.
fn measure_in_this_process(
    options: &Options,
    listed: usize,
    managers: usize,
) -> Result<ManagerMemory, ScaleError> {
    let list = fleet::full_list(1, listed);
    let feed = Feed::start(&list, HEARTBEAT_INTERVAL)?;
    drop(list);
    let plan = ManagerPlan {
        instances: options.managers,
        memory_mb: options.memory_mb,
        feed: feed.address,
        ticks: false,
    };
    let bytes_before = usage::resident_bytes()?;
    let group = ManagerGroup::start(&plan, managers)?;
    group.await_event(1)?;
    let per_manager = |bytes: usize| bytes.saturating_sub(bytes_before) as f64 / managers as f64;
    Ok(ManagerMemory {
        managers,
        bytes: per_manager(usage::resident_bytes()?),
        peak_bytes: per_manager(usage::peak_resident_bytes()?),
    })
}

/// Measures in the separate process, and writes one row for the parent process to read.
pub(super) fn report(
    options: &Options,
    listed: usize,
    output: &mut Output,
) -> Result<(), ScaleError> {
    output.row(&measure_in_this_process(
        options,
        listed,
        options.memory_managers,
    )?)
}
