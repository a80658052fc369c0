//! How soon a change is in force at all managers of a fleet, and how soon a zone's managers that start at once have
//! their list.

use super::cost::Memory;
use super::crowd::{Crowd, Service};
use super::feed::{Feed, IDLE};
use super::fit::{Figure, Point, Prediction};
use super::hollow::{Plan, Sighting, TakenUp};
use super::list::TEST;
use super::load::Load;
use super::row::{Failure, LeftOut, Output, Size, rounded};
use super::{Options, decision, fleet};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Memory that all hollow managers of this process may take.
const MEMORY_BYTES: f64 = 9e9;
/// Cores that their ticks may take; where they would take more, the ticks are left out and the row says so.
const TICK_CORES: f64 = 2.0;
const TICK_US: f64 = 50_000.0;
/// Statements that each manager takes in after the changes, to see that none goes to an engine that is gone.
const STATEMENTS: u32 = 5;
/// A successor's start, in ms of Unix time: any but 0 makes it cold.
const STARTED_MS: f64 = 1e12;

const CHANGES: u32 = 20;
const CHANGES_SMALL: u32 = 3;

/// Managers of one case of a fleet.
const MANAGERS: [usize; 4] = [100, 300, 1_000, fleet::HOLLOW];
const MANAGERS_SMALL: [usize; 4] = [2, 4, 8, fleet::HOLLOW_SMALL];

#[derive(Serialize)]
struct ChangeRow {
    #[serde(flatten)]
    size: Size,
    /// Changes played one after another; times are over all managers and changes, in ms from the word to the feed.
    changes: u32,
    #[serde(flatten)]
    times: Times,
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
    taken_up: TakenUp,
}

#[derive(Serialize)]
struct StartRow {
    #[serde(flatten)]
    size: Size,
    /// From the start of the first until the whole list is in force, in ms.
    #[serde(flatten)]
    times: Times,
    ticks: bool,
    feed_connections: u64,
    feed_bytes: u64,
    /// The feed's load over that time.
    feed_load: Load,
}

/// Plays the fleets that fit the memory; the others are said.
pub(super) fn run(options: &Options, output: &mut Output, memory: Memory) -> Result<(), Failure> {
    let (sizes, managers) = (options.listed(), managers(options));
    let (Some(short), Some(long)) = (sizes.first().copied(), sizes.last().copied()) else {
        return Ok(());
    };
    let ticks = Ticks::of(options, short, fitting(memory, short, &managers));
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
    let ticks = Ticks::of(options, long, fitting(memory, long, &managers));
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

/// Whether so many managers with such a list fit; where they do not, a row says so.
pub(super) fn fits(
    output: &mut Output,
    memory: Memory,
    (listed, managers): (usize, usize),
) -> Result<bool, Failure> {
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

/// Whether so many managers fit without a word on those that do not.
fn fitting(memory: Memory, listed: usize, managers: &[usize]) -> usize {
    let fits = |managers: &&usize| memory.bytes(**managers, listed) <= MEMORY_BYTES;
    managers
        .iter()
        .filter(fits)
        .max()
        .copied()
        .unwrap_or_default()
}

/// Ticks of managers with one list, alike for all numbers of them: whether they run beside each other here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticks {
    us_tick: f64,
    run: bool,
}

impl Ticks {
    /// With so many listed engines and so many managers at most: measures one tick, and runs them where they take few
    /// cores together.
    pub(super) fn of(options: &Options, listed: usize, managers: usize) -> Ticks {
        let us_tick = decision::tick_us(options, listed);
        Ticks {
            us_tick,
            run: us_tick * managers as f64 / TICK_US <= TICK_CORES,
        }
    }

    /// The cores that so many managers take.
    fn cores(&self, managers: usize) -> f64 {
        rounded(self.us_tick * managers as f64 / TICK_US)
    }

    /// A plan that follows this feed.
    pub(super) fn plan(&self, options: &Options, feed: &Feed) -> Plan {
        let (instances, memory_mb) = (options.managers, options.memory_mb);
        Plan {
            instances,
            memory_mb,
            feed: feed.address,
            ticks: self.run,
        }
    }
}

fn changes(
    options: &Options,
    output: &mut Output,
    (memory, ticks): (Memory, Ticks),
    (listed, managers): (usize, usize),
) -> Result<Option<ChangeRow>, Failure> {
    if !fits(output, memory, (listed, managers))? {
        return Ok(None);
    }
    let feed = Feed::start(&fleet::whole_list(1, listed), IDLE)?;
    let plan = ticks.plan(options, &feed);
    let crowd = Crowd::start(&plan, managers)?;
    let listing = crowd.gather(1)?[0];
    let changes = if options.small {
        CHANGES_SMALL
    } else {
        CHANGES
    };
    let mut seen = Changes::default();
    let before = feed.processor(Instant::now())?;
    for change in 0..changes {
        seen.play(&feed, &crowd, listed as u32, change)?;
    }
    let in_feed = feed.processor(Instant::now())? - before;
    let Service {
        asked,
        asked_of_ended,
    } = crowd.serve(STATEMENTS)?;
    let times = Times::of(seen.times);
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
struct Changes {
    times: Vec<Duration>,
    old_ended: Option<usize>,
    successor_ready: Option<usize>,
}

impl Changes {
    /// One engine goes and its successor comes; returns once that is in force everywhere.
    fn play(
        &mut self,
        feed: &Feed,
        crowd: &Crowd,
        listed: u32,
        change: u32,
    ) -> Result<(), Failure> {
        let event = fleet::replacement(u64::from(change) + 2, change, listed + change, STARTED_MS);
        let told = feed.publish(&event);
        let sightings = crowd.gather(event.number)?;
        self.times.extend(
            sightings
                .iter()
                .map(|sighting| sighting.at.saturating_duration_since(told)),
        );
        let least = |of: fn(&Sighting) -> usize, so_far: Option<usize>| {
            let now = sightings.iter().map(of).sum::<usize>();
            Some(so_far.map_or(now, |so_far| so_far.min(now)))
        };
        self.old_ended = least(|sighting| sighting.ended, self.old_ended);
        self.successor_ready = least(|sighting| sighting.ready, self.successor_ready);
        Ok(())
    }
}

/// A zone's managers start at once, each without a list.
fn starts(
    options: &Options,
    output: &mut Output,
    memory: Memory,
    listed: usize,
) -> Result<(), Failure> {
    let managers = fleet::MANAGERS_OF_A_ZONE.min(options.most_managers());
    if !fits(output, memory, (listed, managers))? {
        return Ok(());
    }
    let feed = Feed::start(&fleet::whole_list(1, listed), IDLE)?;
    let plan = Ticks::of(options, listed, managers).plan(options, &feed);
    let crowd = Crowd::start(&plan, managers)?;
    let sightings = crowd.gather(1)?;
    let over = sightings
        .iter()
        .map(|sighting| sighting.at)
        .max()
        .unwrap_or_else(Instant::now);
    let times = sightings
        .iter()
        .map(|sighting| sighting.at.saturating_duration_since(crowd.began));
    let times = Times::of(times.collect());
    let totals = feed.totals();
    output.row(&StartRow {
        size: Size::measured(TEST, "start", listed, managers),
        ticks: plan.ticks,
        times,
        feed_connections: totals.connections,
        feed_bytes: totals.bytes,
        feed_load: feed.load(crowd.began, over)?,
    })
}

/// First, middle, late and last of some times, in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Times {
    /// The least.
    ms_first: f64,
    /// The one that half do not pass.
    ms_p50: f64,
    /// The one that 99 in 100 do not pass.
    ms_p99: f64,
    /// The last.
    ms_most: f64,
}

impl Times {
    /// Of these; there has to be one.
    pub(super) fn of(mut times: Vec<Duration>) -> Times {
        times.sort_unstable();
        let at = |share: f64| {
            let rank = (times.len() as f64 * share).ceil() as usize;
            rounded(times[rank.clamp(1, times.len()) - 1].as_secs_f64() * 1000.0)
        };
        Times {
            ms_first: at(0.0),
            ms_p50: at(0.5),
            ms_p99: at(0.99),
            ms_most: at(1.0),
        }
    }
}
