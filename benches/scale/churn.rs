//! Churn of the endpoint list: at a constant rate, an engine drains, its successor is listed, and
//! the old engine is removed.

use super::configuration::{FIRST_EVENT, engine_at};
use super::feed::Feed;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use workload_manager::node_config::{EndpointListEvent, EngineRecord};
use workload_manager::{EngineState, ListUpdateKind};

/// Changes on an ordinary day: changes of primary, failed machines, and machines restarted or
/// replaced. Each is counted as the replacement of an engine, though restarts and failures of other
/// machines are among them.
const REPLACEMENTS_PER_DAY: [u32; 3] = [37, 150, 2_600];
/// The changes of this many ordinary days are spread over one day.
const DAYS_IN_ONE: u32 = 10;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time from the start of an engine's draining, when its successor is listed, to its removal.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Distance in the list between two engines that are replaced one after the other.
const INDEX_STRIDE: usize = 7_919;

/// How often engines are replaced, and the maximum number of replacements.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplacementRate {
    /// Time from the start of one replacement to the start of the next.
    pub interval: Duration,
    /// Maximum number of replacements; `None` for no limit.
    pub max_replacements: Option<u32>,
}

impl ReplacementRate {
    /// The rate that spreads the changes of ten ordinary days over one day.
    pub(super) fn ten_days_in_one() -> ReplacementRate {
        let replacements = DAYS_IN_ONE * REPLACEMENTS_PER_DAY.iter().sum::<u32>();
        ReplacementRate {
            interval: Duration::from_secs_f64(SECONDS_PER_DAY / f64::from(replacements)),
            max_replacements: None,
        }
    }

    /// Number of engines that this rate replaces per day, without the maximum.
    pub(super) fn replacements_per_day(self) -> f64 {
        SECONDS_PER_DAY / self.interval.as_secs_f64()
    }

    fn allows_another(self, replaced: u32) -> bool {
        self.max_replacements
            .is_none_or(|max_replacements| replaced < max_replacements)
    }
}

/// Replaces engines and publishes the events, until it is dropped or finished.
pub(super) struct Churn {
    events: Arc<AtomicU64>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Churn {
    /// Starts a thread that begins a replacement at once and another one after each interval.
    pub(super) fn start(
        feed: &Arc<Mutex<Feed>>,
        listed: &[EngineRecord],
        port: u16,
        rate: ReplacementRate,
    ) -> Churn {
        let events = Arc::<AtomicU64>::default();
        let (stop, stop_signal) = mpsc::channel::<()>();
        let (feed, event_count) = (feed.clone(), events.clone());
        let mut replacement = RollingReplacement::new(listed.to_vec(), port);
        let thread = thread::spawn(move || {
            let publish = |event| {
                feed.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .publish(&event);
                event_count.fetch_add(1, Ordering::SeqCst);
            };
            let wait_until = |deadline: Instant| {
                let remaining = deadline.saturating_duration_since(Instant::now());
                stop_signal.recv_timeout(remaining) == Err(RecvTimeoutError::Timeout)
            };
            let (mut next_start, mut replaced) = (Instant::now(), 0);
            while rate.allows_another(replaced) && wait_until(next_start) {
                publish(replacement.drain_next());
                // A draining engine is removed even if the churn is being stopped.
                wait_until(next_start + DRAIN_TIME.min(rate.interval / 2));
                publish(replacement.remove_drained());
                replaced += 1;
                next_start += rate.interval;
            }
        });
        Churn {
            events,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Number of events published so far, two for each replaced engine.
    pub(super) fn events(&self) -> u64 {
        self.events.load(Ordering::SeqCst)
    }

    /// Stops after the current replacement is complete, and returns the number of published events.
    pub(super) fn finish(mut self) -> u64 {
        self.stop();
        self.events()
    }

    fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Churn {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Replaces the engines of an endpoint list one after another, and creates the events.
struct RollingReplacement {
    /// Engines that are ready.
    listed: Vec<EngineRecord>,
    /// Port of every engine.
    port: u16,
    /// Position in `listed` of the engine that is replaced next.
    next_index: usize,
    /// Index from which the next successor gets its id.
    next_engine_index: u32,
    /// Number of the last event.
    last_event: u64,
    /// The engine that was replaced last, until its removal.
    draining: Option<EngineRecord>,
}

impl RollingReplacement {
    fn new(listed: Vec<EngineRecord>, port: u16) -> RollingReplacement {
        let next_engine_index = listed.len() as u32;
        RollingReplacement {
            listed,
            port,
            next_index: 0,
            next_engine_index,
            last_event: FIRST_EVENT,
            draining: None,
        }
    }

    /// Marks the next engine as draining, and adds its successor as ready.
    fn drain_next(&mut self) -> EndpointListEvent {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = now.as_millis() as f64;
        let mut successor = engine_at(
            self.next_engine_index,
            EngineState::Ready,
            started_ms,
            self.port,
        );
        self.next_engine_index += 1;
        let length = self.listed.len();
        let index = self.next_index % length;
        self.next_index = (index + INDEX_STRIDE) % length;
        successor.entry.zone = self.listed[index].entry.zone;
        let mut old = std::mem::replace(&mut self.listed[index], successor.clone());
        old.entry.state = EngineState::Draining;
        self.draining = Some(old.clone());
        self.delta(vec![old, successor])
    }

    /// Removes the draining engine.
    fn remove_drained(&mut self) -> EndpointListEvent {
        let removed = self.draining.take().into_iter().map(|mut old| {
            old.entry.state = EngineState::Removed;
            old
        });
        let removed = removed.collect();
        self.delta(removed)
    }

    fn delta(&mut self, entries: Vec<EngineRecord>) -> EndpointListEvent {
        self.last_event += 1;
        EndpointListEvent {
            number: self.last_event,
            kind: ListUpdateKind::Delta,
            records: entries,
            unusable_engines: Vec::new(),
        }
    }
}
