//! Tests of this module: the module hears nothing of a request whose key another process has.

use super::super::tests::{listed, taken};
use super::*;
use crate::core::AttemptEvent;
use crate::core::AttemptRequest;
use crate::core::ClientPort;
use crate::core::CoreMessage;
use crate::core::PeerProcesses;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::decision::LoadReport;
use crate::limits::Limits;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::{self, NamedClass, PlatformSettings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

const PAUSE: Millis = 300.0;

/// Locks on keys of which another process has all, or none.
#[derive(Clone, Default)]
struct Elsewhere(Arc<AtomicBool>);

impl OrderLocks for Elsewhere {
    fn try_lock(&mut self, _: OrderKey) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
    fn unlock(&mut self, _: OrderKey) {}
    fn live_peers(&mut self) -> PeerProcesses {
        1
    }
    fn may_have_held_at_exit(&mut self, _: PeerProcesses) -> bool {
        false
    }
    fn may_be_left_behind(&self) -> bool {
        false
    }
}

/// Engines that take every attempt.
#[derive(Default)]
struct Engines(Vec<(EngineId, RequestId, u16)>);

impl EnginePort for Engines {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        self.0.push((engine, ask.id, ask.attempt));
        true
    }
    fn cancel_attempt(&mut self, _: EngineId, _: RequestId, _: u16, _: bool) {}
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

#[derive(Default)]
struct Client(Mutex<Vec<(RequestId, bool)>>);

impl ClientPort for Client {
    fn answer(&self, id: RequestId, answer: Answer) {
        let refused = matches!(answer, Answer::Rejected { .. });
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((id, refused));
    }
}

/// Settings with these classes, all of which keep order.
fn parsed(classes: &[&str]) -> PlatformSettings {
    let class = |name| {
        format!(
            r#"{{"name":"{name}","effect":"once","promiseMs":500,"giveUpMs":9000,"fifoByKey":true}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let text = format!(
        r#"{{"nInstances":1,"classes":[{}],"guarantees":{{"coldMs":1,"coldShare":0.3,"overloadForMs":1500,
        "tipMultiple":3,"orderPauseMs":{PAUSE}}},"limits":{{"attemptsCap":6,"cancel":true}},"shapes":["std-8c"],
        "specifics":{{"sizeCores":[8],"progressMs":500}}}}"#,
        classes.join(",")
    );
    settings_json::parse(text.as_bytes()).expect("settings")
}

struct TestBench {
    core: Core<Engines>,
    elsewhere: Elsewhere,
    client: Arc<Client>,
    classes: Vec<Arc<NamedClass>>,
}

impl TestBench {
    /// A core with a ready engine; another process has every key.
    fn new() -> TestBench {
        let (parsed, elsewhere) = (parsed(&["load", "count"]), Elsewhere::default());
        elsewhere.0.store(true, Ordering::Relaxed);
        let limits = Arc::new(Limits::new(256, 32, false, &parsed));
        let core = Core::new(
            parsed.settings,
            7,
            Engines::default(),
            limits,
            Arc::default(),
        )
        .expect("core");
        let mut core = core.with_order_locks(Some(Box::new(elsewhere.clone())));
        core.start(0.0);
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
        TestBench {
            core,
            elsewhere,
            client: Arc::default(),
            classes: parsed.classes,
        }
    }

    fn take(&mut self, now: Millis, id: RequestId, class: usize, due_ms: Millis) {
        let mut taken = taken(id, &self.classes[class], due_ms, 50.0, self.client.clone());
        taken.order_key = Some(OrderKey::new(b"key"));
        self.core.handle(now, CoreMessage::Request(taken));
    }

    fn free(&self) {
        self.elsewhere.0.store(false, Ordering::Relaxed);
    }

    fn answers(&self) -> Vec<(RequestId, bool)> {
        self.client.0.lock().expect("answers").clone()
    }

    /// The requests that the module knows.
    fn known(&self) -> usize {
        self.core.state_sizes().dispatcher[0]
    }
}

#[test]
fn the_module_hears_of_a_request_with_its_lease() {
    let mut rig = TestBench::new();
    rig.take(10.0, 1, 0, 9000.0);
    rig.take(20.0, 2, 0, 9000.0);
    rig.core.run_due_timers(100.0);
    assert_eq!(
        (
            rig.known(),
            rig.core.open_requests(),
            rig.core.engines.0.len()
        ),
        (0, 2, 0)
    );
    assert_eq!(rig.core.metrics.requests_held_for_order_key.get(), 2);
    rig.free();
    rig.core.run_due_timers(149.0);
    assert_eq!(rig.known(), 0, "it looks every 50 ms");
    rig.core.run_due_timers(160.0);
    let first = (engine_id(1), 1, 0);
    assert_eq!(
        (rig.known(), &rig.core.engines.0[..]),
        (2, &[first][..]),
        "the first of the key is out"
    );
    let news = AttemptEvent::end(Outcome::Error);
    let (id, attempt, report) = (1, 0, LoadReport::default());
    rig.core.handle(
        170.0,
        CoreMessage::Attempt {
            engine: first.0,
            id,
            attempt,
            load_report: report,
            event: news,
        },
    );
    assert_eq!(
        rig.core.engines.0.len(),
        2,
        "and then the second, as its first attempt"
    );
}

#[test]
fn a_held_request_has_its_deadline_and_its_client_may_leave() {
    let mut rig = TestBench::new();
    rig.take(10.0, 1, 0, 400.0);
    rig.take(10.0, 2, 0, 9000.0);
    rig.core.run_due_timers(400.0);
    assert_eq!(rig.answers(), [(1, false)]);
    rig.core.handle(410.0, CoreMessage::ClientDisconnected(2));
    rig.free();
    rig.core.run_due_timers(1000.0);
    let sizes = rig.core.state_sizes();
    assert_eq!(
        (
            rig.core.open_requests(),
            [sizes.requests, sizes.client_references],
            &sizes.dispatcher[..3]
        ),
        (0, [0; 2], &[0; 3][..])
    );
    assert!(rig.core.engines.0.is_empty() && !rig.core.order_leases.needs_review());
}

/// Guard: settings may change meanwhile; a class goes by its name, and one that went is refused, as nothing has run.
#[test]
fn settings_may_change_while_a_request_is_held() {
    let mut rig = TestBench::new();
    rig.take(10.0, 1, 0, 9000.0);
    rig.take(10.0, 2, 1, 9000.0);
    let settings = Some(Box::new(parsed(&["count"]).settings));
    rig.core.handle(
        20.0,
        CoreMessage::Settings {
            settings,
            policy: Arc::default(),
        },
    );
    rig.free();
    rig.core.run_due_timers(100.0);
    assert_eq!(rig.answers(), [(1, true)]);
    assert_eq!(rig.core.engines.0, [(engine_id(1), 2, 0)]);
}
