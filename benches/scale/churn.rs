//! Churn of the list: engines that drain, are followed by a successor, and go, at an even rate.

use super::configuration::{FIRST_EVENT, engine_at};
use super::feed::Feed;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use workload_manager::node_config::{EndpointListEvent, EngineRecord};
use workload_manager::{EngineState, ListUpdateKind};

/// An ordinary day's changes, each taken to replace an engine, though restarts and failures of other machines count
/// among them: changes of primary, failed machines, restarted or replaced machines.
const REPLACEMENTS_PER_DAY: [u32; 3] = [37, 150, 2_600];
/// How many ordinary days are played in one.
const DAYS_IN_ONE: u32 = 10;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// From an engine's drain, when its successor is listed, to its end.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Engines that go one after another stand this many places apart in the list.
const INDEX_STRIDE: usize = 7_919;

/// How fast engines are replaced, and how many at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplacementRate {
    /// From one replacement to the next.
    pub interval: Duration,
    /// No further ones follow these.
    pub max_replacements: Option<u32>,
}

impl ReplacementRate {
    /// Ten ordinary days in one.
    pub(super) fn ten_days_in_one() -> ReplacementRate {
        let replacements = DAYS_IN_ONE * REPLACEMENTS_PER_DAY.iter().sum::<u32>();
        ReplacementRate {
            interval: Duration::from_secs_f64(SECONDS_PER_DAY / f64::from(replacements)),
            max_replacements: None,
        }
    }

    /// Engines that would be replaced in a day.
    pub(super) fn replacements_per_day(self) -> f64 {
        SECONDS_PER_DAY / self.interval.as_secs_f64()
    }

    fn allows_another(self, replaced: u32) -> bool {
        self.max_replacements
            .is_none_or(|max_replacements| replaced < max_replacements)
    }
}

/// Replacements, published for as long as this value lives.
pub(super) struct Churn {
    events: Arc<AtomicU64>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Churn {
    /// Tells a replacement at once and then one each interval.
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
                // What drains ends, also where the churn is over.
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

    /// Events published so far: two for each engine replaced.
    pub(super) fn events(&self) -> u64 {
        self.events.load(Ordering::SeqCst)
    }

    /// Ends it, with no engine left halfway; returns the number of published events.
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

/// The list as it is published, and the numbers of its events.
struct RollingReplacement {
    listed: Vec<EngineRecord>,
    port: u16,
    next_index: usize,
    next_engine_index: u32,
    last_event: u64,
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

    /// The next engine drains, and its successor is ready.
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

    /// What drains ends.
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
