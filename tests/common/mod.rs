//! Small helpers shared by the tests: settings, engines and events in few words.
#![allow(dead_code)]

use workload_manager::{
    Action, AttemptEnded, Class, Dispatcher, EngineEntry, EngineId, EngineState, Event,
    Idempotency, ListUpdateKind, LoadReport, LoadReportMode, Outcome, Request, Settings,
};

pub(crate) fn class(threads: u32, promise_ms: f64, worth: f64) -> Class {
    Class {
        priority_weight: worth,
        late_weight_factor: 0.2,
        latency_objective_ms: promise_ms,
        objective_work_factor: 2.0,
        client_timeout_ms: promise_ms * 5.0,
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

pub(crate) fn engine(n: u8) -> EngineId {
    EngineId {
        addr: [10, 0, 0, n],
        port: 8000,
    }
}

pub(crate) fn entry(n: u8, state: EngineState, started_ms: f64) -> EngineEntry {
    let (zone, kind, cell) = (n % 2, u16::from(n / 2 % 2), u16::from(n % 3));
    EngineEntry {
        engine: engine(n),
        zone,
        machine_type: kind,
        cell,
        state,
        nominal_capacity: 8.0,
        started_at_ms: started_ms,
        sharing: None,
    }
}

/// A gateway under test, with its clock.
pub(crate) struct Rig {
    pub gateway: Dispatcher,
    pub now: f64,
}

impl Rig {
    pub(crate) fn new(settings: Settings, engines: u8) -> Rig {
        let mut rig = Rig {
            gateway: Dispatcher::new(settings, 7).expect("settings"),
            now: 1000.0,
        };
        rig.event(Event::Started);
        let entries = (0..engines)
            .map(|n| entry(n, EngineState::Ready, 0.0))
            .collect();
        rig.event(Event::EndpointList {
            kind: ListUpdateKind::Cached,
            entries,
        });
        rig
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn tick(&mut self, after: f64) -> Vec<Action> {
        self.now += after;
        self.event(Event::Timer { token: 1 })
    }

    pub(crate) fn list(&mut self, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.event(Event::EndpointList {
            kind: ListUpdateKind::Delta,
            entries,
        })
    }

    pub(crate) fn request(&mut self, id: u32, class: usize, key: u64) -> Vec<Action> {
        self.request_with(id, class, key, 20_000.0, None)
    }

    pub(crate) fn request_with(
        &mut self,
        id: u32,
        class: usize,
        key: u64,
        left: f64,
        cost: Option<f64>,
    ) -> Vec<Action> {
        let due_ms = self.now + left;
        let (dataset, memory_mb) = (id % 3, None);
        self.event(Event::Request(Request {
            id,
            class,
            order_key: key,
            deadline_ms: due_ms,
            estimated_work_ms: cost,
            data_set: dataset,
            estimated_memory_mb: memory_mb,
            max_attempts: None,
        }))
    }

    pub(crate) fn ended(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.ended_after(id, attempt, engine, outcome, 100.0)
    }

    pub(crate) fn ended_after(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
        took_ms: f64,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let report = LoadReport::default();
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms: took_ms,
            answered: finished,
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: report,
        }))
    }
}

/// A request of data set 7 with the given estimates.
pub(crate) fn query(
    id: u32,
    class: usize,
    due_ms: f64,
    cost_ms: Option<f64>,
    memory_mb: Option<f64>,
) -> Event {
    Event::Request(Request {
        id,
        class,
        order_key: 0,
        deadline_ms: due_ms,
        estimated_work_ms: cost_ms,
        data_set: 7,
        estimated_memory_mb: memory_mb,
        max_attempts: None,
    })
}

/// A served attempt with its bill and report.
#[expect(clippy::similar_names, reason = "not split yet")]
pub(crate) fn served(
    id: u32,
    engine: EngineId,
    took_ms: f64,
    bill: Option<(f64, f64)>,
    report: LoadReport,
) -> Event {
    let (billed_ms, billed_mb) = (bill.map(|b| b.0), bill.map(|b| b.1));
    let (outcome, finished, attempt) = (Outcome::Ok, true, 0);
    Event::AttemptEnded(AttemptEnded {
        id,
        attempt,
        engine,
        outcome,
        elapsed_ms: took_ms,
        answered: finished,
        measured_work_ms: billed_ms,
        measured_memory_mb: billed_mb,
        load_report: report,
    })
}

/// Where a request was sent by these actions, if it was.
pub(crate) fn sent(actions: &[Action], id: u32) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { id: i, engine, .. } if *i == id => Some(*engine),
        _ => None,
    })
}

/// Ids sent by these actions, in order.
pub(crate) fn all_sent(actions: &[Action]) -> Vec<u32> {
    let of = |a: &Action| {
        if let Action::StartAttempt { id, .. } = a {
            Some(*id)
        } else {
            None
        }
    };
    actions.iter().filter_map(of).collect()
}

/// Whether these actions give the request its final answer.
pub(crate) fn answered(actions: &[Action], id: u32) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id: i, .. } | Action::Fail { id: i } if *i == id))
}
