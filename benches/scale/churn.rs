//! Churn of the list: engines that drain, are followed by a successor, and go, at an even rate.

use super::configuration::{FIRST_EVENT, engine};
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
const ORDINARY_DAY: [u32; 3] = [37, 150, 2_600];
/// How many ordinary days are played in one.
const TIMES: u32 = 10;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// From an engine's drain, when its successor is listed, to its end.
const DRAINS_FOR: Duration = Duration::from_secs(1);
/// Engines that go one after another stand this many places apart in the list.
const STRIDE: usize = 7_919;

/// How fast engines are replaced, and how many at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    /// From one replacement to the next.
    pub interval: Duration,
    /// No further ones follow these.
    pub most: Option<u32>,
}

impl Rate {
    /// Ten ordinary days in one.
    pub(super) fn ten_days() -> Rate {
        let replaced = TIMES * ORDINARY_DAY.iter().sum::<u32>();
        Rate {
            interval: Duration::from_secs_f64(SECONDS_PER_DAY / f64::from(replaced)),
            most: None,
        }
    }

    /// Engines that would be replaced in a day.
    pub(super) fn replaced_a_day(self) -> f64 {
        SECONDS_PER_DAY / self.interval.as_secs_f64()
    }

    fn allows(self, replaced: u32) -> bool {
        self.most.is_none_or(|most| replaced < most)
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
        rate: Rate,
    ) -> Churn {
        let events = Arc::<AtomicU64>::default();
        let (stop, stopped) = mpsc::channel::<()>();
        let (feed, count) = (feed.clone(), events.clone());
        let mut list = RollingReplacement::new(listed.to_vec(), port);
        let thread = thread::spawn(move || {
            let publish = |event| {
                feed.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .publish(&event);
                count.fetch_add(1, Ordering::SeqCst);
            };
            let goes_on = |until: Instant| {
                let left = until.saturating_duration_since(Instant::now());
                stopped.recv_timeout(left) == Err(RecvTimeoutError::Timeout)
            };
            let (mut next, mut replaced) = (Instant::now(), 0);
            while rate.allows(replaced) && goes_on(next) {
                publish(list.drain());
                // What drains ends, also where the churn is over.
                goes_on(next + DRAINS_FOR.min(rate.interval / 2));
                publish(list.end());
                replaced += 1;
                next += rate.interval;
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
    place: usize,
    next_engine: u32,
    event: u64,
    old: Option<EngineRecord>,
}

impl RollingReplacement {
    fn new(listed: Vec<EngineRecord>, port: u16) -> RollingReplacement {
        let next_engine = listed.len() as u32;
        RollingReplacement {
            listed,
            port,
            place: 0,
            next_engine,
            event: FIRST_EVENT,
            old: None,
        }
    }

    /// The next engine drains, and its successor is ready.
    fn drain(&mut self) -> EndpointListEvent {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = now.as_millis() as f64;
        let mut successor = engine(self.next_engine, EngineState::Ready, started_ms, self.port);
        self.next_engine += 1;
        let length = self.listed.len();
        let place = self.place % length;
        self.place = (place + STRIDE) % length;
        successor.entry.zone = self.listed[place].entry.zone;
        let mut old = std::mem::replace(&mut self.listed[place], successor.clone());
        old.entry.state = EngineState::Draining;
        self.old = Some(old.clone());
        self.change(vec![old, successor])
    }

    /// What drains ends.
    fn end(&mut self) -> EndpointListEvent {
        let gone = self.old.take().into_iter().map(|mut old| {
            old.entry.state = EngineState::Removed;
            old
        });
        let gone = gone.collect();
        self.change(gone)
    }

    fn change(&mut self, entries: Vec<EngineRecord>) -> EndpointListEvent {
        self.event += 1;
        EndpointListEvent {
            number: self.event,
            kind: ListUpdateKind::Delta,
            records: entries,
            unusable_engines: Vec::new(),
        }
    }
}
