//! Tests of engine subsets in the core: attempts while the subset changes, the metrics, and the
//! slow start budget of a fleet of managers whose endpoint lists differ.

use super::*;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::metrics::Gauge;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::{self, NamedClass, PlatformSettings};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// The subset bound of each manager.
const SUBSET_ENGINES: usize = 32;

/// Fake engines that accept every attempt and record it.
#[derive(Clone, Default)]
struct RecordingEngines(Arc<Mutex<Vec<(EngineId, RequestId, u16)>>>);

impl RecordingEngines {
    fn take(&self) -> Vec<(EngineId, RequestId, u16)> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl EnginePort for RecordingEngines {
    fn start_attempt(&mut self, engine: EngineId, request: AttemptRequest) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((
            engine,
            request.id,
            request.attempt,
        ));
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        panic!("attempt {attempt} of {id} at {engine} is cancelled");
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// The settings of one manager of a fleet. Each engine has one CPU core and a slow start of ten
/// seconds.
fn fleet_settings(instances: u32, ordinal: u32) -> PlatformSettings {
    let text = format!(
        r#"{{"nInstances":{instances},"ordinal":{ordinal},
        "classes":[{{"name":"a","effect":"repeatable","promiseMs":2000,"giveUpMs":20000}}],
        "guarantees":{{"coldMs":10000,"coldShare":0.3,"overloadForMs":1000,"tipMultiple":2}},
        "limits":{{"attemptsCap":4}},"shapes":["std"],"specifics":{{"sizeCores":[1]}}}}"#
    );
    settings_json::parse(text.as_bytes()).expect("settings")
}

/// One manager of the fleet, with fake engines.
struct Manager {
    core: Core<RecordingEngines>,
    engines: RecordingEngines,
    metrics: Arc<Metrics>,
    class: Arc<NamedClass>,
    next_id: RequestId,
}

impl Manager {
    fn new(instances: u32, ordinal: u32) -> Manager {
        let parsed = fleet_settings(instances, ordinal);
        let mut limits = Limits::new(256, 64, false, &parsed);
        limits.subset_engines = SUBSET_ENGINES;
        let (engines, metrics): (RecordingEngines, Arc<Metrics>) = Default::default();
        let created = Core::new(
            parsed.settings.clone(),
            u64::from(ordinal),
            engines.clone(),
            Arc::new(limits),
            metrics.clone(),
        );
        let mut core = created.expect("valid settings");
        core.start(0.0);
        Manager {
            core,
            engines,
            metrics,
            class: parsed.classes[0].clone(),
            next_id: 1,
        }
    }

    fn apply_list(&mut self, now: Millis, kind: ListUpdateKind, engine_records: Vec<EngineRecord>) {
        let event = EndpointListEvent {
            number: 1,
            kind,
            records: engine_records,
            unusable_engines: Vec::new(),
        };
        self.core.handle(now, CoreMessage::EndpointList(event));
    }

    /// Submits a request with this estimated work in ms of one CPU core. Returns the attempts that
    /// were started.
    fn submit(&mut self, now: Millis, work_ms: f64) -> Vec<(EngineId, RequestId, u16)> {
        let id = self.next_id;
        self.next_id += 1;
        let request = accepted_request(
            id,
            &self.class,
            now + 20_000.0,
            work_ms,
            Arc::new(NullClient),
        );
        self.core.handle(now, CoreMessage::Request(request));
        self.engines.take()
    }

    /// Reports that the attempt succeeded.
    fn report_served(&mut self, now: Millis, attempt: (EngineId, RequestId, u16)) {
        let body = Some(ResultBody::complete(ResultFormat::Text, Vec::new()));
        let event = AttemptEvent::Ended {
            outcome: Outcome::Ok,
            measured_work_ms: None,
            measured_memory_mb: None,
            body,
        };
        self.core.handle(now, attempt_message(attempt, event));
    }
}

fn records(ids: impl Iterator<Item = u32>, state: EngineState) -> Vec<EngineRecord> {
    ids.map(|id| list_record(id, state)).collect()
}

/// The subset's engines and zones, the managers per engine, and the ordinal.
fn subset_metrics(metrics: &Metrics) -> [u64; 4] {
    [
        &metrics.subset_size,
        &metrics.subset_zones,
        &metrics.subset_managers_per_engine,
        &metrics.ordinal,
    ]
    .map(Gauge::get)
}

/// An engine that leaves the subset completes its attempts in flight. It gets no further attempt,
/// and the dispatcher drops its state once its last attempt has ended.
#[test]
fn attempts_continue_on_engines_that_leave_the_subset() {
    let mut manager = Manager::new(100, 7);
    manager.apply_list(
        0.0,
        ListUpdateKind::Full,
        records(0..400, EngineState::Ready),
    );
    let mut attempts = Vec::new();
    for _ in 0..60 {
        attempts.extend(manager.submit(10.0, 50.0));
    }
    let engines_before = manager.core.state_sizes().dispatcher[3];
    assert!(
        attempts.len() > 30 && (24..=36).contains(&engines_before),
        "{} attempts sent to a subset of {engines_before} engines",
        attempts.len()
    );
    // With another ordinal the manager has an entirely different subset.
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
        manager.core.state_sizes().dispatcher[3] > engines_before,
        "the dispatcher has the engines with attempts in flight and the new subset"
    );
    let earlier_engines: Vec<EngineId> = attempts.iter().map(|(engine, ..)| *engine).collect();
    for _ in 0..60 {
        let later_attempts = manager.submit(110.0, 50.0);
        assert!(
            later_attempts
                .iter()
                .all(|(engine, ..)| !earlier_engines.contains(engine))
        );
        attempts.extend(later_attempts);
    }
    let request_count = attempts.len() as u64;
    attempts
        .into_iter()
        .for_each(|attempt| manager.report_served(200.0, attempt));
    manager.core.run_due_timers(300.0);
    assert_eq!(manager.metrics.requests_served.get(), request_count);
    assert!(
        (24..=36).contains(&manager.core.state_sizes().dispatcher[3]),
        "{}",
        manager.core.state_sizes().dispatcher[3]
    );
}

/// The metrics of a subset, of a list that is used completely, and of an ordinal out of range.
#[test]
fn metrics_show_subset_sizes_complete_lists_and_ordinals_out_of_range() {
    let mut manager = Manager::new(100, 7);
    manager.apply_list(
        0.0,
        ListUpdateKind::Full,
        records(0..20, EngineState::Ready),
    );
    assert_eq!(subset_metrics(&manager.metrics), [20, 1, 100, 7]);
    manager.apply_list(
        0.0,
        ListUpdateKind::Full,
        records(0..400, EngineState::Ready),
    );
    let [size, zones, managers_per_engine, ordinal] = subset_metrics(&manager.metrics);
    assert!(
        (24..=36).contains(&size) && (6..=9).contains(&managers_per_engine),
        "{size} engines, {managers_per_engine} managers per engine"
    );
    assert_eq!((zones, ordinal, manager.metrics.engines.get()), (1, 7, 400));
    manager.apply_list(0.0, ListUpdateKind::Full, Vec::new());
    assert_eq!(
        (
            manager.metrics.subset_all_unavailable.get(),
            manager.metrics.list_large_removals.get()
        ),
        (1, 1)
    );
    assert_eq!(manager.metrics.subset_size.get(), 0);
    let out_of_range = Manager::new(100, 100);
    assert_eq!(
        (
            out_of_range.metrics.subset_ordinal_out_of_range.get(),
            out_of_range.metrics.ordinal.get()
        ),
        (1, 100)
    );
}

const MANAGERS: u32 = 40;
/// Estimated work of each request, in ms.
const WORK_MS: f64 = 40.0;
/// When the new engines start and the endpoint list changes.
const CHANGE_AT_MS: Millis = 20_000.0;

/// Runs the fleet for eleven seconds, in which each manager is notified of `changes` at its own
/// time. Returns for each engine the time and the work in ms of each attempt that was sent to it.
fn run_fleet(
    managers: &mut [Manager],
    changes: &[EngineRecord],
) -> BTreeMap<EngineId, Vec<(Millis, f64)>> {
    let mut sent: BTreeMap<EngineId, Vec<(Millis, f64)>> = BTreeMap::new();
    let mut in_flight: Vec<(Millis, usize, (EngineId, RequestId, u16))> = Vec::new();
    let mut now = CHANGE_AT_MS;
    while now < CHANGE_AT_MS + 11_000.0 {
        for (ordinal, manager) in managers.iter_mut().enumerate() {
            // The managers are notified within five seconds, in an order that differs from the
            // order of their ordinals.
            let notified_at = CHANGE_AT_MS
                + f64::from((ordinal as u32 * 17) % MANAGERS) * 5000.0 / f64::from(MANAGERS);
            if (notified_at..notified_at + 50.0).contains(&now) {
                manager.apply_list(now, ListUpdateKind::Delta, changes.to_vec());
            }
            manager.core.run_due_timers(now);
            let mut started = Vec::new();
            for _ in 0..5 {
                started.extend(manager.submit(now, WORK_MS));
            }
            started.extend(manager.engines.take());
            for attempt in started {
                sent.entry(attempt.0).or_default().push((now, WORK_MS));
                in_flight.push((now + 400.0, ordinal, attempt));
            }
        }
        let (ended, remaining): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|(ends_at, ..)| *ends_at <= now);
        in_flight = remaining;
        ended
            .into_iter()
            .for_each(|(_, ordinal, attempt)| managers[ordinal].report_served(now, attempt));
        now += 50.0;
    }
    sent
}

/// The managers of a fleet are notified of changes up to five seconds apart. Together they send an
/// engine in slow start, in any window of one second, no more work than the permitted multiple of
/// its capacity.
#[test]
fn managers_with_differing_lists_keep_the_slow_start_budget_together() {
    let mut managers: Vec<Manager> = (0..MANAGERS)
        .map(|ordinal| Manager::new(MANAGERS, ordinal))
        .collect();
    for manager in &mut managers {
        manager.apply_list(
            0.0,
            ListUpdateKind::Full,
            records(0..150, EngineState::Ready),
        );
    }
    // A third of the engines drain, and as many new ones start.
    let mut changes = records(0..50, EngineState::Draining);
    changes.extend(
        records(150..200, EngineState::Ready)
            .into_iter()
            .map(|mut record| {
                record.entry.started_at_ms = CHANGE_AT_MS;
                record
            }),
    );
    let sent = run_fleet(&mut managers, &changes);
    let mut slow_start_work_ms = 0.0;
    for id in 150..200 {
        let sends = sent.get(&engine_id(id)).map_or(&[][..], Vec::as_slice);
        for (sent_at, _) in sends
            .iter()
            .filter(|(sent_at, _)| *sent_at < CHANGE_AT_MS + 9_000.0)
        {
            let elapsed_part = ((sent_at - CHANGE_AT_MS) / 10_000.0).clamp(0.0, 1.0);
            let allowed_ms = 2.0 * (0.3 + 0.7 * elapsed_part * elapsed_part) * 1000.0;
            let window = sends
                .iter()
                .filter(|(time, _)| (0.0..1000.0).contains(&(time - sent_at)));
            let work_ms: f64 = window.map(|(_, work)| work).sum();
            assert!(
                work_ms <= allowed_ms,
                "engine {id} got {work_ms} ms of work in the second from {sent_at}; {allowed_ms} ms are allowed"
            );
            slow_start_work_ms += WORK_MS;
        }
    }
    assert!(
        slow_start_work_ms > 0.2 * 9_000.0 * 50.0 * 0.3,
        "engines in slow start got only {slow_start_work_ms} ms of work"
    );
}
