//! How soon a change is in force at all managers of a fleet, and how soon a zone's managers that start at once have
//! their list.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fit::{Figure, Point, Prediction};
use super::fleet;
use super::in_process_manager::{AppliedEvent, RosterSize};
use super::list_capacity::{
    LatencySummary, MemoryModel, TEST, TickLoad, fits, largest_fitting, latest,
};
use super::manager_group::{DispatchTotals, ManagerGroup};
use super::options::Options;
use super::row::{Output, ScaleError, Size, rounded};
use super::server_load::Load;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Statements that each manager serves after the changes, to check that none goes to a removed engine.
const STATEMENTS: u32 = 5;
/// A successor's start, in ms of Unix time: any but 0 makes it cold.
const STARTED_MS: f64 = 1e12;

const CHANGES: u32 = 20;
const CHANGES_SMALL: u32 = 3;

/// Managers of one case of a fleet.
const MANAGERS: [usize; 4] = [100, 300, 1_000, fleet::IN_PROCESS_MANAGERS];
const MANAGERS_SMALL: [usize; 4] = [2, 4, 8, fleet::IN_PROCESS_MANAGERS_SMALL];

#[derive(Serialize)]
struct ChangeRow {
    #[serde(flatten)]
    size: Size,
    /// ChangeResults played one after another; times are over all managers and changes, in ms from the publication.
    changes: u32,
    #[serde(flatten)]
    times: LatencySummary,
    /// Least over the changes of managers that send nothing to the engine that is gone, and may send to the successor.
    old_ended: usize,
    successor_ready: usize,
    /// Whether the module's timer ran at each manager, and the cores that it takes by a measured tick.
    ticks: bool,
    tick_cores: f64,
    /// Processor time of the feed for a change, in ms.
    feed_ms_change: f64,
    /// Attempts of statements after the changes, and those among them whose engine was gone.
    asked: usize,
    asked_of_ended: usize,
    #[serde(flatten)]
    taken_up: RosterSize,
}

#[derive(Serialize)]
struct StartRow {
    #[serde(flatten)]
    size: Size,
    /// From the start of the first until the full list is in force, in ms.
    #[serde(flatten)]
    times: LatencySummary,
    ticks: bool,
    feed_connections: u64,
    feed_bytes: u64,
    /// The feed's load over that time.
    feed_load: Load,
}

/// Plays the fleets that fit the memory; a row names each that does not.
pub(super) fn run(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
) -> Result<(), ScaleError> {
    let (sizes, managers) = (options.listed(), managers(options));
    let (Some(short), Some(long)) = (sizes.first().copied(), sizes.last().copied()) else {
        return Ok(());
    };
    let ticks = TickLoad::of(options, short, largest_fitting(memory, short, &managers));
    let mut points: [Vec<Point>; 2] = Default::default();
    let mut predictions = Vec::new();
    for (at, count) in managers.iter().copied().enumerate() {
        if at + 1 == managers.len() {
            for (name, points) in ["ms_p99", "ms_most"].into_iter().zip(&points) {
                let of = Figure {
                    test: TEST,
                    figure: name,
                    over: "managers",
                };
                predictions.push(Prediction::write(output, of, points, count as f64)?);
            }
        }
        let Some(row) = changes(options, output, (memory, ticks), (short, count))? else {
            continue;
        };
        for (points, figure) in points.iter_mut().zip([row.times.ms_p99, row.times.ms_most]) {
            points.push((count as f64, figure));
        }
        for (prediction, figure) in predictions
            .iter()
            .zip([row.times.ms_p99, row.times.ms_most])
        {
            prediction.check(output, figure)?;
        }
    }
    let ticks = TickLoad::of(options, long, largest_fitting(memory, long, &managers));
    for count in managers {
        changes(options, output, (memory, ticks), (long, count))?;
    }
    starts(options, output, memory, long)
}

/// The numbers of managers, ascending.
fn managers(options: &Options) -> [usize; 4] {
    if options.small {
        MANAGERS_SMALL
    } else {
        MANAGERS
    }
}

fn changes(
    options: &Options,
    output: &mut Output,
    (memory, ticks): (MemoryModel, TickLoad),
    (listed, managers): (usize, usize),
) -> Result<Option<ChangeRow>, ScaleError> {
    if !fits(output, memory, (listed, managers))? {
        return Ok(None);
    }
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = ticks.plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    let listing = group.await_event(1)?[0];
    let changes = if options.small {
        CHANGES_SMALL
    } else {
        CHANGES
    };
    let mut seen = ChangeResults::default();
    let before = feed.processor_time(Instant::now())?;
    for change in 0..changes {
        seen.play(&feed, &group, listed as u32, change)?;
    }
    let in_feed = feed.processor_time(Instant::now())? - before;
    let DispatchTotals {
        dispatched: asked,
        dispatched_to_ended: asked_of_ended,
    } = group.serve(STATEMENTS)?;
    let times = LatencySummary::of(seen.times);
    let row = ChangeRow {
        size: Size::measured(TEST, "change", listed, managers),
        changes,
        times,
        old_ended: seen.old_ended.unwrap_or_default(),
        successor_ready: seen.successor_ready.unwrap_or_default(),
        ticks: plan.ticks,
        tick_cores: ticks.cores(managers),
        feed_ms_change: rounded(in_feed.as_secs_f64() * 1000.0 / f64::from(changes)),
        asked,
        asked_of_ended,
        taken_up: listing.taken_up,
    };
    output.row(&row)?;
    Ok(Some(row))
}

/// What some changes came to.
#[derive(Default)]
struct ChangeResults {
    times: Vec<Duration>,
    old_ended: Option<usize>,
    successor_ready: Option<usize>,
}

impl ChangeResults {
    /// Replaces one engine; returns once all managers have applied that.
    fn play(
        &mut self,
        feed: &Feed,
        group: &ManagerGroup,
        listed: u32,
        change: u32,
    ) -> Result<(), ScaleError> {
        let event = fleet::replacement(u64::from(change) + 2, change, listed + change, STARTED_MS);
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

/// A zone's managers start at once, each without a list.
fn starts(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
    listed: usize,
) -> Result<(), ScaleError> {
    let managers = fleet::MANAGERS_OF_A_ZONE.min(options.max_managers());
    if !fits(output, memory, (listed, managers))? {
        return Ok(());
    }
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = TickLoad::of(options, listed, managers).plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    let applied = group.await_event(1)?;
    let times = LatencySummary::since(group.started_at, &applied);
    let over = latest(&applied);
    let totals = feed.totals();
    output.row(&StartRow {
        size: Size::measured(TEST, "start", listed, managers),
        ticks: plan.ticks,
        times,
        feed_connections: totals.connections,
        feed_bytes: totals.bytes,
        feed_load: feed.load(group.started_at, over)?,
    })
}
