//! Tests of the core alone, with fake engines and clients.

mod attempt_interleavings;
mod engine_subsets;

use super::requests::PlannedAttempt;
use super::*;
use crate::attempt::AttemptEnd;
use crate::attempt::AttemptHistory;
use crate::attempt::SentTo;
use crate::decision::EngineEntry;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::decision::LoadReport;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::{self, NamedClass, PlatformSettings};
use bytes::Bytes;

/// Fake engines that accept every attempt and report nothing. They record what the core sends them.
#[derive(Default)]
struct SilentEngines {
    started: Vec<EngineId>,
    cancelled: Vec<(EngineId, RequestId, u16)>,
    listed: Vec<(EngineId, EngineState)>,
}

impl EnginePort for SilentEngines {
    fn start_attempt(&mut self, engine: EngineId, _: AttemptRequest) -> bool {
        self.started.push(engine);
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        self.cancelled.push((engine, id, attempt));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, record: &EngineRecord) {
        self.listed.push((record.entry.engine, record.entry.state));
    }
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A fake client that ignores its answers.
pub(super) struct NullClient;

impl ClientPort for NullClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

/// The endpoint list record of the engine with this number, in this state.
pub(super) fn list_record(n: u32, state: EngineState) -> EngineRecord {
    let entry = EngineEntry {
        engine: engine_id(n),
        state,
        nominal_capacity: 1.0,
        ..EngineEntry::default()
    };
    EngineRecord {
        entry,
        address: ([127, 0, 0, 1], n as u16).into(),
    }
}

/// A request of this class with this deadline and this estimated work, both in ms.
pub(crate) fn accepted_request(
    id: RequestId,
    class: &Arc<NamedClass>,
    deadline: Millis,
    estimated_work_ms: f64,
    client: Arc<dyn ClientPort>,
) -> AcceptedRequest {
    AcceptedRequest {
        id,
        client_reference: id.to_be_bytes().to_vec().into(),
        class: class.clone(),
        deadline_ms: deadline,
        estimated_work_ms: Some(estimated_work_ms),
        estimated_memory_mb: None,
        data_set: 0,
        member: Bytes::new(),
        frontend: crate::retry_policy::FrontendKind::Platform,
        idempotency_key: None,
        order_key: None,
        statement: Bytes::new(),
        statement_kind: StatementKind::Query,
        client,
    }
}

/// The message of an attempt's event from its engine, with an empty load report.
pub(super) fn attempt_message(
    (engine, id, attempt): (EngineId, RequestId, u16),
    event: AttemptEvent,
) -> CoreMessage {
    CoreMessage::Attempt {
        engine,
        id,
        attempt,
        load_report: LoadReport::default(),
        event,
    }
}

/// A core with fake engines.
struct TestCore {
    core: Core<SilentEngines>,
    metrics: Arc<Metrics>,
    classes: Vec<Arc<NamedClass>>,
}

impl TestCore {
    /// Creates a core with these settings and a memory limit in MB.
    fn new(parsed: PlatformSettings, memory_mb: usize) -> TestCore {
        let limits = Arc::new(Limits::new(256, memory_mb, true, &parsed));
        let metrics: Arc<Metrics> = Arc::default();
        let engines = SilentEngines::default();
        let core = Core::new(parsed.settings, 7, engines, limits, metrics.clone());
        TestCore {
            core: core.expect("core"),
            metrics,
            classes: parsed.classes,
        }
    }

    fn from_json(settings: &str) -> TestCore {
        let parsed = settings_json::parse(settings.as_bytes()).expect("settings");
        TestCore::new(parsed, 32)
    }

    fn apply_list(&mut self, now: Millis, kind: ListUpdateKind, records: Vec<EngineRecord>) {
        let event = EndpointListEvent {
            number: 1,
            kind,
            records,
            unusable_engines: Vec::new(),
        };
        self.core.handle(now, CoreMessage::EndpointList(event));
    }

    fn report_attempt(
        &mut self,
        now: Millis,
        attempt: (EngineId, RequestId, u16),
        event: AttemptEvent,
    ) {
        self.core.handle(now, attempt_message(attempt, event));
    }

    fn confirm_cancellations(&mut self, now: Millis) {
        for attempt in std::mem::take(&mut self.core.engines.cancelled) {
            let event = AttemptEvent::Cancelled(AttemptEnd::Cancelled);
            self.report_attempt(now, attempt, event);
        }
    }
}

/// Sizes of the core's state and of the dispatcher's, four of each.
fn all_sizes(sizes: &StateSizes) -> [usize; 8] {
    let core = [
        sizes.requests,
        sizes.client_references,
        sizes.roster,
        sizes.timers,
    ];
    let all = [core, sizes.dispatcher].concat();
    all.try_into()
        .expect("four sizes of the core and four of the dispatcher")
}

/// Number of requests and of client references that the core keeps.
fn requests_and_references<E: EnginePort>(core: &Core<E>) -> [usize; 2] {
    let sizes = core.state_sizes();
    [sizes.requests, sizes.client_references]
}

/// Replaces the engine of the previous round. Even numbers come in a full list that omits the old
/// engine, odd numbers in a delta with its removal record.
fn replace_engine(bench: &mut TestCore, now: Millis, engine: u32) {
    if engine.is_multiple_of(2) {
        let records = vec![list_record(engine, EngineState::Ready)];
        bench.apply_list(now, ListUpdateKind::Full, records);
    } else {
        let records = vec![
            list_record(engine, EngineState::Ready),
            list_record(engine - 1, EngineState::Removed),
        ];
        bench.apply_list(now, ListUpdateKind::Delta, records);
    }
}

/// Submits twenty requests: five time out, five are served, and the clients of ten disconnect at
/// once.
fn submit_requests(bench: &mut TestCore, now: Millis, round: u32) {
    for n in 0..20 {
        let id = round * 20 + n;
        let deadline_ms = now + if n < 5 { 300.0 } else { 20_000.0 };
        let class = bench.classes[(n % 2) as usize].clone();
        let request = AcceptedRequest {
            data_set: id,
            ..accepted_request(id, &class, deadline_ms, 50.0, Arc::new(NullClient))
        };
        bench.core.handle(now, CoreMessage::Request(request));
        if n >= 10 {
            bench.core.handle(now, CoreMessage::ClientDisconnected(id));
        } else if let (5.., Some(engine)) = (n, bench.core.engines.started.last().copied()) {
            let event = AttemptEvent::Ended {
                outcome: Outcome::Ok,
                measured_work_ms: None,
                measured_memory_mb: None,
                body: Some(ResultBody::complete(ResultFormat::Text, Vec::new())),
            };
            bench.report_attempt(now, (engine, id, 0), event);
            bench.core.handle(now, CoreMessage::ClientDisconnected(id));
        }
    }
}

/// Runs 3,000 rounds, in which engines are replaced, some of them by a full list without a removal
/// record, and requests are served, time out or lose their client. The state of the core and the
/// dispatcher does not grow with the number of rounds.
#[test]
fn state_stays_bounded_over_many_replacements_and_disconnects() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":500,"giveUpMs":20000},
        {"name":"b","effect":"repeatable","promiseMs":500,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["std-8c"],"specifics":{"sizeCores":[8],"progressMs":500}}"#;
    let mut bench = TestCore::from_json(text);
    bench.core.start(0.0);
    let (mut now, mut early_sizes) = (0.0, StateSizes::default());
    for round in 0..3000 {
        now += 20.0;
        bench.core.run_due_timers(now);
        if round % 10 == 0 {
            replace_engine(&mut bench, now, round / 10 + 1);
        } else {
            bench.apply_list(now, ListUpdateKind::Delta, Vec::new());
        }
        submit_requests(&mut bench, now, round);
        bench.confirm_cancellations(now);
        if round == 999 {
            early_sizes = bench.core.state_sizes();
        }
    }
    let end = bench.core.state_sizes();
    for (end, early) in all_sizes(&end).iter().zip(all_sizes(&early_sizes)) {
        assert!(
            *end <= early + early / 2 + 8,
            "{:?} grew from {early:?}",
            bench.core.state_sizes()
        );
    }
    assert!(
        end.timers < 2500 && end.roster < 10 && end.dispatcher[3] < 10,
        "{end:?}"
    );
}

/// Settings with one class that is idempotent with a key. Engines keep its keys for 700 ms in this
/// deduplication scope.
fn idempotency_key_settings(scope: &str) -> PlatformSettings {
    let text = format!(
        r#"{{"nInstances":1,"classes":[{{"name":"a","effect":"by_key","dedupScope":"{scope}","memorySpanMs":700,
            "promiseMs":500,"giveUpMs":20000}}],
            "guarantees":{{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3}},
            "limits":{{"attemptsCap":6}},"shapes":["std-8c"],"zones":["x","y"],"specifics":{{"sizeCores":[8]}}}}"#
    );
    settings_json::parse(text.as_bytes()).expect("settings")
}

/// A request that may have run is retried only if it has an idempotency key, only on engines of the
/// deduplication scope and only within the deduplication window. The core denies other retries of
/// the dispatcher, also after a backoff.
#[test]
fn retries_with_an_idempotency_key_stay_within_dedup_scope_and_window() {
    for (scope, has_key, in_scope) in [
        ("all", true, [1, 2, 3]),
        ("zone", true, [1, 2, 0]),
        ("cell", true, [1, 0, 0]),
        ("all", false, [0; 3]),
    ] {
        let mut bench = TestCore::new(idempotency_key_settings(scope), 32);
        // Engines 1 and 2 share a zone; each engine has its own cell.
        let records = [1, 2, 3].map(|n| {
            let mut record = list_record(n, EngineState::Ready);
            (record.entry.zone, record.entry.cell) = (u8::from(n > 2), n as u16);
            record
        });
        bench.apply_list(0.0, ListUpdateKind::Full, records.to_vec());
        let TestCore {
            mut core, classes, ..
        } = bench;
        let mut request = accepted_request(1, &classes[0], 20_000.0, 50.0, Arc::new(NullClient));
        request.idempotency_key = has_key.then(|| Bytes::from_static(b"k"));
        core.handle(0.0, CoreMessage::Request(request));
        let request = core.requests.get_mut(1).expect("an open request");
        request.history = AttemptHistory::default();
        request.history.record_sent(
            0,
            engine_id(1),
            SentTo {
                zone: 0,
                cell: 1,
                sent_at_ms: 100.0,
            },
        );
        request
            .history
            .record_end(0, true)
            .expect("an attempt in flight");
        for (n, allowed) in (1..=3).zip(in_scope) {
            let until = core.resend_deadline(700.0, 1, engine_id(n));
            assert_eq!(
                until,
                (allowed > 0).then_some(799.0),
                "{scope} {has_key} {n}"
            );
        }
        let planned = PlannedAttempt {
            number: 1,
            engine: engine_id(1),
            timeout_ms: None,
        };
        assert_eq!(
            core.start_attempt(800.0, 1, engine_id(1), None),
            Err(Outcome::NotSent)
        );
        assert_eq!(
            core.send_attempt(800.0, 1, planned),
            Err(Outcome::NotSent),
            "at the end of a backoff"
        );
    }
}

/// Requests that arrive before the shutdown deadline are started and, if still open, answered at
/// the deadline. Later ones are rejected.
#[test]
fn the_shutdown_deadline_answers_open_requests_and_rejects_new_ones() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":500,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
    let mut bench = TestCore::from_json(text);
    let records = vec![list_record(1, EngineState::Ready)];
    bench.apply_list(0.0, ListUpdateKind::Full, records);
    let TestCore {
        mut core,
        metrics,
        classes,
    } = bench;
    let submit = |core: &mut Core<SilentEngines>, now: Millis, id: u32| {
        let request = accepted_request(id, &classes[0], now + 20_000.0, 50.0, Arc::new(NullClient));
        core.handle(now, CoreMessage::Request(request));
    };
    submit(&mut core, 1000.0, 1);
    core.handle_priority(1000.0, PriorityMessage::ShutdownDeadline(6000.0));
    submit(&mut core, 5000.0, 2);
    assert_eq!(
        (core.open_requests(), core.engines.started.len()),
        (2, 2),
        "a request before the deadline is started"
    );
    core.run_due_timers(6000.0);
    assert_eq!(
        (core.open_requests(), metrics.requests_failed.get()),
        (0, 2),
        "open requests are answered at the deadline"
    );
    submit(&mut core, 6001.0, 3);
    assert_eq!(
        (core.open_requests(), metrics.requests_rejected.get()),
        (0, 1),
        "a request after the deadline is rejected"
    );
}

/// Guards against a request that is never answered: the timer of its deadline was removed with those
/// that have no effect, because the request was recorded after it.
#[test]
fn a_request_whose_timer_makes_the_queue_drop_others_is_answered_at_its_deadline() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":500,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
    let TestCore {
        mut core, classes, ..
    } = TestCore::from_json(text);
    let kept_open = (1..10_000).find(|id| {
        let timers_before = core.state_sizes().timers;
        let request = accepted_request(*id, &classes[0], 21_000.0, 50.0, Arc::new(NullClient));
        core.handle(1000.0, CoreMessage::Request(request));
        let were_dropped = core.state_sizes().timers < timers_before;
        if !were_dropped {
            core.handle(1000.0, CoreMessage::ClientDisconnected(*id));
        }
        were_dropped
    });
    assert!(kept_open.is_some(), "no timers were dropped");
    assert_eq!(core.open_requests(), 1);
    core.run_due_timers(21_000.0);
    assert_eq!(core.open_requests(), 0, "the request has no answer");
}

/// A cancellation that is not confirmed is sent again. If it is never confirmed, the request fails
/// before its deadline and is not retried. A further request with the same client reference fails,
/// and a client that disconnects does not free the reference, while the attempt may still run.
#[test]
fn an_unconfirmed_cancellation_is_repeated_and_allows_no_retry() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":9000,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["std-8c"],"specifics":{"sizeCores":[8],"progressMs":500}}"#;
    let mut bench = TestCore::from_json(text);
    let records = [1, 2].map(|n| list_record(n, EngineState::Ready)).to_vec();
    bench.apply_list(0.0, ListUpdateKind::Full, records);
    let class = bench.classes[0].clone();
    let request = |id: u32| {
        CoreMessage::Request(AcceptedRequest {
            client_reference: Bytes::from_static(b"one name"),
            ..accepted_request(id, &class, 15_000.0, 900.0, Arc::new(NullClient))
        })
    };
    let TestCore { core, metrics, .. } = &mut bench;
    core.handle(0.0, request(1));
    // The engines report no progress, so the attempt is cancelled.
    core.run_due_timers(3001.0);
    assert_eq!(
        (core.engines.started.len(), core.engines.cancelled.len()),
        (1, 1),
        "no retry before the cancellation is confirmed"
    );
    core.run_due_timers(3100.0);
    assert!(
        core.engines.cancelled.len() > 1,
        "the cancellation is sent again"
    );
    core.handle(3200.0, request(2));
    assert_eq!(
        metrics.requests_failed.get(),
        1,
        "the client reference is in use while the attempt may run"
    );
    core.run_due_timers(4990.0);
    assert_eq!(
        (core.open_requests(), metrics.cancellations_timed_out.get()),
        (1, 0)
    );
    core.run_due_timers(5100.0);
    assert_eq!(
        (core.open_requests(), core.engines.started.len()),
        (0, 1),
        "the request ends without a retry"
    );
    assert_eq!(
        (
            metrics.requests_failed.get(),
            metrics.cancellations_timed_out.get(),
            core.state_sizes().requests
        ),
        (2, 1, 0)
    );
    // After its client has disconnected, the reference stays in use until the cancellation is
    // confirmed.
    core.handle(6000.0, request(3));
    core.handle(6001.0, CoreMessage::ClientDisconnected(3));
    assert_eq!(core.open_requests(), 0);
    assert_eq!(requests_and_references(core), [1, 1]);
    let attempt = *core.engines.cancelled.last().expect("a cancellation");
    let event = AttemptEvent::Cancelled(AttemptEnd::Cancelled);
    bench.report_attempt(6002.0, attempt, event);
    assert_eq!(requests_and_references(&bench.core), [0, 0]);
}

/// The on-call staff can eject all of 1,024 listed engines manually and return each to service. The
/// ejection of an engine that is not listed is refused.
#[test]
fn a_thousand_engines_can_be_ejected_manually_and_returned_to_service() {
    let parsed = crate::engines::EngineContext::settings_for_tests();
    let mut bench = TestCore::new(parsed, 32);
    let records = (1..=1024)
        .map(|n| list_record(n, EngineState::Ready))
        .collect();
    bench.apply_list(0.0, ListUpdateKind::Full, records);
    let mut set_ejected = |n: u32, ejected| {
        let (reply, mut answer) = tokio::sync::oneshot::channel();
        let message = PriorityMessage::ManualEjection {
            engine: engine_id(n),
            ejected,
            at_ms: 1.0,
            from_peer: false,
            reply,
        };
        bench.core.handle_priority(1.0, message);
        answer.try_recv().expect("an answer")
    };
    assert!((1..=1024).all(|n| set_ejected(n, true)) && !set_ejected(2000, true));
    assert!((1..=1024).all(|n| set_ejected(n, false)));
}

/// With 256 MB of memory, as a manager of the large fleet has, each of 22,000 listed engines gets a
/// slot. Each draining and each removal is passed to the engine's actor, and no state of the
/// removed engines is kept.
#[test]
fn every_drain_and_removal_of_a_large_list_reaches_the_engine_actors() {
    const LISTED: u32 = 22_000;
    let parsed = crate::engines::EngineContext::settings_for_tests();
    let mut bench = TestCore::new(parsed, 256);
    bench.core.start(0.0);
    let record = |n: u32, state| {
        let mut record = list_record(n, state);
        record.address = ([127, 1, (n >> 8) as u8, n as u8], 5050).into();
        record
    };
    for (now, state, kind, with_slot) in [
        (1.0, EngineState::Ready, ListUpdateKind::Full, LISTED),
        (2.0, EngineState::Draining, ListUpdateKind::Delta, LISTED),
        (3.0, EngineState::Removed, ListUpdateKind::Delta, 0),
    ] {
        let records = (0..LISTED).map(|n| record(n, state)).collect();
        bench.apply_list(now, kind, records);
        let notified = std::mem::take(&mut bench.core.engines.listed);
        let expected: Vec<_> = (0..LISTED).map(|n| (engine_id(n), state)).collect();
        assert!(
            notified == expected,
            "{state:?}: {} of {LISTED} notified",
            notified.len()
        );
        let slots = (
            bench.metrics.engines.get(),
            bench.metrics.engines_without_slot.get(),
            bench.metrics.engines_waiting.get(),
        );
        assert_eq!(slots, (u64::from(with_slot), 0, 0), "{state:?}");
    }
    bench.core.run_due_timers(1000.0);
    let sizes = bench.core.state_sizes();
    assert_eq!(
        (sizes.roster, sizes.dispatcher[3]),
        (0, 0),
        "state of engines in the roster and in the dispatcher"
    );
}
