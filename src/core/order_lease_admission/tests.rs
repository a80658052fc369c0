//! Tests of the admission under order key leases: a request is not submitted to the dispatcher
//! while another process holds the lease on its key.

use super::super::tests::{accepted_request, attempt_message, list_record};
use super::*;
use crate::core::AttemptEvent;
use crate::core::AttemptRequest;
use crate::core::ClientPort;
use crate::core::CoreMessage;
use crate::core::PeerProcesses;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::limits::Limits;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::{self, NamedClass, PlatformSettings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

const PAUSE: Millis = 300.0;

/// Locks on order keys, all of which a peer process holds while the flag is set.
#[derive(Clone, Default)]
struct PeerLocks(Arc<AtomicBool>);

impl OrderLocks for PeerLocks {
    fn try_lock(&mut self, _: OrderKey) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
    fn unlock(&mut self, _: OrderKey) {}
    fn live_peers(&mut self) -> PeerProcesses {
        1
    }
    fn may_have_held_keys_at_exit(&mut self, _: PeerProcesses) -> bool {
        false
    }
    fn earlier_process_may_have_held_keys(&self) -> bool {
        false
    }
}

/// Fake engines that accept every attempt and record it.
#[derive(Default)]
struct Engines(Vec<(EngineId, RequestId, u16)>);

impl EnginePort for Engines {
    fn start_attempt(&mut self, engine: EngineId, request: AttemptRequest) -> bool {
        self.0.push((engine, request.id, request.attempt));
        true
    }
    fn cancel_attempt(&mut self, _: EngineId, _: RequestId, _: u16, _: bool) {}
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A fake client that records its answers: the request, and whether it was rejected.
#[derive(Default)]
struct Client(Mutex<Vec<(RequestId, bool)>>);

impl ClientPort for Client {
    fn answer(&self, id: RequestId, answer: Answer) {
        let rejected = matches!(answer, Answer::Rejected { .. });
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((id, rejected));
    }
}

/// Settings with these classes, whose requests are all ordered by key.
fn settings_with_classes(classes: &[&str]) -> PlatformSettings {
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
    locks: PeerLocks,
    client: Arc<Client>,
    classes: Vec<Arc<NamedClass>>,
}

impl TestBench {
    /// A core with one ready engine; a peer process holds every lock.
    fn new() -> TestBench {
        let (parsed, locks) = (
            settings_with_classes(&["load", "count"]),
            PeerLocks::default(),
        );
        locks.0.store(true, Ordering::Relaxed);
        let limits = Arc::new(Limits::new(256, 32, false, &parsed));
        let core = Core::new(
            parsed.settings,
            7,
            Engines::default(),
            limits,
            Arc::default(),
        )
        .expect("core");
        let mut core = core.with_order_locks(Some(Box::new(locks.clone())));
        core.start(0.0);
        let engine_records = vec![list_record(1, EngineState::Ready)];
        core.handle(
            0.0,
            CoreMessage::EndpointList(EndpointListEvent {
                number: 1,
                kind: ListUpdateKind::Full,
                records: engine_records,
                unusable_engines: Vec::new(),
            }),
        );
        TestBench {
            core,
            locks,
            client: Arc::default(),
            classes: parsed.classes,
        }
    }

    fn submit(&mut self, now: Millis, id: RequestId, class: usize, deadline_ms: Millis) {
        let mut request = accepted_request(
            id,
            &self.classes[class],
            deadline_ms,
            50.0,
            self.client.clone(),
        );
        request.order_key = Some(OrderKey::new(b"key"));
        self.core.handle(now, CoreMessage::Request(request));
    }

    fn release_locks(&self) {
        self.locks.0.store(false, Ordering::Relaxed);
    }

    fn answers(&self) -> Vec<(RequestId, bool)> {
        self.client.0.lock().expect("answers").clone()
    }

    /// Number of requests that were submitted to the dispatcher and have not ended.
    fn dispatcher_requests(&self) -> usize {
        self.core.state_sizes().dispatcher[0]
    }
}

#[test]
fn a_request_reaches_the_dispatcher_once_its_order_key_is_leased() {
    let mut bench = TestBench::new();
    bench.submit(10.0, 1, 0, 9000.0);
    bench.submit(20.0, 2, 0, 9000.0);
    bench.core.run_due_timers(100.0);
    assert_eq!(
        (
            bench.dispatcher_requests(),
            bench.core.open_requests(),
            bench.core.engines.0.len()
        ),
        (0, 2, 0)
    );
    assert_eq!(bench.core.metrics.requests_held_for_order_key.get(), 2);
    bench.release_locks();
    bench.core.run_due_timers(149.0);
    assert_eq!(
        bench.dispatcher_requests(),
        0,
        "leases are reviewed every 50 ms"
    );
    bench.core.run_due_timers(160.0);
    let first = (engine_id(1), 1, 0);
    assert_eq!(
        (bench.dispatcher_requests(), &bench.core.engines.0[..]),
        (2, &[first][..]),
        "an attempt of the first request is sent"
    );
    let event = AttemptEvent::end(Outcome::Error);
    bench.core.handle(170.0, attempt_message(first, event));
    assert_eq!(
        bench.core.engines.0.len(),
        2,
        "then the first attempt of the second request is sent"
    );
}

#[test]
fn a_request_held_for_a_lease_ends_at_its_deadline_or_client_disconnect() {
    let mut bench = TestBench::new();
    bench.submit(10.0, 1, 0, 400.0);
    bench.submit(10.0, 2, 0, 9000.0);
    bench.core.run_due_timers(400.0);
    assert_eq!(bench.answers(), [(1, false)]);
    bench.core.handle(410.0, CoreMessage::ClientDisconnected(2));
    bench.release_locks();
    bench.core.run_due_timers(1000.0);
    let sizes = bench.core.state_sizes();
    assert_eq!(
        (
            bench.core.open_requests(),
            [sizes.requests, sizes.client_references],
            &sizes.dispatcher[..3]
        ),
        (0, [0; 2], &[0; 3][..])
    );
    assert!(bench.core.engines.0.is_empty() && !bench.core.order_leases.needs_review());
}

/// After a settings change the class of a held request is looked up by name. If the class was
/// removed, the request is rejected, because it has not run.
#[test]
fn a_held_request_whose_class_was_removed_is_rejected() {
    let mut bench = TestBench::new();
    bench.submit(10.0, 1, 0, 9000.0);
    bench.submit(10.0, 2, 1, 9000.0);
    let settings = Some(Box::new(settings_with_classes(&["count"]).settings));
    bench.core.handle(
        20.0,
        CoreMessage::Settings {
            settings,
            policy: Arc::default(),
        },
    );
    bench.release_locks();
    bench.core.run_due_timers(100.0);
    assert_eq!(bench.answers(), [(1, true)]);
    assert_eq!(bench.core.engines.0, [(engine_id(1), 2, 0)]);
}
