//! The decision module: on which engine and when each request runs, and which requests are
//! rejected.
//!
//! [`Dispatcher`] owns all state of the decisions. It does no I/O and reads no clock: its host
//! calls [`Dispatcher::handle`] with the time and one [`Event`], and carries out the [`Action`]s in
//! their order. The core and the simulator's adapter are such hosts. The same events at the same
//! times give the same actions.
//!
//! Each file holds one concern, its state and its constants:
//!
//! - `events`, `settings`, `endpoint_list`: the types between the dispatcher and its host
//! - `admission`, `dispatch`, `order_keys`, `requests`: requests from their admission to their end
//! - `engine`, `engine_selection`, `concurrency_limit`, `slow_start`: engines, and what may be
//!   placed on them
//! - `health_checks`, `outlier_ejection`, `hung_attempts`: faults of engines and attempts
//! - `attempt_end`, `retries`: what follows the end of an attempt
//! - `class_statistics`, `load_estimate`, `slowdown`, `traffic`: measurements, and estimates from
//!   them
//!
//! The constants are not specific to one deployment. `docs/design.md` describes the method behind
//! them. An id in parentheses in a comment, such as `18f1f014`, is that of a recorded failure; most
//! of them have a test in `tests/failures.rs`.

mod admission;
mod attempt_end;
mod class_statistics;
mod concurrency_limit;
mod dispatch;
mod endpoint_list;
mod engine;
mod engine_selection;
mod events;
mod hash;
mod health_checks;
mod hung_attempts;
mod load_estimate;
mod order_keys;
mod outlier_ejection;
mod requests;
mod retries;
mod settings;
mod slow_start;
mod slowdown;
mod traffic;

pub use endpoint_list::{EngineEntry, EngineId, EngineSharing, EngineState, ListUpdateKind};
pub use events::{
    Action, AttemptEnded, EndReason, EngineHealthChange, Event, LoadReport, Millis, Outcome,
    Progress, Request, RequestId,
};
pub use settings::{
    Class, DedupScope, Idempotency, LoadReportMode, ReplacedSettings, RetryBudget, Settings,
    SettingsError,
};

pub(crate) use hash::mix;

use class_statistics::ClassStatistics;
use concurrency_limit::ParabolaFit;
use engine::Engine;
use health_checks::HealthCheckBudget;
use load_estimate::{FleetLoad, ThreadsPerQuery};
use order_keys::OrderKeys;
use requests::{ArrivalNumber, QueuedRequest};
use retries::RetryWindow;
use slowdown::FleetSlowdown;
use std::collections::{BTreeMap, BTreeSet};
use traffic::{ServedWork, Traffic};

/// Interval in ms between housekeeping ticks, well below any latency objective.
const TICK_MS: Millis = 50.0;
/// Token of the timer for the housekeeping tick.
const TICK_TOKEN: u64 = 1;
/// Initial value of the pooled concurrency limit, in multiples of `INITIAL_THREADS_PER_CORE`.
const INITIAL_POOLED_LIMIT: f64 = 1.0;

/// The decisions of one workload manager.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    /// Seed of the hashes that break ties; it differs between managers.
    seed: u64,
    now_ms: Millis,
    last_arrival_number: ArrivalNumber,
    requests: BTreeMap<RequestId, QueuedRequest>,
    /// Requests without an attempt in flight, by arrival number.
    queue: BTreeMap<ArrivalNumber, RequestId>,
    order_keys: OrderKeys,
    engines: BTreeMap<EngineId, Engine>,
    /// Engines that the on-call staff have ejected, whether or not the endpoint list contains them.
    manual_ejections: BTreeSet<EngineId>,
    /// Number by which this manager's part of the engines' capacity is divided to give that of this
    /// process. It is above 1 while a peer process uses the rest; a value below 1 counts as 1.
    capacity_divisor: f64,
    /// Statistics of each class, by its position in the settings.
    class_statistics: Vec<ClassStatistics>,
    retry_window: RetryWindow,
    /// Whether the endpoint list has been polled and no poll has failed since.
    list_polled: bool,
    /// Whether any load report has contained a count of queries.
    reports_count_queries: bool,
    /// Whether any served attempt has come with its measured work.
    work_is_measured: bool,
    threads_per_query: ThreadsPerQuery,
    fleet_load: FleetLoad,
    /// One parabola fit over all engines, for threads per core in multiples of
    /// `INITIAL_THREADS_PER_CORE`.
    pooled_limit: ParabolaFit,
    slowdown: FleetSlowdown,
    served_work: ServedWork,
    traffic: Traffic,
    health_check_budget: HealthCheckBudget,
    /// Threads per query of the class that uses the most threads.
    max_class_threads: f64,
    /// Sum of this manager's shares of the usable engines, in threads; updated at each tick.
    fleet_share_threads: f64,
    /// Threads of all attempts of this manager that are in flight.
    running_threads: f64,
}

impl Dispatcher {
    /// Creates a dispatcher with these settings. `seed` makes each workload manager break ties
    /// differently.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Dispatcher {
            class_statistics: settings.classes.iter().map(ClassStatistics::new).collect(),
            pooled_limit: ParabolaFit::new(INITIAL_POOLED_LIMIT, 0.0),
            max_class_threads: settings.max_class_threads(),
            settings,
            seed,
            ..Dispatcher::default()
        })
    }

    /// Handles one event at the time `now_ms`, and appends the actions that the host must carry
    /// out.
    pub fn handle(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.apply(event, actions);
        self.dispatch_queue(actions);
    }

    fn apply(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.on_endpoint_list(kind, entries),
            Event::ManualEjection {
                engine,
                ejected,
                at_ms,
            } => self.on_manual_ejection(engine, ejected, at_ms),
            Event::PeerProcesses { capacity_divisor } => self.capacity_divisor = capacity_divisor,
            Event::Settings(settings) => self.on_settings(*settings),
            Event::Request(request) => self.on_request(&request, actions),
            Event::ResultStreaming { id, attempt } => {
                if let Some(attempt) = self.attempt_in_flight(id, attempt) {
                    attempt.is_streaming = true;
                }
            }
            Event::Started | Event::Timer { token: TICK_TOKEN } => self.on_tick(actions),
            Event::Timer { .. } | Event::PeerMessage { .. } => {}
            Event::ClientDisconnected { id } => self.finish(id),
            Event::Progress {
                id,
                attempt,
                progress,
            } => self.on_progress(id, attempt, progress, actions),
            Event::AttemptEnded(ended) => {
                self.on_load_report(ended.engine, ended.load_report);
                let attempt = self.attempt_in_flight(ended.id, ended.attempt);
                if attempt.is_some_and(|attempt| attempt.engine == ended.engine) {
                    self.on_attempt_ended(&ended, actions);
                }
            }
            Event::HealthCheckEnded {
                engine,
                outcome,
                load_report,
                ..
            } => {
                self.on_load_report(engine, load_report);
                self.on_health_check_ended(engine, outcome, actions);
            }
        }
    }

    /// Number of listed engines that get no new requests now, because the on-call staff or this
    /// dispatcher ejected them, or because they failed.
    pub fn ejected_engines(&self) -> usize {
        let is_ejected = |engine: &Engine| {
            let is_paused = engine.is_usable() && engine.is_paused(self.now_ms);
            engine.is_manually_ejected || is_paused
        };
        self.engines
            .values()
            .filter(|engine| engine.entry.state != EngineState::Removed)
            .filter(|engine| is_ejected(engine))
            .count()
    }

    /// The settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The engines that the on-call staff have ejected.
    pub fn manual_ejections(&self) -> &BTreeSet<EngineId> {
        &self.manual_ejections
    }

    /// Numbers of all requests, of queued requests, of order keys and of engines in the
    /// dispatcher's state, in this order.
    pub fn state_sizes(&self) -> [usize; 4] {
        [
            self.requests.len(),
            self.queue.len(),
            self.order_keys.len(),
            self.engines.len(),
        ]
    }

    /// Replaces the settings. A class keeps its statistics if the new settings have a class of the
    /// same name; a request keeps the class that it came with.
    fn on_settings(&mut self, new_settings: Settings) {
        let is_used = |class: usize| self.requests.values().any(|request| request.class == class);
        let replaced = new_settings.replacing(&self.settings, is_used);
        let settings = replaced.settings;
        let old_names = &self.settings.class_names;
        self.class_statistics = settings
            .class_names
            .iter()
            .zip(&settings.classes)
            .map(|(name, class)| {
                let old_position = old_names.iter().position(|old_name| old_name == name);
                old_position.map_or_else(
                    || ClassStatistics::new(class),
                    |position| self.class_statistics[position].clone(),
                )
            })
            .collect();
        for request in self.requests.values_mut() {
            request.class = replaced.class_positions[request.class];
        }
        self.max_class_threads = settings.max_class_threads();
        self.settings = settings;
    }

    /// Does the periodic housekeeping.
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after_ms: TICK_MS,
            token: TICK_TOKEN,
        });
        self.served_work.advance(TICK_MS);
        self.order_keys.expire(self.now_ms);
        self.traffic.advance(TICK_MS);
        if self.settings.must_poll_list && !self.list_polled {
            self.list_polled = true;
            actions.push(Action::SubscribeEndpointList);
        }
        self.slowdown.update_median(self.engines.values());
        self.fleet_share_threads = self.usable_share_threads();
        self.watch_engines(actions);
        if let Some(oldest) = self.queue.values().next().copied() {
            self.send_health_checks(oldest, actions);
        }
        let too_late: Vec<RequestId> = self
            .queue
            .values()
            .copied()
            .filter(|id| self.is_too_late(*id))
            .collect();
        for id in too_late {
            self.reject_or_fail(id, EndReason::TooLate, actions);
        }
        self.shed_load(actions);
    }

    /// Sum of this manager's shares of the usable engines, in threads, in proportion to the cores
    /// that each engine has at present.
    fn usable_share_threads(&self) -> f64 {
        self.engines
            .values()
            .filter(|engine| engine.is_usable())
            .map(|engine| engine.share_threads * self.available_cores(engine) / engine.warm_cores)
            .sum()
    }
}
