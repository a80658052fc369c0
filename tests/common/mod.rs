//! Helpers that the tests share: settings, engines and events with usual values, and a dispatcher with a clock.
#![allow(dead_code)]

use workload_manager::{
    Action, AttemptEnded, Class, Dispatcher, EngineEntry, EngineId, EngineState, Event,
    Idempotency, ListUpdateKind, LoadReport, LoadReportMode, Outcome, Request, Settings,
};

/// An idempotent class without bounds; its clients wait five times its latency objective.
pub(crate) fn class(threads: u32, latency_objective_ms: f64, priority_weight: f64) -> Class {
    Class {
        priority_weight,
        late_weight_factor: 0.2,
        latency_objective_ms,
        objective_work_factor: 2.0,
        client_timeout_ms: latency_objective_ms * 5.0,
        threads,
        idempotency: Idempotency::Idempotent,
        dedup_window_ms: 20_000.0,
        ordered_by_key: false,
        is_bulk_load: false,
        waits_for_bulk_loads: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

/// Settings of a single workload manager with these classes.
pub(crate) fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        instances: 1,
        classes,
        machine_type_cores: vec![8.0, 4.0],
        max_attempts: 4,
        cancellation_allowed: true,
        health_checks_allowed: false,
        max_retry_after_ms: 500.0,
        slow_start_initial_share: 0.3,
        slow_start_ms: 10_000.0,
        overload_multiple: 2.0,
        overload_window_ms: 1000.0,
        order_key_pause_ms: 300.0,
        load_reports: LoadReportMode::Inline,
        ..Settings::default()
    }
}

/// The address of the engine with this number.
pub(crate) fn engine(n: u8) -> EngineId {
    EngineId {
        addr: [10, 0, 0, n],
        port: 8000,
    }
}

/// The list's entry of an engine: two zones, two machine types and three cells in turn.
pub(crate) fn entry(n: u8, state: EngineState, started_at_ms: f64) -> EngineEntry {
    EngineEntry {
        engine: engine(n),
        zone: n % 2,
        machine_type: u16::from(n / 2 % 2),
        cell: u16::from(n % 3),
        state,
        nominal_capacity: 8.0,
        started_at_ms,
        sharing: None,
    }
}

/// A dispatcher under test, with its clock.
pub(crate) struct TestBench {
    pub(crate) dispatcher: Dispatcher,
    /// The time in ms.
    pub(crate) now: f64,
}

impl TestBench {
    /// A dispatcher that has started and has so many ready engines.
    pub(crate) fn new(settings: Settings, engines: u8) -> TestBench {
        let mut bench = TestBench {
            dispatcher: Dispatcher::new(settings, 7).expect("settings"),
            now: 1000.0,
        };
        bench.event(Event::Started);
        let entries = (0..engines)
            .map(|n| entry(n, EngineState::Ready, 0.0))
            .collect();
        bench.event(Event::EndpointList {
            kind: ListUpdateKind::Cached,
            entries,
        });
        bench
    }

    /// Hands an event to the dispatcher and returns its actions.
    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass and the housekeeping's timer come due.
    pub(crate) fn tick(&mut self, elapsed_ms: f64) -> Vec<Action> {
        self.now += elapsed_ms;
        self.event(Event::Timer { token: 1 })
    }

    /// Changes entries of the endpoint list.
    pub(crate) fn list(&mut self, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.event(Event::EndpointList {
            kind: ListUpdateKind::Delta,
            entries,
        })
    }

    /// A request without estimates, whose client waits 20 s.
    pub(crate) fn request(&mut self, id: u32, class: usize, order_key: u64) -> Vec<Action> {
        self.request_with(id, class, order_key, 20_000.0, None)
    }

    /// A request of one of three data sets, whose client waits so long.
    pub(crate) fn request_with(
        &mut self,
        id: u32,
        class: usize,
        order_key: u64,
        patience_ms: f64,
        estimated_work_ms: Option<f64>,
    ) -> Vec<Action> {
        self.event(Event::Request(Request {
            id,
            class,
            order_key,
            deadline_ms: self.now + patience_ms,
            estimated_work_ms,
            data_set: id % 3,
            estimated_memory_mb: None,
            max_attempts: None,
        }))
    }

    /// An attempt ends after 100 ms.
    pub(crate) fn ended(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.ended_after(id, attempt, engine, outcome, 100.0)
    }

    /// An attempt ends after so long.
    pub(crate) fn ended_after(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
        elapsed_ms: f64,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms,
            answered: outcome == Outcome::Ok,
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: LoadReport::default(),
        }))
    }
}

/// A request of data set 7 with the given estimates.
pub(crate) fn query(
    id: u32,
    class: usize,
    deadline_ms: f64,
    estimated_work_ms: Option<f64>,
    estimated_memory_mb: Option<f64>,
) -> Event {
    Event::Request(Request {
        id,
        class,
        order_key: 0,
        deadline_ms,
        estimated_work_ms,
        data_set: 7,
        estimated_memory_mb,
        max_attempts: None,
    })
}

/// What a served attempt needed, where answers tell that.
#[derive(Clone, Copy)]
pub(crate) struct Measured {
    pub(crate) work_ms: f64,
    pub(crate) memory_mb: f64,
}

/// So much measured work and memory.
pub(crate) fn measured(work_ms: f64, memory_mb: f64) -> Option<Measured> {
    Some(Measured { work_ms, memory_mb })
}

/// The end of a request's first attempt, which was served.
pub(crate) fn served(
    id: u32,
    engine: EngineId,
    elapsed_ms: f64,
    measured: Option<Measured>,
    load_report: LoadReport,
) -> Event {
    Event::AttemptEnded(AttemptEnded {
        id,
        attempt: 0,
        engine,
        outcome: Outcome::Ok,
        elapsed_ms,
        answered: true,
        measured_work_ms: measured.map(|needed| needed.work_ms),
        measured_memory_mb: measured.map(|needed| needed.memory_mb),
        load_report,
    })
}

/// Where a request was sent by these actions, if it was.
pub(crate) fn sent(actions: &[Action], id: u32) -> Option<EngineId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            id: sent_id,
            engine,
            ..
        } if *sent_id == id => Some(*engine),
        _ => None,
    })
}

/// Ids of the requests sent by these actions, in order.
pub(crate) fn all_sent(actions: &[Action]) -> Vec<u32> {
    let sent_id = |action: &Action| match action {
        Action::StartAttempt { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(sent_id).collect()
}

/// Whether these actions give the request its final answer.
pub(crate) fn answered(actions: &[Action], id: u32) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id: i, .. } | Action::Fail { id: i, .. } if *i == id))
}
