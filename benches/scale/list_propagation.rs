//! Time until all managers of a fleet have applied a change, and until the managers of a zone that
//! start at the same time have their list.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fit::{Figure, Point, Prediction};
use super::fleet;
use super::in_process_manager::{AppliedEvent, RosterSize};
use super::list_capacity::{
    LatencySummary, MemoryModel, TEST, TickLoad, fits_in_memory, largest_fleet_in_memory,
    last_applied_at,
};
use super::manager_group::{DispatchTotals, ManagerGroup};
use super::options::Options;
use super::row::{Output, ScaleError, Size, rounded};
use super::server_load::Load;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Statements that each manager serves after the changes, to check that none is sent to a removed
/// engine.
const STATEMENTS_PER_MANAGER: u32 = 5;
/// Start time of a successor, in ms of Unix time. With any value but 0 the engine is warming up.
const SUCCESSOR_STARTED_MS: f64 = 1e12;

/// Number of changes made one after another.
const CHANGES: u32 = 20;
const CHANGES_SMALL: u32 = 3;

/// Numbers of managers that are measured, ascending.
const FLEET_SIZES: [usize; 4] = [100, 300, 1_000, fleet::MAX_IN_PROCESS_MANAGERS];
const FLEET_SIZES_SMALL: [usize; 4] = [2, 4, 8, fleet::MAX_IN_PROCESS_MANAGERS_SMALL];

#[derive(Serialize)]
struct ChangeRow {
    #[serde(flatten)]
    size: Size,
    /// Number of changes, made one after another. The times are over all managers and changes, in
    /// ms from the publication.
    changes: u32,
    #[serde(flatten)]
    times: LatencySummary,
    /// Number of managers that no longer send to the removed engine, and number of managers that
    /// may send to its successor: each the minimum over the changes.
    old_ended: usize,
    successor_ready: usize,
    /// Whether the dispatcher's timer ran in each manager, and the cores that the ticks use,
    /// computed from one measured tick.
    ticks: bool,
    tick_cores: f64,
    /// Processor time of the feed per change, in ms.
    feed_ms_change: f64,
    /// Attempts of the statements after the changes, and those among them that were sent to a
    /// removed engine.
    asked: usize,
    asked_of_ended: usize,
    #[serde(flatten)]
    taken_up: RosterSize,
}

#[derive(Serialize)]
struct StartRow {
    #[serde(flatten)]
    size: Size,
    /// Time from the start of the first manager until a manager has applied the full list, in ms.
    #[serde(flatten)]
    times: LatencySummary,
    /// Whether the dispatcher's timer ran in each manager.
    ticks: bool,
    /// Connections that the feed accepted, and bytes that it sent.
    feed_connections: u64,
    feed_bytes: u64,
    /// Load of the feed until the last manager has applied the full list.
    feed_load: Load,
}

/// Measures the fleets that fit in memory, and writes a row for each one that does not.
pub(super) fn run(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
) -> Result<(), ScaleError> {
    let (sizes, managers) = (options.list_sizes(), fleet_sizes(options));
    let (Some(shortest), Some(longest)) = (sizes.first().copied(), sizes.last().copied()) else {
        return Ok(());
    };
    let ticks = TickLoad::measure(
        options,
        shortest,
        largest_fleet_in_memory(memory, shortest, &managers),
    );
    let mut points: [Vec<Point>; 2] = Default::default();
    let mut predictions = Vec::new();
    for (index, count) in managers.iter().copied().enumerate() {
        if index + 1 == managers.len() {
            for (name, points) in ["ms_p99", "ms_most"].into_iter().zip(&points) {
                let predicted_figure = Figure {
                    test: TEST,
                    figure: name,
                    over: "managers",
                };
                predictions.push(Prediction::write(
                    output,
                    predicted_figure,
                    points,
                    count as f64,
                )?);
            }
        }
        let Some(row) = measure_changes(options, output, (memory, ticks), (shortest, count))?
        else {
            continue;
        };
        for (points, figure) in points.iter_mut().zip([row.times.ms_p99, row.times.ms_most]) {
            points.push((count as f64, figure));
        }
        for (prediction, figure) in predictions
            .iter()
            .zip([row.times.ms_p99, row.times.ms_most])
        {
            prediction.write_error(output, figure)?;
        }
    }
    let ticks = TickLoad::measure(
        options,
        longest,
        largest_fleet_in_memory(memory, longest, &managers),
    );
    for count in managers {
        measure_changes(options, output, (memory, ticks), (longest, count))?;
    }
    measure_zone_start(options, output, memory, longest)
}

/// The numbers of managers to measure, ascending.
fn fleet_sizes(options: &Options) -> [usize; 4] {
    if options.small {
        FLEET_SIZES_SMALL
    } else {
        FLEET_SIZES
    }
}

fn measure_changes(
    options: &Options,
    output: &mut Output,
    (memory, ticks): (MemoryModel, TickLoad),
    (listed, managers): (usize, usize),
) -> Result<Option<ChangeRow>, ScaleError> {
    if !fits_in_memory(output, memory, (listed, managers))? {
        return Ok(None);
    }
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = ticks.plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    let full_list = group.await_event(1)?[0];
    let changes = if options.small {
        CHANGES_SMALL
    } else {
        CHANGES
    };
    let mut results = ChangeResults::default();
    let time_before = feed.processor_time(Instant::now())?;
    for change in 0..changes {
        results.apply_change(&feed, &group, listed as u32, change)?;
    }
    let feed_time = feed.processor_time(Instant::now())? - time_before;
    let DispatchTotals {
        dispatched: asked,
        dispatched_to_ended: asked_of_ended,
    } = group.serve(STATEMENTS_PER_MANAGER)?;
    let times = LatencySummary::of(results.times);
    let row = ChangeRow {
        size: Size::measured(TEST, "change", listed, managers),
        changes,
        times,
        old_ended: results.old_ended.unwrap_or_default(),
        successor_ready: results.successor_ready.unwrap_or_default(),
        ticks: plan.ticks,
        tick_cores: ticks.cores(managers),
        feed_ms_change: rounded(feed_time.as_secs_f64() * 1000.0 / f64::from(changes)),
        asked,
        asked_of_ended,
        taken_up: full_list.taken_up,
    };
    output.row(&row)?;
    Ok(Some(row))
}

/// Results of the changes made so far.
#[derive(Default)]
struct ChangeResults {
    times: Vec<Duration>,
    old_ended: Option<usize>,
    successor_ready: Option<usize>,
}

impl ChangeResults {
    /// Replaces one engine and waits until all managers have applied the change.
    fn apply_change(
        &mut self,
        feed: &Feed,
        group: &ManagerGroup,
        listed: u32,
        change: u32,
    ) -> Result<(), ScaleError> {
        let event = fleet::replacement(
            u64::from(change) + 2,
            change,
            listed + change,
            SUCCESSOR_STARTED_MS,
        );
        let published = feed.publish(&event);
        let applied = group.await_event(event.number)?;
        self.times.extend(
            applied
                .iter()
                .map(|event| event.applied_at.saturating_duration_since(published)),
        );
        let least = |of: fn(&AppliedEvent) -> usize, so_far: Option<usize>| {
            let now = applied.iter().map(of).sum::<usize>();
            Some(so_far.map_or(now, |so_far| so_far.min(now)))
        };
        self.old_ended = least(|event| event.removed_count, self.old_ended);
        self.successor_ready = least(|event| event.ready_count, self.successor_ready);
        Ok(())
    }
}

/// Measures the managers of a zone that start at the same time, each without a list.
fn measure_zone_start(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
    listed: usize,
) -> Result<(), ScaleError> {
    let managers = fleet::MANAGERS_PER_ZONE.min(options.max_managers());
    if !fits_in_memory(output, memory, (listed, managers))? {
        return Ok(());
    }
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = TickLoad::measure(options, listed, managers).plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    let applied = group.await_event(1)?;
    let times = LatencySummary::since(group.started_at, &applied);
    let ended = last_applied_at(&applied);
    let totals = feed.totals();
    output.row(&StartRow {
        size: Size::measured(TEST, "start", listed, managers),
        ticks: plan.ticks,
        times,
        feed_connections: totals.connections,
        feed_bytes: totals.bytes,
        feed_load: feed.load(group.started_at, ended)?,
    })
}
