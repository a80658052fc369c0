//! What the parts of the `list` test share: which fleets of in-process managers this machine can hold, and summaries of
//! latencies.

use super::decision;
use super::feed::Feed;
use super::fit::{LinearFit, Point};
use super::in_process_manager::{AppliedEvent, ManagerPlan};
use super::options::{Options, Test};
use super::row::{LeftOut, Output, ScaleError, Size, rounded};
use serde::Serialize;
use std::time::{Duration, Instant};

/// The test's name in its rows.
pub(super) const TEST: &str = Test::List.name();
/// Memory that all in-process managers of this process may take.
const MEMORY_BYTES: f64 = 9e9;
/// Cores that their ticks may take; where they would take more, the ticks are left out and the row says so.
const TICK_CORES: f64 = 2.0;
const TICK_US: f64 = 50_000.0;

/// Resident memory of an in-process manager, by listed engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryModel(LinearFit);

impl MemoryModel {
    /// The line through measured sizes; none through fewer than two different ones.
    pub(super) fn through(points: &[Point]) -> Option<MemoryModel> {
        LinearFit::through(points).map(MemoryModel)
    }

    /// Bytes of this many managers with this many listed engines each.
    pub(super) fn bytes(&self, managers: usize, listed: usize) -> f64 {
        self.0.at(listed as f64).max(0.0) * managers as f64
    }
}

/// Whether the memory is enough for this many managers with a list of this size; writes a row if it is not.
pub(super) fn fits(
    output: &mut Output,
    memory: MemoryModel,
    (listed, managers): (usize, usize),
) -> Result<bool, ScaleError> {
    let bytes = memory.bytes(managers, listed);
    if bytes <= MEMORY_BYTES {
        return Ok(true);
    }
    let gigabytes = bytes / 1e9;
    let why =
        format!("takes {gigabytes:.1} GB by the measured memory of a manager; this test has 9");
    output.row(&LeftOut {
        size: Size::left_out(TEST, "change", listed, managers),
        why: &why,
    })?;
    Ok(false)
}

/// The largest of these fleets for which the memory is enough; 0 if there is none.
pub(super) fn largest_fitting(memory: MemoryModel, listed: usize, managers: &[usize]) -> usize {
    let fits = |managers: &&usize| memory.bytes(**managers, listed) <= MEMORY_BYTES;
    managers
        .iter()
        .filter(fits)
        .max()
        .copied()
        .unwrap_or_default()
}

/// The cost of ticks with one list, and whether the managers run their timers in this test.
#[derive(Clone, Copy, Debug)]
pub(super) struct TickLoad {
    us_tick: f64,
    run: bool,
}

impl TickLoad {
    /// Measures one tick with this many listed engines; timers run if ticks of this many managers take few
    /// cores together.
    pub(super) fn of(options: &Options, listed: usize, managers: usize) -> TickLoad {
        let us_tick = decision::tick_us(options, listed);
        TickLoad {
            us_tick,
            run: us_tick * managers as f64 / TICK_US <= TICK_CORES,
        }
    }

    /// The cores that ticks of this many managers take.
    pub(super) fn cores(&self, managers: usize) -> f64 {
        rounded(self.us_tick * managers as f64 / TICK_US)
    }

    /// A plan that follows this feed.
    pub(super) fn plan(&self, options: &Options, feed: &Feed) -> ManagerPlan {
        let (instances, memory_mb) = (options.managers, options.memory_mb);
        ManagerPlan {
            instances,
            memory_mb,
            feed: feed.address,
            ticks: self.run,
        }
    }
}

/// When the last manager applied the event; now where there is none.
pub(super) fn latest(applied: &[AppliedEvent]) -> Instant {
    let times = applied.iter().map(|event| event.applied_at);
    times.max().unwrap_or_else(Instant::now)
}

/// First, middle, late and last of some times, in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LatencySummary {
    /// The least.
    ms_first: f64,
    /// The one that half do not pass.
    ms_p50: f64,
    /// The one that 99 in 100 do not pass.
    pub ms_p99: f64,
    /// The last.
    pub ms_most: f64,
}

impl LatencySummary {
    /// Of the times from `start` until each manager applied the event.
    pub(super) fn since(start: Instant, applied: &[AppliedEvent]) -> LatencySummary {
        let times = applied
            .iter()
            .map(|event| event.applied_at.saturating_duration_since(start));
        LatencySummary::of(times.collect())
    }

    /// Of these; there has to be one.
    pub(super) fn of(mut times: Vec<Duration>) -> LatencySummary {
        times.sort_unstable();
        let at = |share: f64| {
            let rank = (times.len() as f64 * share).ceil() as usize;
            rounded(times[rank.clamp(1, times.len()) - 1].as_secs_f64() * 1000.0)
        };
        LatencySummary {
            ms_first: at(0.0),
            ms_p50: at(0.5),
            ms_p99: at(0.99),
            ms_most: at(1.0),
        }
    }
}
