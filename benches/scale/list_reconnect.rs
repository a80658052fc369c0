//! The feed goes away for a while: how soon all managers are back and have what they missed, and the feed's worst
//! 100 ms against its mean.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fleet;
use super::list_capacity::{LatencySummary, MemoryModel, TEST, TickLoad, fits, latest};
use super::manager_group::ManagerGroup;
use super::options::Options;
use super::row::{Output, ScaleError, Size, rounded};
use super::server_load::{Load, LoadWindow};
use serde::Serialize;
use std::time::{Duration, Instant};

/// How long the feed is away, and how long its load is watched while nothing happens.
const AWAY: Duration = Duration::from_secs(3);
const AT_REST: Duration = Duration::from_secs(5);
const AWAY_SMALL: Duration = Duration::from_millis(200);
const AT_REST_SMALL: Duration = Duration::from_millis(200);
/// The number of the event that the managers miss.
const MISSED: u64 = 2;

#[derive(Serialize)]
struct ReturnRow {
    #[serde(flatten)]
    size: Size,
    /// From the feed's return until the event that was missed is in force, in ms.
    #[serde(flatten)]
    times: LatencySummary,
    ticks: bool,
    away_ms: f64,
    feed_connections: u64,
    feed_bytes: u64,
    /// The feed's load from its return until the last manager is back; before it went, at rest; and the worst 100 ms of
    /// the return against the mean at rest.
    feed_load: Load,
    feed_at_rest: Load,
    feed_worst_to_rest: LoadWindow,
}

/// All managers with the short list come back after the feed was away.
pub(super) fn run(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
) -> Result<(), ScaleError> {
    let Some(listed) = options.listed().first().copied() else {
        return Ok(());
    };
    let managers = options.max_managers();
    if !fits(output, memory, (listed, managers))? {
        return Ok(());
    }
    let (away, at_rest) = if options.small {
        (AWAY_SMALL, AT_REST_SMALL)
    } else {
        (AWAY, AT_REST)
    };
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = TickLoad::of(options, listed, managers).plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    group.await_event(1)?;
    let rested = Instant::now();
    std::thread::sleep(at_rest);
    let resting = feed.load(rested, Instant::now())?;
    feed.stop_listening()?;
    feed.publish(&fleet::replacement(MISSED, 0, listed as u32, 0.0));
    let before = feed.totals();
    std::thread::sleep(away);
    let back = feed.resume_listening()?;
    let applied = group.await_event(MISSED)?;
    let times = LatencySummary::since(back, &applied);
    let load = feed.load(back, latest(&applied))?;
    let totals = feed.totals();
    output.row(&ReturnRow {
        size: Size::measured(TEST, "return", listed, managers),
        ticks: plan.ticks,
        away_ms: rounded(away.as_secs_f64() * 1000.0),
        times,
        feed_connections: totals.connections - before.connections,
        feed_bytes: totals.bytes - before.bytes,
        feed_worst_to_rest: load.worst_ratio_to(&resting),
        feed_load: load,
        feed_at_rest: resting,
    })
}
