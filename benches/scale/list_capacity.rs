//! Shared by the parts of the `list` test: which fleets of in-process managers fit on this machine,
//! and summaries of latencies.

use super::decision;
use super::feed::Feed;
use super::fit::{LinearFit, Point};
use super::in_process_manager::{AppliedEvent, ManagerPlan};
use super::options::{Options, Test};
use super::row::{LeftOut, Output, ScaleError, Size, rounded};
use serde::Serialize;
use std::time::{Duration, Instant};

/// The test's name in the result rows.
pub(super) const TEST: &str = Test::List.name();
/// Maximum memory of all in-process managers of this process, in bytes.
const MAX_MEMORY_BYTES: f64 = 9e9;
/// Maximum number of cores for the managers' ticks. Above it the managers run no timers, and the
/// row shows this in `ticks`.
const MAX_TICK_CORES: f64 = 2.0;
/// Interval of a manager's timer ticks, in microseconds.
const TICK_INTERVAL_US: f64 = 50_000.0;

/// Resident memory of an in-process manager, by the number of listed engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryModel(LinearFit);

impl MemoryModel {
    /// Fits a line to measured sizes; `None` for fewer than two different sizes.
    pub(super) fn through(points: &[Point]) -> Option<MemoryModel> {
        LinearFit::through(points).map(MemoryModel)
    }

    /// Bytes of this many managers, each with this many listed engines.
    pub(super) fn bytes(&self, managers: usize, listed: usize) -> f64 {
        self.0.value_at(listed as f64).max(0.0) * managers as f64
    }
}

/// Whether this many managers with a list of this size fit in memory. Writes a row if they do not.
pub(super) fn fits_in_memory(
    output: &mut Output,
    memory: MemoryModel,
    (listed, managers): (usize, usize),
) -> Result<bool, ScaleError> {
    let bytes = memory.bytes(managers, listed);
    if bytes <= MAX_MEMORY_BYTES {
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

/// The largest of these numbers of managers that fits in memory; 0 if none does.
pub(super) fn largest_fleet_in_memory(
    memory: MemoryModel,
    listed: usize,
    managers: &[usize],
) -> usize {
    let fits = |managers: &&usize| memory.bytes(**managers, listed) <= MAX_MEMORY_BYTES;
    managers
        .iter()
        .filter(fits)
        .max()
        .copied()
        .unwrap_or_default()
}

/// Processor time of a tick with one list, and whether the managers run their timers in this test.
#[derive(Clone, Copy, Debug)]
pub(super) struct TickLoad {
    us_tick: f64,
    timers_run: bool,
}

impl TickLoad {
    /// Measures one tick with this many listed engines. The timers run if the ticks of this many
    /// managers stay within [`MAX_TICK_CORES`].
    pub(super) fn measure(options: &Options, listed: usize, managers: usize) -> TickLoad {
        let us_tick = decision::tick_us(options, listed);
        TickLoad {
            us_tick,
            timers_run: us_tick * managers as f64 / TICK_INTERVAL_US <= MAX_TICK_CORES,
        }
    }

    /// Cores used by the ticks of this many managers.
    pub(super) fn cores(&self, managers: usize) -> f64 {
        rounded(self.us_tick * managers as f64 / TICK_INTERVAL_US)
    }

    /// A plan for managers that follow this feed.
    pub(super) fn plan(&self, options: &Options, feed: &Feed) -> ManagerPlan {
        let (instances, memory_mb) = (options.managers, options.memory_mb);
        ManagerPlan {
            instances,
            memory_mb,
            feed: feed.address,
            ticks: self.timers_run,
        }
    }
}

/// When the last manager applied the event; the current time if none did.
pub(super) fn last_applied_at(applied: &[AppliedEvent]) -> Instant {
    let times = applied.iter().map(|event| event.applied_at);
    times.max().unwrap_or_else(Instant::now)
}

/// Minimum, median, 99th percentile and maximum of latencies, in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LatencySummary {
    /// Minimum.
    ms_first: f64,
    /// Median.
    ms_p50: f64,
    /// 99th percentile.
    pub ms_p99: f64,
    /// Maximum.
    pub ms_most: f64,
}

impl LatencySummary {
    /// Summarizes the times from `start` until each manager applied the event.
    pub(super) fn since(start: Instant, applied: &[AppliedEvent]) -> LatencySummary {
        let times = applied
            .iter()
            .map(|event| event.applied_at.saturating_duration_since(start));
        LatencySummary::of(times.collect())
    }

    /// Summarizes these times, of which there must be at least one.
    pub(super) fn of(mut times: Vec<Duration>) -> LatencySummary {
        times.sort_unstable();
        let percentile_ms = |share: f64| {
            let rank = (times.len() as f64 * share).ceil() as usize;
            rounded(times[rank.clamp(1, times.len()) - 1].as_secs_f64() * 1000.0)
        };
        LatencySummary {
            ms_first: percentile_ms(0.0),
            ms_p50: percentile_ms(0.5),
            ms_p99: percentile_ms(0.99),
            ms_most: percentile_ms(1.0),
        }
    }
}
