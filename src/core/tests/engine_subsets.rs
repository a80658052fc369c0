//! Tests of engine subsets in the core: what changes of them leave alone, what the counters show, and the budget of cold
//! engines over a whole fleet of decision modules whose lists differ.

use super::*;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::decision::LoadReport;
use crate::metrics::Gauge;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::{self, NamedClass, PlatformSettings};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

const MOST_WHOLE: usize = 32;

/// Engines that take every attempt, and keep what they were asked.
#[derive(Clone, Default)]
struct RecordingEngines(Arc<Mutex<Vec<(EngineId, RequestId, u16)>>>);

impl RecordingEngines {
    fn take(&self) -> Vec<(EngineId, RequestId, u16)> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl EnginePort for RecordingEngines {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((engine, ask.id, ask.attempt));
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        panic!("attempt {attempt} of {id} at {engine} is given up");
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// The settings of one manager of a fleet, whose engines have one core and are cold for ten seconds.
fn fleet_settings(instances: u32, ordinal: u32) -> PlatformSettings {
    let text = format!(
        r#"{{"nInstances":{instances},"ordinal":{ordinal},
        "classes":[{{"name":"a","effect":"repeatable","promiseMs":2000,"giveUpMs":20000}}],
        "guarantees":{{"coldMs":10000,"coldShare":0.3,"overloadForMs":1000,"tipMultiple":2}},
        "limits":{{"attemptsCap":4}},"shapes":["std"],"specifics":{{"sizeCores":[1]}}}}"#
    );
    settings_json::parse(text.as_bytes()).expect("settings")
}

/// One manager, with the names of its classes.
struct Manager {
    core: Core<RecordingEngines>,
    asked: RecordingEngines,
    metrics: Arc<Metrics>,
    class: Arc<NamedClass>,
    next_id: RequestId,
}

impl Manager {
    fn new(instances: u32, ordinal: u32) -> Manager {
        let parsed = fleet_settings(instances, ordinal);
        let mut limits = Limits::new(256, 64, false, &parsed);
        limits.subset_engines = MOST_WHOLE;
        let (asked, metrics): (RecordingEngines, Arc<Metrics>) = Default::default();
        let made = Core::new(
            parsed.settings.clone(),
            u64::from(ordinal),
            asked.clone(),
            Arc::new(limits),
            metrics.clone(),
        );
        let mut core = made.expect("settings that were parsed");
        core.start(0.0);
        Manager {
            core,
            asked,
            metrics,
            class: parsed.classes[0].clone(),
            next_id: 1,
        }
    }

    fn list(&mut self, now: Millis, kind: ListUpdateKind, entries: Vec<EngineRecord>) {
        let event = EndpointListEvent {
            number: 1,
            kind,
            records: entries,
            unusable_engines: Vec::new(),
        };
        self.core.handle(now, CoreMessage::EndpointList(event));
    }

    /// Takes a request of this work, in ms of one core, and tells where it went.
    fn request(&mut self, now: Millis, work_ms: f64) -> Vec<(EngineId, RequestId, u16)> {
        let id = self.next_id;
        self.next_id += 1;
        let one = taken(
            id,
            &self.class,
            now + 20_000.0,
            work_ms,
            Arc::new(NullClient),
        );
        self.core.handle(now, CoreMessage::Request(one));
        self.asked.take()
    }

    fn served(&mut self, now: Millis, (engine, id, attempt): (EngineId, RequestId, u16)) {
        let body = Some(ResultBody::complete(ResultFormat::Text, Vec::new()));
        let news = AttemptEvent::Ended {
            outcome: Outcome::Ok,
            measured_work_ms: None,
            measured_memory_mb: None,
            body,
        };
        let report = LoadReport::default();
        self.core.handle(
            now,
            CoreMessage::Attempt {
                engine,
                id,
                attempt,
                load_report: report,
                event: news,
            },
        );
    }
}

fn lines(ids: impl Iterator<Item = u32>, state: EngineState) -> Vec<EngineRecord> {
    ids.map(|id| listed(id, state)).collect()
}

fn shown(metrics: &Metrics) -> [u64; 4] {
    [
        &metrics.subset_size,
        &metrics.subset_zones,
        &metrics.subset_managers_per_engine,
        &metrics.ordinal,
    ]
    .map(Gauge::get)
}

/// Guard: what leaves the subset while it runs an attempt ends it as any other. It gets nothing more, and is forgotten
/// once nothing runs there.
#[test]
fn a_change_of_the_subset_ends_no_attempt() {
    let mut manager = Manager::new(100, 7);
    manager.list(0.0, ListUpdateKind::Full, lines(0..400, EngineState::Ready));
    let mut out = Vec::new();
    for _ in 0..60 {
        out.extend(manager.request(10.0, 50.0));
    }
    let held = manager.core.state_sizes().dispatcher[3];
    assert!(
        out.len() > 30 && (24..=36).contains(&held),
        "{} sent to {held}",
        out.len()
    );
    // Another ordinal: another subset altogether.
    let settings = Box::new(fleet_settings(100, 57).settings);
    manager.core.handle(
        20.0,
        CoreMessage::Settings {
            settings: Some(settings),
            policy: Arc::default(),
        },
    );
    manager.core.run_due_timers(100.0);
    assert!(
        manager.metrics.subset_engines_removed.get() > 20
            && manager.metrics.subset_membership_changes.get() == 1
    );
    assert!(
        manager.core.state_sizes().dispatcher[3] > held,
        "those that still run something, and the new ones"
    );
    let before: Vec<EngineId> = out.iter().map(|(engine, ..)| *engine).collect();
    for _ in 0..60 {
        let again = manager.request(110.0, 50.0);
        assert!(again.iter().all(|(engine, ..)| !before.contains(engine)));
        out.extend(again);
    }
    let all = out.len() as u64;
    out.into_iter().for_each(|one| manager.served(200.0, one));
    manager.core.run_due_timers(300.0);
    assert_eq!(manager.metrics.requests_served.get(), all);
    assert!(
        (24..=36).contains(&manager.core.state_sizes().dispatcher[3]),
        "{}",
        manager.core.state_sizes().dispatcher[3]
    );
}

/// What STATS and the MIB show of a subset, of a list that is taken whole, and of settings that cannot be.
#[test]
fn what_the_counters_show() {
    let mut manager = Manager::new(100, 7);
    manager.list(0.0, ListUpdateKind::Full, lines(0..20, EngineState::Ready));
    assert_eq!(shown(&manager.metrics), [20, 1, 100, 7]);
    manager.list(0.0, ListUpdateKind::Full, lines(0..400, EngineState::Ready));
    let [size, zones, holders, ordinal] = shown(&manager.metrics);
    assert!(
        (24..=36).contains(&size) && (6..=9).contains(&holders),
        "{size} and {holders}"
    );
    assert_eq!((zones, ordinal, manager.metrics.engines.get()), (1, 7, 400));
    manager.list(0.0, ListUpdateKind::Full, Vec::new());
    assert_eq!(
        (
            manager.metrics.subset_all_unavailable.get(),
            manager.metrics.list_large_removals.get()
        ),
        (1, 1)
    );
    assert_eq!(manager.metrics.subset_size.get(), 0);
    let over = Manager::new(100, 100);
    assert_eq!(
        (
            over.metrics.subset_ordinal_out_of_range.get(),
            over.metrics.ordinal.get()
        ),
        (1, 100)
    );
}

/// Work that a fleet sends to each engine in any window of a second, while managers learn of changes up to five seconds
/// apart: no cold one gets more than the multiple of its capacity that it stands.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn a_fleet_whose_lists_differ_tips_no_cold_engine() {
    const MANAGERS: u32 = 40;
    const WORK_MS: f64 = 40.0;
    const BEGUN: Millis = 20_000.0;
    let mut managers: Vec<Manager> = (0..MANAGERS)
        .map(|ordinal| Manager::new(MANAGERS, ordinal))
        .collect();
    managers
        .iter_mut()
        .for_each(|m| m.list(0.0, ListUpdateKind::Full, lines(0..150, EngineState::Ready)));
    // A third of all engines drain, and as many start cold in their place.
    let mut changes = lines(0..50, EngineState::Draining);
    changes.extend(
        lines(150..200, EngineState::Ready)
            .into_iter()
            .map(|mut line| {
                line.entry.started_at_ms = BEGUN;
                line
            }),
    );
    let mut sent: BTreeMap<EngineId, Vec<(Millis, f64)>> = BTreeMap::new();
    let mut in_hand: Vec<(Millis, usize, (EngineId, RequestId, u16))> = Vec::new();
    let mut now = BEGUN;
    while now < BEGUN + 11_000.0 {
        for (place, manager) in managers.iter_mut().enumerate() {
            // Each hears of it at a time of its own, in no order of theirs.
            let heard_at =
                BEGUN + f64::from((place as u32 * 17) % MANAGERS) * 5000.0 / f64::from(MANAGERS);
            if (heard_at..heard_at + 50.0).contains(&now) {
                manager.list(now, ListUpdateKind::Delta, changes.clone());
            }
            manager.core.run_due_timers(now);
            let mut out = Vec::new();
            for _ in 0..5 {
                out.extend(manager.request(now, WORK_MS));
            }
            out.extend(manager.asked.take());
            for one in out {
                sent.entry(one.0).or_default().push((now, WORK_MS));
                in_hand.push((now + 400.0, place, one));
            }
        }
        let (over, rest): (Vec<_>, Vec<_>) = in_hand.into_iter().partition(|(at, ..)| *at <= now);
        in_hand = rest;
        over.into_iter()
            .for_each(|(_, place, one)| managers[place].served(now, one));
        now += 50.0;
    }
    let mut cold = 0.0;
    for id in 150..200 {
        let sends = sent.get(&engine_id(id)).map_or(&[][..], Vec::as_slice);
        for (at, _) in sends.iter().filter(|(at, _)| *at < BEGUN + 9_000.0) {
            let age = ((at - BEGUN) / 10_000.0).clamp(0.0, 1.0);
            let stands = 2.0 * (0.3 + 0.7 * age * age) * 1000.0;
            let window = sends
                .iter()
                .filter(|(t, _)| (0.0..1000.0).contains(&(t - at)));
            let work: f64 = window.map(|(_, work)| work).sum();
            assert!(
                work <= stands,
                "engine {id} got {work} ms at {at}, and stands {stands}"
            );
            cold += WORK_MS;
        }
    }
    assert!(
        cold > 0.2 * 9_000.0 * 50.0 * 0.3,
        "cold engines take part: {cold}"
    );
}
