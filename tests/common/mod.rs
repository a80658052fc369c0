//! Small helpers shared by the tests: settings, engines and events in few words.
#![allow(dead_code)]

use magpiechute::*;

pub fn class(threads: u32, promise_ms: f64, worth: f64) -> Class {
    Class {
        worth,
        late_worth: 0.2,
        promise_ms,
        aim_stretch: 2.0,
        give_up_ms: promise_ms * 5.0,
        threads,
        effect: Effect::Repeatable,
        memory_span_ms: 20_000.0,
        ordered: false,
        loads: false,
        waits: false,
        zones: None,
        kinds: None,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        instances: 1,
        classes,
        kind_cores: vec![8.0, 4.0],
        attempts_cap: 4,
        may_cancel: true,
        may_probe: false,
        max_hold_off_ms: 500.0,
        cold_share: 0.3,
        cold_ms: 10_000.0,
        tip_multiple: 2.0,
        overload_for_ms: 1000.0,
        order_pause_ms: 300.0,
        reports: ReportMode::Inline,
        ..Settings::default()
    }
}

pub fn engine(n: u8) -> EngineId {
    EngineId {
        addr: [10, 0, 0, n],
        port: 8000,
    }
}

pub fn entry(n: u8, state: ListState, started_ms: f64) -> EngineEntry {
    let (zone, kind, cell) = (n % 2, u16::from(n / 2 % 2), u16::from(n % 3));
    EngineEntry {
        engine: engine(n),
        zone,
        kind,
        cell,
        state,
        nominal: 8.0,
        started_ms,
        holders: None,
    }
}

/// A gateway under test, with its clock.
pub struct Rig {
    pub gateway: Gateway,
    pub now: f64,
}

impl Rig {
    pub fn new(settings: Settings, engines: u8) -> Rig {
        let mut rig = Rig {
            gateway: Gateway::new(settings, 7).expect("settings"),
            now: 1000.0,
        };
        rig.event(Event::Started);
        let entries = (0..engines)
            .map(|n| entry(n, ListState::Ready, 0.0))
            .collect();
        rig.event(Event::List {
            kind: ListKind::Cached,
            entries,
        });
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub fn tick(&mut self, after: f64) -> Vec<Action> {
        self.now += after;
        self.event(Event::Timer { token: 1 })
    }

    pub fn list(&mut self, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.event(Event::List {
            kind: ListKind::Delta,
            entries,
        })
    }

    pub fn request(&mut self, id: u32, class: usize, key: u64) -> Vec<Action> {
        self.request_with(id, class, key, 20_000.0, None)
    }

    pub fn request_with(
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
            key,
            due_ms,
            cost_ms: cost,
            dataset,
            memory_mb,
            attempts_cap: None,
        }))
    }

    pub fn ended(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.ended_after(id, attempt, engine, outcome, 100.0)
    }

    pub fn ended_after(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
        took_ms: f64,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let report = LoadReport::default();
        self.event(Event::Ended(Ended {
            id,
            attempt,
            engine,
            outcome,
            took_ms,
            finished,
            billed_ms: None,
            billed_mb: None,
            report,
        }))
    }
}

/// A request of data set 7 with the given estimates.
pub fn query(
    id: u32,
    class: usize,
    due_ms: f64,
    cost_ms: Option<f64>,
    memory_mb: Option<f64>,
) -> Event {
    Event::Request(Request {
        id,
        class,
        key: 0,
        due_ms,
        cost_ms,
        dataset: 7,
        memory_mb,
        attempts_cap: None,
    })
}

/// A served attempt with its bill and report.
pub fn served(
    id: u32,
    engine: EngineId,
    took_ms: f64,
    bill: Option<(f64, f64)>,
    report: LoadReport,
) -> Event {
    let (billed_ms, billed_mb) = (bill.map(|b| b.0), bill.map(|b| b.1));
    let (outcome, finished, attempt) = (Outcome::Ok, true, 0);
    Event::Ended(Ended {
        id,
        attempt,
        engine,
        outcome,
        took_ms,
        finished,
        billed_ms,
        billed_mb,
        report,
    })
}

/// Where a request was sent by these actions, if it was.
pub fn sent(actions: &[Action], id: u32) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::Send { id: i, engine, .. } if *i == id => Some(*engine),
        _ => None,
    })
}

/// Ids sent by these actions, in order.
pub fn all_sent(actions: &[Action]) -> Vec<u32> {
    let of = |a: &Action| {
        if let Action::Send { id, .. } = a {
            Some(*id)
        } else {
            None
        }
    };
    actions.iter().filter_map(of).collect()
}

/// Whether these actions give the request its final answer.
pub fn answered(actions: &[Action], id: u32) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Refuse { id: i, .. } | Action::Fail { id: i } if *i == id))
}
