//! Tests of the core alone: engines and clients that say nothing.

mod attempt_interleavings;
mod engine_subsets;

use super::requests::DelayedAttempt;
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
use crate::settings_json::{self, NamedClass};
use bytes::Bytes;

/// Engines that take attempts and say nothing; what they are told to give up, and what the list says of them, is kept.
#[derive(Default)]
struct SilentEngines(
    Vec<EngineId>,
    Vec<(EngineId, RequestId, u16)>,
    Vec<(EngineId, EngineState)>,
);

impl EnginePort for SilentEngines {
    fn start_attempt(&mut self, engine: EngineId, _: AttemptRequest) -> bool {
        self.0.push(engine);
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        self.1.push((engine, id, attempt));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, line: &EngineRecord) {
        self.2.push((line.entry.engine, line.entry.state));
    }
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

pub(super) struct NullClient;

impl ClientPort for NullClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

/// An engine as the list has it.
pub(super) fn listed(n: u32, state: EngineState) -> EngineRecord {
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

/// A request of this class and effort.
pub(crate) fn taken(
    id: RequestId,
    class: &Arc<NamedClass>,
    due_ms: Millis,
    cost_ms: f64,
    client: Arc<dyn ClientPort>,
) -> AcceptedRequest {
    AcceptedRequest {
        id,
        client_reference: id.to_be_bytes().to_vec().into(),
        class: class.clone(),
        deadline_ms: due_ms,
        estimated_work_ms: Some(cost_ms),
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

fn all_sizes(sizes: &StateSizes) -> [usize; 8] {
    let core = [
        sizes.requests,
        sizes.client_references,
        sizes.roster,
        sizes.timers,
    ];
    let all = [core, sizes.dispatcher].concat();
    all.try_into().expect("four figures of each")
}

fn requests_and_references<E: EnginePort>(core: &Core<E>) -> [usize; 2] {
    let sizes = core.state_sizes();
    [sizes.requests, sizes.client_references]
}

/// Guard: nothing grows with what was ever seen. A long day in which engines are replaced, some left out of a
/// whole list and never told gone, and clients leave, time out or are served.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn nothing_grows_with_a_long_day() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":500,"giveUpMs":20000},
        {"name":"b","effect":"repeatable","promiseMs":500,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["std-8c"],"specifics":{"sizeCores":[8],"progressMs":500}}"#;
    let parsed = settings_json::parse(text.as_bytes()).expect("settings");
    let limits = Arc::new(Limits::new(256, 32, true, &parsed));
    let classes = parsed.classes;
    let mut core = Core::new(
        parsed.settings,
        7,
        SilentEngines::default(),
        limits,
        Arc::default(),
    )
    .expect("core");
    core.start(0.0);
    let (mut now, mut most) = (0.0, StateSizes::default());
    for round in 0..3000 {
        now += 20.0;
        core.run_due_timers(now);
        let next = round / 10 + 1;
        let (kind, entries) = match round % 10 {
            0 if next % 2 == 0 => (ListUpdateKind::Full, vec![listed(next, EngineState::Ready)]),
            0 => (
                ListUpdateKind::Delta,
                vec![
                    listed(next, EngineState::Ready),
                    listed(next - 1, EngineState::Removed),
                ],
            ),
            _ => (ListUpdateKind::Delta, Vec::new()),
        };
        core.handle(
            now,
            CoreMessage::EndpointList(EndpointListEvent {
                number: 0,
                kind,
                records: entries,
                unusable_engines: Vec::new(),
            }),
        );
        for n in 0..20 {
            let id = round * 20 + n;
            let due = now + if n < 5 { 300.0 } else { 20_000.0 };
            let one = taken(
                id,
                &classes[(n % 2) as usize],
                due,
                50.0,
                Arc::new(NullClient),
            );
            core.handle(
                now,
                CoreMessage::Request(AcceptedRequest {
                    data_set: id,
                    ..one
                }),
            );
            if n >= 10 {
                core.handle(now, CoreMessage::ClientDisconnected(id));
            } else if let (5.., Some(engine)) = (n, core.engines.0.last().copied()) {
                let body = Some(ResultBody::complete(ResultFormat::Text, Vec::new()));
                let news = AttemptEvent::Ended {
                    outcome: Outcome::Ok,
                    measured_work_ms: None,
                    measured_memory_mb: None,
                    body,
                };
                let report = LoadReport::default();
                core.handle(
                    now,
                    CoreMessage::Attempt {
                        engine,
                        id,
                        attempt: 0,
                        load_report: report,
                        event: news,
                    },
                );
                core.handle(now, CoreMessage::ClientDisconnected(id));
            }
        }
        for (engine, id, attempt) in std::mem::take(&mut core.engines.1) {
            let (report, news) = (
                LoadReport::default(),
                AttemptEvent::Cancelled(AttemptEnd::Cancelled),
            );
            core.handle(
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
        let held = core.state_sizes();
        if round == 999 {
            most = held;
        }
    }
    let end = core.state_sizes();
    for (end, most) in all_sizes(&end).iter().zip(all_sizes(&most)) {
        assert!(
            *end <= most + most / 2 + 8,
            "{:?} grew from {most:?}",
            core.state_sizes()
        );
    }
    assert!(
        end.timers < 2500 && end.roster < 10 && end.dispatcher[3] < 10,
        "{end:?}"
    );
}

/// Guard: what may have run is repeated by key alone, at engines of the group that drop it, and while they do. The core
/// holds the module to it, also after a wait.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn repeats_by_key_stay_in_their_group_and_time() {
    let class = |scope| {
        let text = format!(
            r#"{{"nInstances":1,"classes":[{{"name":"a","effect":"by_key","dedupScope":"{scope}","memorySpanMs":700,
            "promiseMs":500,"giveUpMs":20000}}],
            "guarantees":{{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3}},
            "limits":{{"attemptsCap":6}},"shapes":["std-8c"],"zones":["x","y"],"specifics":{{"sizeCores":[8]}}}}"#
        );
        settings_json::parse(text.as_bytes()).expect("settings")
    };
    for (scope, key, reach) in [
        ("all", true, [1, 2, 3]),
        ("zone", true, [1, 2, 0]),
        ("cell", true, [1, 0, 0]),
        ("all", false, [0; 3]),
    ] {
        let parsed = class(scope);
        let limits = Arc::new(Limits::new(256, 32, true, &parsed));
        let class = parsed.classes[0].clone();
        let mut core = Core::new(
            parsed.settings,
            7,
            SilentEngines::default(),
            limits,
            Arc::default(),
        )
        .expect("core");
        // The first two share a zone, the first alone its cell.
        let line = |n: u32| {
            let mut line = listed(n, EngineState::Ready);
            (line.entry.zone, line.entry.cell) = (u8::from(n > 2), n as u16);
            line
        };
        let entries = vec![line(1), line(2), line(3)];
        core.handle(
            0.0,
            CoreMessage::EndpointList(EndpointListEvent {
                number: 0,
                kind: ListUpdateKind::Full,
                records: entries,
                unusable_engines: Vec::new(),
            }),
        );
        let mut one = taken(1, &class, 20_000.0, 50.0, Arc::new(NullClient));
        one.idempotency_key = key.then(|| Bytes::from_static(b"k"));
        core.handle(0.0, CoreMessage::Request(one));
        let open = core.requests.get_mut(1).expect("open");
        open.history = AttemptHistory::default();
        open.history.record_sent(
            0,
            engine_id(1),
            SentTo {
                zone: 0,
                cell: 1,
                at_ms: 100.0,
            },
        );
        open.history.record_end(0, true).expect("out");
        for (n, reached) in (1..=3).zip(reach) {
            let until = core.resend_deadline(700.0, 1, engine_id(n));
            assert_eq!(until, (reached > 0).then_some(799.0), "{scope} {key} {n}");
        }
        let delayed = DelayedAttempt {
            number: 1,
            engine: engine_id(1),
            timeout_ms: None,
        };
        assert_eq!(
            core.start_attempt(800.0, 1, engine_id(1), None),
            Err(Outcome::NotSent)
        );
        assert_eq!(
            core.send_attempt(800.0, 1, delayed),
            Err(Outcome::NotSent),
            "after a back-off"
        );
    }
}

/// Guard: what comes while the process ends is answered before that, or turned away at once.
#[test]
fn nothing_outlives_the_end() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":500,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
    let parsed = settings_json::parse(text.as_bytes()).expect("settings");
    let limits = Arc::new(Limits::new(256, 32, true, &parsed));
    let metrics: Arc<Metrics> = Arc::default();
    let class = parsed.classes[0].clone();
    let mut core = Core::new(
        parsed.settings,
        7,
        SilentEngines::default(),
        limits,
        metrics.clone(),
    )
    .expect("core");
    let entries = vec![listed(1, EngineState::Ready)];
    core.handle(
        0.0,
        CoreMessage::EndpointList(EndpointListEvent {
            number: 1,
            kind: ListUpdateKind::Full,
            records: entries,
            unusable_engines: Vec::new(),
        }),
    );
    let ask = |core: &mut Core<SilentEngines>, now: f64, id: u32, cost| {
        let one = taken(id, &class, now + 20_000.0, cost, Arc::new(NullClient));
        core.handle(now, CoreMessage::Request(one));
    };
    ask(&mut core, 1000.0, 1, 50.0);
    core.handle_priority(1000.0, PriorityMessage::ShutdownDeadline(6000.0));
    ask(&mut core, 5000.0, 2, 50.0);
    assert_eq!(
        (core.open_requests(), core.engines.0.len()),
        (2, 2),
        "what comes before is begun"
    );
    core.run_due_timers(6000.0);
    assert_eq!(
        (core.open_requests(), metrics.requests_failed.get()),
        (0, 2),
        "what is not done is answered"
    );
    ask(&mut core, 6001.0, 3, 50.0);
    assert_eq!(
        (core.open_requests(), metrics.requests_rejected.get()),
        (0, 1),
        "and what comes then is turned away"
    );
}

/// Guard: an order to give up that got lost is given again; an end that nothing proves ends its request in time, and
/// nothing follows. A client that leaves or comes back under the same name meanwhile changes nothing.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn without_a_proof_nothing_follows() {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":9000,"giveUpMs":20000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["std-8c"],"specifics":{"sizeCores":[8],"progressMs":500}}"#;
    let parsed = settings_json::parse(text.as_bytes()).expect("settings");
    let limits = Arc::new(Limits::new(256, 32, true, &parsed));
    let metrics: Arc<Metrics> = Arc::default();
    let class = parsed.classes[0].clone();
    let mut core = Core::new(
        parsed.settings,
        7,
        SilentEngines::default(),
        limits,
        metrics.clone(),
    )
    .expect("core");
    let entries = [1, 2].map(|n| listed(n, EngineState::Ready)).to_vec();
    core.handle(
        0.0,
        CoreMessage::EndpointList(EndpointListEvent {
            number: 1,
            kind: ListUpdateKind::Full,
            records: entries,
            unusable_engines: Vec::new(),
        }),
    );
    let ask = |id: u32| {
        let one = taken(id, &class, 15_000.0, 900.0, Arc::new(NullClient));
        CoreMessage::Request(AcceptedRequest {
            client_reference: Bytes::from_static(b"one name"),
            ..one
        })
    };
    core.handle(0.0, ask(1));
    // No engine says anything: the attempt is given up for its silence.
    core.run_due_timers(3001.0);
    assert_eq!(
        (core.engines.0.len(), core.engines.1.len()),
        (1, 1),
        "nothing goes out before the proof"
    );
    core.run_due_timers(3100.0);
    assert!(core.engines.1.len() > 1, "the order is given again");
    core.handle(3200.0, ask(2));
    assert_eq!(
        metrics.requests_failed.get(),
        1,
        "the name is taken as long as its attempt may be out"
    );
    core.run_due_timers(4990.0);
    assert_eq!(
        (core.open_requests(), metrics.cancellations_timed_out.get()),
        (1, 0)
    );
    core.run_due_timers(5100.0);
    assert_eq!(
        (core.open_requests(), core.engines.0.len()),
        (0, 1),
        "it ends, and nothing follows"
    );
    assert_eq!(
        (
            metrics.requests_failed.get(),
            metrics.cancellations_timed_out.get(),
            core.state_sizes().requests
        ),
        (2, 1, 0)
    );
    // A client that leaves is owed nothing, and its name is held until the proof.
    core.handle(6000.0, ask(3));
    core.handle(6001.0, CoreMessage::ClientDisconnected(3));
    assert_eq!(
        (
            core.open_requests(),
            requests_and_references(&core) == [1, 1]
        ),
        (0, true)
    );
    let (engine, id, attempt) = *core.engines.1.last().expect("quit");
    let (report, news) = (
        LoadReport::default(),
        AttemptEvent::Cancelled(AttemptEnd::Cancelled),
    );
    core.handle(
        6002.0,
        CoreMessage::Attempt {
            engine,
            id,
            attempt,
            load_report: report,
            event: news,
        },
    );
    assert_eq!(requests_and_references(&core), [0, 0]);
}

/// Staff may take out as many engines as the list has places: of a thousand listed ones all, and each comes back.
#[test]
fn a_thousand_engines_out_by_hand() {
    let parsed = crate::engines::EngineContext::settings_for_tests();
    let limits = Arc::new(Limits::new(256, 32, true, &parsed));
    let mut core = Core::new(
        parsed.settings,
        7,
        SilentEngines::default(),
        limits,
        Arc::default(),
    )
    .expect("core");
    let entries = (1..=1024).map(|n| listed(n, EngineState::Ready)).collect();
    core.handle(
        0.0,
        CoreMessage::EndpointList(EndpointListEvent {
            number: 1,
            kind: ListUpdateKind::Full,
            records: entries,
            unusable_engines: Vec::new(),
        }),
    );
    let mut say = |n: u32, out| {
        let (done, mut said) = tokio::sync::oneshot::channel();
        core.handle_priority(
            1.0,
            PriorityMessage::ManualEjection {
                engine: engine_id(n),
                ejected: out,
                at_ms: 1.0,
                from_peer: false,
                done,
            },
        );
        said.try_recv().expect("an answer")
    };
    assert!((1..=1024).all(|n| say(n, true)) && !say(2000, true));
    assert!((1..=1024).all(|n| say(n, false)));
}

/// Guard: with the memory of the large fleet's managers each of its 22,000 engines is known, each drain and each end
/// reaches its engine's actor, and nothing of them stays.
#[test]
#[expect(
    clippy::similar_names,
    clippy::too_many_lines,
    reason = "not split yet"
)]
fn drains_and_ends_of_a_large_list_are_heard() {
    const LISTED: u32 = 22_000;
    let parsed = crate::engines::EngineContext::settings_for_tests();
    let limits = Arc::new(Limits::new(256, 256, true, &parsed));
    let metrics: Arc<Metrics> = Arc::default();
    let mut core = Core::new(
        parsed.settings,
        7,
        SilentEngines::default(),
        limits,
        metrics.clone(),
    )
    .expect("core");
    core.start(0.0);
    let line = |n: u32, state| {
        let mut line = listed(n, state);
        line.address = ([127, 1, (n >> 8) as u8, n as u8], 5050).into();
        line
    };
    let states = [
        EngineState::Ready,
        EngineState::Draining,
        EngineState::Removed,
    ];
    for (number, state) in (1..).zip(states) {
        let kind = if state == EngineState::Ready {
            ListUpdateKind::Full
        } else {
            ListUpdateKind::Delta
        };
        let entries = (0..LISTED).map(|n| line(n, state)).collect();
        let event = EndpointListEvent {
            number,
            kind,
            records: entries,
            unusable_engines: Vec::new(),
        };
        core.handle(number as Millis, CoreMessage::EndpointList(event));
        let heard = std::mem::take(&mut core.engines.2);
        let each: Vec<_> = (0..LISTED).map(|n| (engine_id(n), state)).collect();
        assert!(
            heard == each,
            "{state:?}: {} of {LISTED} heard",
            heard.len()
        );
        let known = if state == EngineState::Removed {
            0
        } else {
            u64::from(LISTED)
        };
        let passed = (
            metrics.engines.get(),
            metrics.engines_without_slot.get(),
            metrics.engines_waiting.get(),
        );
        assert_eq!(passed, (known, 0, 0), "{state:?}");
    }
    core.run_due_timers(1000.0);
    assert_eq!(
        (core.state_sizes().roster, core.state_sizes().dispatcher[3]),
        (0, 0),
        "in the roster and in the module"
    );
}
