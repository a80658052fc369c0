//! What one manager pays for a full list, a change and the feed at rest, by listed engines.

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

/// Interval of empty frames while their cost is measured, and how many are waited for.
const BUSY_IDLE: Duration = Duration::from_millis(5);
const LONGEST: Duration = Duration::from_secs(30);

/// How much is played at each size.
struct Effort {
    rounds: usize,
    changes: u32,
    empty_frames: u64,
}

const FULL: Effort = Effort {
    rounds: 5,
    changes: 100,
    empty_frames: 400,
};
const SMALL: Effort = Effort {
    rounds: 1,
    changes: 5,
    empty_frames: 5,
};

#[derive(Serialize)]
struct CostRow {
    #[serde(flatten)]
    size: Size,
    memory_mb: usize,
    #[serde(flatten)]
    taken_up: RosterSize,
    /// Processor time of the manager: reader, roster and module. Medians of the rounds.
    us_whole: f64,
    us_change: f64,
    us_empty_frame: f64,
    bytes_whole: u64,
    bytes_change: u64,
    /// Of one manager while nothing changes.
    bytes_second_at_rest: f64,
    /// Resident memory of one in-process manager with its list, the managers that were measured together for that, and the
    /// most that one alone took as its list came.
    memory_bytes: f64,
    memory_managers: usize,
    memory_peak_bytes: f64,
    rounds: usize,
}

/// What one round at one size came to.
struct Round {
    whole_us: f64,
    change_us: f64,
    empty_us: f64,
    bytes_whole: u64,
    bytes_change: u64,
    whole: AppliedEvent,
}

/// How to read a figure off a row.
type Reading = fn(&CostRow) -> f64;

/// The figures that are fitted over the size of the list.
const FIGURES: [(&str, Reading); 5] = [
    ("us_whole", |row| row.us_whole),
    ("us_change", |row| row.us_change),
    ("bytes_whole", |row| row.bytes_whole as f64),
    ("memory_bytes", |row| row.memory_bytes),
    ("memory_peak_bytes", |row| row.memory_peak_bytes),
];

/// Plays all sizes, predicts the largest from the others, and returns what memory a manager takes.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<MemoryModel, ScaleError> {
    let sizes = options.listed();
    let mut rows: Vec<CostRow> = Vec::new();
    let mut predictions = Vec::new();
    for (at, listed) in sizes.iter().copied().enumerate() {
        if at + 1 == sizes.len() && rows.len() >= 2 {
            for (name, figure) in FIGURES {
                let points = points(&rows, figure);
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
                predictions.push((prediction, figure));
            }
        }
        let row = measure(options, listed)?;
        output.row(&row)?;
        for (prediction, figure) in &predictions {
            prediction.check(output, figure(&row))?;
        }
        rows.push(row);
    }
    let broken = || ScaleError::CheckFailed("no line through the measured memory".to_owned());
    MemoryModel::through(&points(&rows, |row| row.memory_bytes)).ok_or_else(broken)
}

fn points(rows: &[CostRow], figure: Reading) -> Vec<Point> {
    rows.iter()
        .map(|row| (row.size.listed as f64, figure(row)))
        .collect()
}

fn measure(options: &Options, listed: usize) -> Result<CostRow, ScaleError> {
    let effort = if options.small { &SMALL } else { &FULL };
    let held = memory::of(options, listed)?;
    let rounds = (0..effort.rounds).map(|_| round(options, effort, listed));
    let rounds = rounds.collect::<Result<Vec<Round>, ScaleError>>()?;
    let median = |figure: fn(&Round) -> f64| {
        let mut all: Vec<f64> = rounds.iter().map(figure).collect();
        all.sort_by(f64::total_cmp);
        rounded(all[all.len() / 2])
    };
    let any = &rounds[0];
    Ok(CostRow {
        size: Size::measured(TEST, "cost", listed, options.managers as usize),
        memory_mb: options.memory_mb,
        taken_up: any.whole.taken_up,
        us_whole: median(|round| round.whole_us),
        us_change: median(|round| round.change_us),
        us_empty_frame: median(|round| round.empty_us),
        bytes_whole: any.bytes_whole,
        bytes_change: any.bytes_change,
        bytes_second_at_rest: FRAME_HEADER_BYTES as f64 / HEARTBEAT_INTERVAL.as_secs_f64(),
        memory_bytes: held.bytes.round(),
        memory_managers: held.managers,
        memory_peak_bytes: held.peak_bytes.round(),
        rounds: rounds.len(),
    })
}

/// One manager that gets its full list, then changes one by one, then empty frames.
fn round(options: &Options, effort: &Effort, listed: usize) -> Result<Round, ScaleError> {
    let list = fleet::full_list(1, listed);
    let feed = Feed::start(&list, BUSY_IDLE)?;
    let plan = ManagerPlan {
        instances: options.managers,
        memory_mb: options.memory_mb,
        feed: feed.address,
        ticks: false,
    };
    let group = ManagerGroup::start(&plan, 1)?;
    let whole = group.await_event(1)?[0];
    let before = group.usage()?;
    for change in 0..effort.changes {
        let event = fleet::replacement(u64::from(change) + 2, change, listed as u32 + change, 0.0);
        feed.publish(&event);
        group.await_event(event.number)?;
    }
    let in_changes = group.usage()? - before;
    let empty_us = at_rest(&feed, &group, effort)?;
    let change_us = in_changes.as_secs_f64() * 1e6 / f64::from(effort.changes);
    Ok(Round {
        whole_us: whole.processor_time.as_secs_f64() * 1e6,
        change_us,
        empty_us,
        bytes_whole: frame(&list).len() as u64,
        bytes_change: frame(&fleet::replacement(2, 0, listed as u32, 0.0)).len() as u64,
        whole,
    })
}

/// Processor time of the manager for one empty frame, in us.
fn at_rest(feed: &Feed, group: &ManagerGroup, effort: &Effort) -> Result<f64, ScaleError> {
    let until = Instant::now() + LONGEST;
    let (frames, before) = (feed.totals().frames, group.usage()?);
    while feed.totals().frames < frames + effort.empty_frames {
        if Instant::now() > until {
            return Err(ScaleError::CheckFailed(
                "the feed does not write empty frames".to_owned(),
            ));
        }
        std::thread::sleep(BUSY_IDLE);
    }
    let (passed, spent) = (feed.totals().frames - frames, group.usage()? - before);
    Ok(spent.as_secs_f64() * 1e6 / passed as f64)
}
