//! The engines: the state of each, and how the endpoint list and manual ejections change it.

use super::concurrency_limit::{INITIAL_THREADS_PER_CORE, ParabolaFit};
use super::health_checks::FailureDetector;
use super::load_estimate::EngineLoad;
use super::outlier_ejection::OutlierState;
use super::slow_start::SlowStart;
use super::slowdown::EngineSlowdown;
use super::{Dispatcher, EngineEntry, EngineId, EngineState, ListUpdateKind, Millis};
use super::{RequestId, hash::mix};
use std::collections::BTreeSet;

/// One engine.
#[derive(Default)]
pub(super) struct Engine {
    /// Its latest entry in the endpoint list.
    pub(super) entry: EngineEntry,
    /// Cores after it has warmed up.
    pub(super) warm_cores: f64,
    /// This manager's share of the initial concurrency limit, in threads.
    pub(super) share_threads: f64,
    /// Threads of this manager's queries that run on it.
    pub(super) own_threads: u32,
    /// The requests whose attempts run on it.
    pub(super) running: BTreeSet<RequestId>,
    /// Hash of its id.
    pub(super) hash: u64,
    /// Whether the on-call staff have ejected it.
    pub(super) is_manually_ejected: bool,
    pub(super) slow_start: SlowStart,
    pub(super) limit: ParabolaFit,
    pub(super) slowdown: EngineSlowdown,
    pub(super) load: EngineLoad,
    pub(super) failures: FailureDetector,
    pub(super) outlier: OutlierState,
}

impl Engine {
    fn new(id: EngineId, initial_limit: f64, now_ms: Millis, is_manually_ejected: bool) -> Self {
        let EngineId { addr, port } = id;
        let address = u64::from(u32::from_be_bytes(addr));
        Engine {
            hash: mix(address ^ u64::from(port) << 32),
            is_manually_ejected,
            limit: ParabolaFit::new(initial_limit, now_ms),
            failures: FailureDetector::new(now_ms),
            ..Engine::default()
        }
    }

    /// Discards the estimates of the engine's previous incarnation, and begins a slow start.
    fn reset_after_start(
        &mut self,
        started_at_ms: Millis,
        slow_start_ms: Millis,
        initial_limit: f64,
        now_ms: Millis,
    ) {
        self.slow_start.set_period(started_at_ms, slow_start_ms);
        self.limit = ParabolaFit::new(initial_limit, now_ms);
        self.slowdown = EngineSlowdown::default();
        self.load.clear_load();
        self.failures.clear_failures();
        self.outlier.clear_errors();
    }

    /// Whether it has warmed up, so that its whole capacity is available.
    pub(super) fn is_warm(&self, now_ms: Millis) -> bool {
        self.slow_start.is_warm(now_ms)
    }

    /// Whether it is listed as ready and not manually ejected.
    pub(super) fn is_usable(&self) -> bool {
        self.entry.state == EngineState::Ready && !self.is_manually_ejected
    }

    /// Whether it gets no new requests now, after a failure or as an ejected outlier.
    pub(super) fn is_paused(&self, now_ms: Millis) -> bool {
        let unavailable_until_ms = self.failures.unavailable_until_ms();
        now_ms < unavailable_until_ms.max(self.outlier.ejected_until_ms())
    }
}

impl Dispatcher {
    /// Applies an update of the endpoint list.
    pub(super) fn on_endpoint_list(&mut self, kind: ListUpdateKind, entries: Vec<EngineEntry>) {
        match kind {
            ListUpdateKind::PollFailed => {
                self.list_polled = false;
                return;
            }
            ListUpdateKind::Full | ListUpdateKind::Cached => self.remove_unlisted(&entries),
            ListUpdateKind::Delta => {}
        }
        for entry in entries {
            self.update_engine(entry);
        }
    }

    fn remove_unlisted(&mut self, entries: &[EngineEntry]) {
        let listed: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        for (id, engine) in &mut self.engines {
            if !listed.contains(id) {
                engine.entry.state = EngineState::Removed;
            }
        }
    }

    fn update_engine(&mut self, entry: EngineEntry) {
        let now_ms = self.now_ms;
        let cores = self.listed_cores(&entry);
        let managers = self.settings.sharing(&entry).mean_managers;
        let share_threads = cores * INITIAL_THREADS_PER_CORE / managers;
        let initial_limit = share_threads.max(self.max_class_threads);
        let id = entry.engine;
        let is_new = !self.engines.contains_key(&id);
        let is_manually_ejected = self.manual_ejections.contains(&id);
        let engine = self
            .engines
            .entry(id)
            .or_insert_with(|| Engine::new(id, initial_limit, now_ms, is_manually_ejected));
        let started_at_ms = entry.started_at_ms;
        let has_restarted = is_new || started_at_ms != engine.entry.started_at_ms;
        if started_at_ms > 0.0 && has_restarted {
            let slow_start_ms = self.settings.slow_start_ms;
            engine.reset_after_start(started_at_ms, slow_start_ms, initial_limit, now_ms);
        }
        engine.warm_cores = cores;
        engine.share_threads = share_threads;
        engine.entry = entry;
    }

    /// Cores of an engine: those of its machine type if the settings have them, else its listed
    /// size.
    fn listed_cores(&self, entry: &EngineEntry) -> f64 {
        let machine_type = usize::from(entry.machine_type);
        let cores = self.settings.machine_type_cores.get(machine_type).copied();
        let listed_size = if entry.nominal_capacity.is_finite() {
            entry.nominal_capacity.max(1.0)
        } else {
            1.0
        };
        cores.filter(|cores| *cores > 0.0).unwrap_or(listed_size)
    }

    /// Applies a manual ejection or its end. Neither an update of the endpoint list, nor a reuse of
    /// the address, nor a start of the engine ends a manual ejection.
    ///
    /// An engine that is returned to service begins a slow start: it was restarted during the
    /// ejection, and the endpoint list reports the restart late or never.
    pub(super) fn on_manual_ejection(&mut self, id: EngineId, is_ejected: bool, at_ms: Millis) {
        let has_changed = if is_ejected {
            self.manual_ejections.insert(id)
        } else {
            self.manual_ejections.remove(&id)
        };
        if !has_changed {
            return;
        }
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        engine.is_manually_ejected = is_ejected;
        if !is_ejected {
            let initial_limit = engine.limit.initial_limit();
            engine.reset_after_start(
                at_ms,
                self.settings.slow_start_ms,
                initial_limit,
                self.now_ms,
            );
        }
    }

    /// Drops the engines that are removed from the list and have no running attempt.
    pub(super) fn drop_removed_engines(&mut self) {
        self.engines.retain(|_, engine| {
            engine.entry.state != EngineState::Removed || !engine.running.is_empty()
        });
    }
}
