//! Helpers that the dispatcher's tests share: settings, engines and events with default values, and
//! a dispatcher with a simulated clock.
#![allow(dead_code)]

use workload_manager::{
    Action, AttemptEnded, Class, Dispatcher, EngineEntry, EngineId, EngineState, Event,
    Idempotency, ListUpdateKind, LoadReport, LoadReportMode, Outcome, Request, Settings,
};

/// An idempotent class that may run on all engines. Its client timeout is five times its latency
/// objective.
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

/// Settings of a single workload manager with the given classes.
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

/// The id of the engine with this number.
pub(crate) fn engine(number: u8) -> EngineId {
    EngineId {
        addr: [10, 0, 0, number],
        port: 8000,
    }
}

/// An engine's entry in the endpoint list. Its number determines its zone (of two), its machine
/// type (of two) and its cell (of three).
pub(crate) fn entry(number: u8, state: EngineState, started_at_ms: f64) -> EngineEntry {
    EngineEntry {
        engine: engine(number),
        zone: number % 2,
        machine_type: u16::from(number / 2 % 2),
        cell: u16::from(number % 3),
        state,
        nominal_capacity: 8.0,
        started_at_ms,
        sharing: None,
    }
}

/// A dispatcher under test, with a simulated clock.
pub(crate) struct TestBench {
    pub(crate) dispatcher: Dispatcher,
    /// The clock's time in ms.
    pub(crate) now: f64,
}

impl TestBench {
    /// Starts a dispatcher and gives it a list of `engine_count` ready engines.
    pub(crate) fn new(settings: Settings, engine_count: u8) -> TestBench {
        let mut bench = TestBench {
            dispatcher: Dispatcher::new(settings, 7).expect("settings"),
            now: 1000.0,
        };
        bench.handle_event(Event::Started);
        let entries = (0..engine_count)
            .map(|number| entry(number, EngineState::Ready, 0.0))
            .collect();
        bench.handle_event(Event::EndpointList {
            kind: ListUpdateKind::Cached,
            entries,
        });
        bench
    }

    /// Hands an event to the dispatcher and returns its actions.
    pub(crate) fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock and runs the dispatcher's periodic timer once. Returns the dispatcher's
    /// actions.
    pub(crate) fn tick(&mut self, elapsed_ms: f64) -> Vec<Action> {
        self.now += elapsed_ms;
        self.handle_event(Event::Timer { token: 1 })
    }

    /// Updates the given entries of the endpoint list.
    pub(crate) fn update_list(&mut self, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.handle_event(Event::EndpointList {
            kind: ListUpdateKind::Delta,
            entries,
        })
    }

    /// Sends the dispatcher a request without estimates and with a deadline in 20 s.
    pub(crate) fn request(&mut self, id: u32, class: usize, order_key: u64) -> Vec<Action> {
        self.request_with(id, class, order_key, 20_000.0, None)
    }

    /// Sends the dispatcher a request with a deadline in `timeout_ms`. Its id determines its data
    /// set (of three).
    pub(crate) fn request_with(
        &mut self,
        id: u32,
        class: usize,
        order_key: u64,
        timeout_ms: f64,
        estimated_work_ms: Option<f64>,
    ) -> Vec<Action> {
        self.handle_event(Event::Request(Request {
            id,
            class,
            order_key,
            deadline_ms: self.now + timeout_ms,
            estimated_work_ms,
            data_set: id % 3,
            estimated_memory_mb: None,
            max_attempts: None,
        }))
    }

    /// Reports to the dispatcher that an attempt has ended after 100 ms.
    pub(crate) fn end_attempt(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, engine, outcome, 100.0)
    }

    /// Reports to the dispatcher that an attempt has ended after `elapsed_ms`.
    pub(crate) fn end_attempt_after(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
        elapsed_ms: f64,
    ) -> Vec<Action> {
        self.handle_event(Event::AttemptEnded(AttemptEnded {
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

/// The arrival of a request for data set 7 with the given estimates.
pub(crate) fn request_event(
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

/// Work and memory that a served attempt used, as measured by its engine.
#[derive(Clone, Copy)]
pub(crate) struct Measured {
    pub(crate) work_ms: f64,
    pub(crate) memory_mb: f64,
}

/// The given measured work and memory, as [`served_event`] takes them.
pub(crate) fn measured(work_ms: f64, memory_mb: f64) -> Option<Measured> {
    Some(Measured { work_ms, memory_mb })
}

/// The end of a request's first attempt, which the engine has served.
pub(crate) fn served_event(
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
        measured_work_ms: measured.map(|usage| usage.work_ms),
        measured_memory_mb: measured.map(|usage| usage.memory_mb),
        load_report,
    })
}

/// The engine that these actions send the request to, or `None` if they do not send it.
pub(crate) fn sent_to(actions: &[Action], id: u32) -> Option<EngineId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            id: sent_id,
            engine,
            ..
        } if *sent_id == id => Some(*engine),
        _ => None,
    })
}

/// Ids of the requests that these actions send, in the order of the actions.
pub(crate) fn sent_request_ids(actions: &[Action]) -> Vec<u32> {
    let sent_id = |action: &Action| match action {
        Action::StartAttempt { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(sent_id).collect()
}

/// Whether these actions give the request its final answer, a rejection or a failure.
pub(crate) fn is_answered(actions: &[Action], id: u32) -> bool {
    actions
        .iter()
        .any(|action| matches!(
            action,
            Action::Reject { id: ended_id, .. } | Action::Fail { id: ended_id, .. } if *ended_id == id
        ))
}
