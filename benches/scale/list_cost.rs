//! Cost of a full list, of a change and of an idle feed at one manager, by the number of listed
//! engines.

use super::feed::{FRAME_HEADER_BYTES, Feed, HEARTBEAT_INTERVAL, frame};
use super::fit::{Figure, Point, Prediction};
use super::in_process_manager::{AppliedEvent, ManagerPlan, RosterSize};
use super::list_capacity::{MemoryModel, TEST};
use super::manager_group::ManagerGroup;
use super::options::Options;
use super::row::{Output, ScaleError, Size, rounded};
use super::{fleet, memory};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Interval of the heartbeats, which are empty frames, while their cost is measured.
const SHORT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for the heartbeats.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How much is measured at each size.
struct RunPlan {
    rounds: usize,
    changes: u32,
    heartbeats: u64,
}

const FULL_RUN: RunPlan = RunPlan {
    rounds: 5,
    changes: 100,
    heartbeats: 400,
};
const SMALL_RUN: RunPlan = RunPlan {
    rounds: 1,
    changes: 5,
    heartbeats: 5,
};

#[derive(Serialize)]
struct CostRow {
    #[serde(flatten)]
    size: Size,
    memory_mb: usize,
    #[serde(flatten)]
    taken_up: RosterSize,
    /// Processor time of the manager (feed reader, roster and dispatcher) in microseconds, as
    /// medians over the rounds: for the full list, for one change and for one heartbeat.
    us_whole: f64,
    us_change: f64,
    us_empty_frame: f64,
    /// Bytes of the frame with the full list, and of the frame with one change.
    bytes_whole: u64,
    bytes_change: u64,
    /// Bytes of heartbeats per second that one manager receives while nothing changes.
    bytes_second_at_rest: f64,
    /// Resident memory of one in-process manager with its list, the number of managers measured
    /// together for that, and the peak of a single manager while it took up its list.
    memory_bytes: f64,
    memory_managers: usize,
    memory_peak_bytes: f64,
    rounds: usize,
}

/// Results of one round at one size.
struct Round {
    full_list_us: f64,
    change_us: f64,
    heartbeat_us: f64,
    bytes_whole: u64,
    bytes_change: u64,
    full_list: AppliedEvent,
}

/// Reads a figure from a row.
type FigureReader = fn(&CostRow) -> f64;

/// Figures that are fitted as a function of the number of listed engines.
const FITTED_FIGURES: [(&str, FigureReader); 5] = [
    ("us_whole", |row| row.us_whole),
    ("us_change", |row| row.us_change),
    ("bytes_whole", |row| row.bytes_whole as f64),
    ("memory_bytes", |row| row.memory_bytes),
    ("memory_peak_bytes", |row| row.memory_peak_bytes),
];

/// Measures all sizes, predicts the figures of the largest from the others, and returns the memory
/// of a manager by list size.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<MemoryModel, ScaleError> {
    let sizes = options.list_sizes();
    let mut rows: Vec<CostRow> = Vec::new();
    let mut predictions = Vec::new();
    for (index, listed) in sizes.iter().copied().enumerate() {
        if index + 1 == sizes.len() && rows.len() >= 2 {
            for (name, read_figure) in FITTED_FIGURES {
                let points = points(&rows, read_figure);
                let prediction = Prediction::write(
                    output,
                    Figure {
                        test: TEST,
                        figure: name,
                        over: "listed",
                    },
                    &points,
                    listed as f64,
                )?;
                predictions.push((prediction, read_figure));
            }
        }
        let row = measure(options, listed)?;
        output.row(&row)?;
        for (prediction, read_figure) in &predictions {
            prediction.write_error(output, read_figure(&row))?;
        }
        rows.push(row);
    }
    let no_line =
        || ScaleError::CheckFailed("cannot fit a line through the measured memory".to_owned());
    MemoryModel::through(&points(&rows, |row| row.memory_bytes)).ok_or_else(no_line)
}

fn points(rows: &[CostRow], read_figure: FigureReader) -> Vec<Point> {
    rows.iter()
        .map(|row| (row.size.listed as f64, read_figure(row)))
        .collect()
}

fn measure(options: &Options, listed: usize) -> Result<CostRow, ScaleError> {
    let run_plan = if options.small { &SMALL_RUN } else { &FULL_RUN };
    let manager_memory = memory::measure_manager(options, listed)?;
    let rounds = (0..run_plan.rounds).map(|_| measure_round(options, run_plan, listed));
    let rounds = rounds.collect::<Result<Vec<Round>, ScaleError>>()?;
    let median = |figure: fn(&Round) -> f64| {
        let mut all: Vec<f64> = rounds.iter().map(figure).collect();
        all.sort_by(f64::total_cmp);
        rounded(all[all.len() / 2])
    };
    let first_round = &rounds[0];
    Ok(CostRow {
        size: Size::measured(TEST, "cost", listed, options.managers as usize),
        memory_mb: options.memory_mb,
        taken_up: first_round.full_list.taken_up,
        us_whole: median(|round| round.full_list_us),
        us_change: median(|round| round.change_us),
        us_empty_frame: median(|round| round.heartbeat_us),
        bytes_whole: first_round.bytes_whole,
        bytes_change: first_round.bytes_change,
        bytes_second_at_rest: FRAME_HEADER_BYTES as f64 / HEARTBEAT_INTERVAL.as_secs_f64(),
        memory_bytes: manager_memory.bytes.round(),
        memory_managers: manager_memory.managers,
        memory_peak_bytes: manager_memory.peak_bytes.round(),
        rounds: rounds.len(),
    })
}

/// Measures one manager that receives a full list, then changes one by one, then heartbeats.
fn measure_round(
    options: &Options,
    run_plan: &RunPlan,
    listed: usize,
) -> Result<Round, ScaleError> {
    let list = fleet::full_list(1, listed);
    let feed = Feed::start(&list, SHORT_HEARTBEAT_INTERVAL)?;
    let plan = ManagerPlan {
        instances: options.managers,
        memory_mb: options.memory_mb,
        feed: feed.address,
        ticks: false,
    };
    let group = ManagerGroup::start(&plan, 1)?;
    let full_list = group.await_event(1)?[0];
    let before = group.usage()?;
    for change in 0..run_plan.changes {
        let event = fleet::replacement(u64::from(change) + 2, change, listed as u32 + change, 0.0);
        feed.publish(&event);
        group.await_event(event.number)?;
    }
    let changes_time = group.usage()? - before;
    let heartbeat_us = measure_heartbeats(&feed, &group, run_plan)?;
    let change_us = changes_time.as_secs_f64() * 1e6 / f64::from(run_plan.changes);
    Ok(Round {
        full_list_us: full_list.processor_time.as_secs_f64() * 1e6,
        change_us,
        heartbeat_us,
        bytes_whole: frame(&list).len() as u64,
        bytes_change: frame(&fleet::replacement(2, 0, listed as u32, 0.0)).len() as u64,
        full_list,
    })
}

/// Processor time of the manager for one heartbeat, in microseconds.
fn measure_heartbeats(
    feed: &Feed,
    group: &ManagerGroup,
    run_plan: &RunPlan,
) -> Result<f64, ScaleError> {
    let deadline = Instant::now() + MAX_WAIT;
    let (frames_before, time_before) = (feed.totals().frames, group.usage()?);
    while feed.totals().frames < frames_before + run_plan.heartbeats {
        if Instant::now() > deadline {
            return Err(ScaleError::CheckFailed(
                "the feed did not write enough heartbeats in time".to_owned(),
            ));
        }
        std::thread::sleep(SHORT_HEARTBEAT_INTERVAL);
    }
    let (frames_written, spent) = (
        feed.totals().frames - frames_before,
        group.usage()? - time_before,
    );
    Ok(spent.as_secs_f64() * 1e6 / frames_written as f64)
}
