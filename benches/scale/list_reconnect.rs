//! An outage of the feed: the time until all managers have reconnected and applied the event that
//! they missed, and the feed's worst 100 ms against its mean while idle.

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fleet;
use super::list_capacity::{
    LatencySummary, MemoryModel, TEST, TickLoad, fits_in_memory, last_applied_at,
};
use super::manager_group::ManagerGroup;
use super::options::Options;
use super::row::{Output, ScaleError, Size, rounded};
use super::server_load::{Load, LoadWindow};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Length of the feed's outage, and of the measurement of its load while idle.
const OUTAGE: Duration = Duration::from_secs(3);
const IDLE_WATCH: Duration = Duration::from_secs(5);
const OUTAGE_SMALL: Duration = Duration::from_millis(200);
const IDLE_WATCH_SMALL: Duration = Duration::from_millis(200);
/// Number of the event that the managers miss.
const MISSED_EVENT: u64 = 2;

#[derive(Serialize)]
struct ReconnectRow {
    #[serde(flatten)]
    size: Size,
    /// Time from the end of the outage until a manager has applied the missed event, in ms.
    #[serde(flatten)]
    times: LatencySummary,
    /// Whether the dispatcher's timer ran in each manager.
    ticks: bool,
    /// Length of the outage, in ms.
    away_ms: f64,
    /// Connections that the feed accepted after the outage, and bytes that it sent.
    feed_connections: u64,
    feed_bytes: u64,
    /// Load of the feed from the end of the outage until the last manager has applied the missed
    /// event, its load while idle before the outage, and the worst 100 ms of the former against the
    /// mean of the latter.
    feed_load: Load,
    feed_at_rest: Load,
    feed_worst_to_rest: LoadWindow,
}

/// Measures how all managers, with the shortest list, reconnect after an outage of the feed.
pub(super) fn run(
    options: &Options,
    output: &mut Output,
    memory: MemoryModel,
) -> Result<(), ScaleError> {
    let Some(listed) = options.list_sizes().first().copied() else {
        return Ok(());
    };
    let managers = options.max_managers();
    if !fits_in_memory(output, memory, (listed, managers))? {
        return Ok(());
    }
    let (outage, idle_watch) = if options.small {
        (OUTAGE_SMALL, IDLE_WATCH_SMALL)
    } else {
        (OUTAGE, IDLE_WATCH)
    };
    let feed = Feed::start(&fleet::full_list(1, listed), HEARTBEAT_INTERVAL)?;
    let plan = TickLoad::measure(options, listed, managers).plan(options, &feed);
    let group = ManagerGroup::start(&plan, managers)?;
    group.await_event(1)?;
    let idle_start = Instant::now();
    std::thread::sleep(idle_watch);
    let idle_load = feed.load(idle_start, Instant::now())?;
    feed.stop_listening()?;
    feed.publish(&fleet::replacement(MISSED_EVENT, 0, listed as u32, 0.0));
    let totals_before = feed.totals();
    std::thread::sleep(outage);
    let resumed = feed.resume_listening()?;
    let applied = group.await_event(MISSED_EVENT)?;
    let times = LatencySummary::since(resumed, &applied);
    let load = feed.load(resumed, last_applied_at(&applied))?;
    let totals = feed.totals();
    output.row(&ReconnectRow {
        size: Size::measured(TEST, "return", listed, managers),
        ticks: plan.ticks,
        away_ms: rounded(outage.as_secs_f64() * 1000.0),
        times,
        feed_connections: totals.connections - totals_before.connections,
        feed_bytes: totals.bytes - totals_before.bytes,
        feed_worst_to_rest: load.worst_ratio_to(&idle_load),
        feed_load: load,
        feed_at_rest: idle_load,
    })
}
