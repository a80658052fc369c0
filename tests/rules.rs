//! Tests of the seven rules that the dispatcher keeps, and a property test that checks them over
//! random events. The settings alone determine which rules apply.
//!
//! 1. A request gets one final answer, by its deadline, and is not sent after its end.
//! 2. A request that may have run is repeated only if the idempotency of its class allows it.
//! 3. Only engines that are listed as ready get requests.
//! 4. An engine in slow start gets no more work than its budget.
//! 5. Requests with one order key run one at a time and in order, with a pause where an attempt may
//!    still run.
//! 6. A class runs only in its allowed zones and on its allowed machine types.
//! 7. Retries stay within the retry budget.

mod common;
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use workload_manager::*;

/// A class with idempotency key, whose engines drop repeats within 1 s.
fn class_with_idempotency_key(scope: DedupScope) -> Class {
    Class {
        idempotency: Idempotency::WithKey(scope),
        dedup_window_ms: 1000.0,
        ..class(1, 2000.0, 1.0)
    }
}

#[test]
fn rule_1_waiting_request_is_answered_before_its_deadline() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 0);
    assert!(bench.request_with(1, 0, 0, 900.0, None).is_empty());
    let mut was_answered = false;
    while bench.now < 1890.0 {
        was_answered |= is_answered(&bench.tick(10.0), 1);
    }
    assert!(
        was_answered,
        "a request without an engine is answered before its deadline"
    );
    assert!(
        !is_answered(&bench.tick(500.0), 1),
        "the request is answered only once"
    );
}

#[test]
fn rule_1_request_of_a_disconnected_client_is_not_sent() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 0);
    bench.request(1, 0, 0);
    bench.handle_event(Event::ClientDisconnected { id: 1 });
    assert_eq!(
        sent_to(
            &bench.update_list(vec![entry(0, EngineState::Ready, 0.0)]),
            1
        ),
        None
    );
}

#[test]
fn rule_2_non_idempotent_request_that_may_have_run_fails() {
    let non_idempotent = Class {
        idempotency: Idempotency::NonIdempotent,
        ..class(1, 1000.0, 1.0)
    };
    let mut bench = TestBench::new(settings(vec![non_idempotent]), 3);
    let target = sent_to(&bench.request(1, 0, 0), 1).unwrap();
    let actions = bench.end_attempt(1, 0, target, Outcome::NoConnection);
    let target = sent_to(&actions, 1).expect("a request that has not run is retried");
    assert!(
        bench
            .end_attempt(1, 1, target, Outcome::Reset)
            .contains(&Action::Fail {
                id: 1,
                reason: EndReason::NoRetryAllowed
            })
    );
}

/// An attempt for which the host had no connection slot counts neither towards the maximum of
/// attempts nor towards the retry budget. The request is sent again immediately to an engine that
/// already has a connection, because one of its queries is in flight. It is not sent to an engine
/// that would need a new connection.
#[test]
fn attempt_without_connection_slot_does_not_count() {
    let no_retries = Some(RetryBudget {
        free_retries: 0.0,
        retries_per_request: 0.0,
        window_ms: 1000.0,
    });
    let limited_settings = Settings {
        max_attempts: 1,
        retry_budget: no_retries,
        ..settings(vec![class(1, 1000.0, 1.0)])
    };
    let mut bench = TestBench::new(limited_settings, 9);
    let connected_engine = sent_to(&bench.request(1, 0, 0), 1).expect("an engine");
    let other_engine = sent_to(&bench.request(2, 0, 0), 2).expect("an engine");
    assert_ne!(connected_engine, other_engine);
    for number in 0..3 {
        let target = if number == 0 {
            other_engine
        } else {
            connected_engine
        };
        let actions = bench.end_attempt(2, number, target, Outcome::NoConnectionSlot);
        if number == 0 {
            assert_eq!(
                sent_to(&actions, 2),
                Some(connected_engine),
                "the engine that has a connection already"
            );
        } else {
            assert!(
                !is_answered(&actions, 2) && sent_request_ids(&actions).is_empty(),
                "the request waits instead of going to the same engine immediately"
            );
            assert_eq!(
                sent_to(&bench.tick(50.0), 2).is_some(),
                number == 1,
                "the request is sent again at the next tick"
            );
            break;
        }
    }
    // If no attempt is in flight, no engine has a connection: the request waits for a tick and is
    // then sent again.
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 3);
    let target = sent_to(&bench.request(1, 0, 0), 1).expect("an engine");
    let actions = bench.end_attempt(1, 0, target, Outcome::NoConnectionSlot);
    assert!(!is_answered(&actions, 1) && sent_request_ids(&actions).is_empty());
    assert!(sent_to(&bench.tick(60.0), 1).is_some());
}

#[test]
fn rule_2_keyed_retry_stays_in_its_dedup_scope_and_window() {
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        let mut bench = TestBench::new(settings(vec![class_with_idempotency_key(scope)]), 6);
        let first = sent_to(&bench.request(1, 0, 0), 1).unwrap();
        bench.now += 100.0;
        let second = sent_to(&bench.end_attempt(1, 0, first, Outcome::Error), 1)
            .expect("the request is retried within its dedup scope");
        let dedup_group = |engine: EngineId| {
            if scope == DedupScope::Zone {
                engine.addr[3] % 2
            } else {
                engine.addr[3] % 3
            }
        };
        assert_eq!(dedup_group(first), dedup_group(second));
        bench.now += 1000.0;
        let actions = bench.end_attempt(1, 1, second, Outcome::Error);
        assert!(
            actions.contains(&Action::Fail {
                id: 1,
                reason: EndReason::NoRetryAllowed
            }),
            "after the dedup window the request fails; a rejection would invite a repeat that may run twice"
        );
    }
}

#[test]
fn rule_3_draining_or_unlisted_engine_gets_nothing() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 2);
    bench.update_list(vec![entry(0, EngineState::Draining, 0.0)]);
    for id in 1..6 {
        assert_eq!(sent_to(&bench.request(id, 0, 0), id), Some(engine(1)));
    }
    bench.handle_event(Event::EndpointList {
        kind: ListUpdateKind::Full,
        entries: vec![entry(0, EngineState::Ready, 0.0)],
    });
    assert_eq!(sent_to(&bench.request(9, 0, 0), 9), Some(engine(0)));
}

#[test]
fn rule_4_engine_in_slow_start_gets_less_than_its_budget() {
    let mut bench = TestBench::new(settings(vec![class(1, 400.0, 1.0)]), 0);
    bench.update_list(vec![entry(0, EngineState::Ready, bench.now)]);
    let mut sent_work_ms = 0.0;
    for id in 0..200 {
        bench.now += 5.0;
        let actions = bench.request_with(id, 0, 0, 3000.0, Some(200.0));
        for sent_id in sent_request_ids(&actions) {
            sent_work_ms += 200.0;
            bench.end_attempt_after(sent_id, 0, engine(0), Outcome::Ok, 5.0);
        }
    }
    // The upper bound is the work that would overload the engine: the overload multiple x the
    // initial share of the slow start x cores x the window in ms.
    assert!(
        sent_work_ms > 400.0 && sent_work_ms < 2.0 * 0.3 * 8.0 * 1000.0,
        "{sent_work_ms} ms of work sent"
    );
}

#[test]
fn rule_5_requests_of_one_key_run_in_order_with_a_pause() {
    let ordered = Class {
        ordered_by_key: true,
        ..class_with_idempotency_key(DedupScope::All)
    };
    let mut bench = TestBench::new(settings(vec![ordered]), 3);
    let target = sent_to(&bench.request(1, 0, 9), 1).unwrap();
    assert_eq!(sent_to(&bench.request(2, 0, 9), 2), None);
    assert!(
        sent_to(&bench.request(3, 0, 8), 3).is_some(),
        "a request with another key is not held back"
    );
    bench.handle_event(Event::ClientDisconnected { id: 1 });
    assert_eq!(
        sent_to(&bench.tick(10.0), 2),
        None,
        "the attempt of the disconnected client is still in flight"
    );
    assert_eq!(
        sent_to(&bench.end_attempt(1, 0, target, Outcome::TimedOut), 2),
        None
    );
    assert_eq!(
        sent_to(&bench.tick(250.0), 2),
        None,
        "the order key is paused"
    );
    assert!(sent_to(&bench.tick(60.0), 2).is_some());
}

/// Order keys come from clients, so a key is stored only while it has requests or is paused.
#[test]
fn rule_5_key_is_removed_after_its_pause() {
    let ordered = Class {
        ordered_by_key: true,
        ..class_with_idempotency_key(DedupScope::All)
    };
    let mut bench = TestBench::new(settings(vec![ordered]), 3);
    for id in 1..=100 {
        let target = sent_to(&bench.request(id, 0, u64::from(id)), id).unwrap();
        bench.handle_event(Event::ClientDisconnected { id });
        bench.end_attempt(id, 0, target, Outcome::Reset);
    }
    assert_eq!(
        bench.dispatcher.state_sizes()[2],
        100,
        "all order keys are paused"
    );
    bench.tick(400.0);
    assert_eq!(bench.dispatcher.state_sizes()[2], 0);
}

#[test]
fn rule_6_restricted_class_waits_for_an_allowed_engine() {
    let restricted = Class {
        allowed_zones: Some(vec![1]),
        allowed_machine_types: Some(vec![0]),
        ..class(1, 1000.0, 1.0)
    };
    let mut bench = TestBench::new(settings(vec![restricted, class(1, 1000.0, 1.0)]), 1);
    assert_eq!(sent_to(&bench.request(1, 0, 0), 1), None);
    assert!(
        sent_to(&bench.request(2, 1, 0), 2).is_some(),
        "requests of other classes are not held back"
    );
    assert_eq!(
        sent_to(
            &bench.update_list(vec![entry(1, EngineState::Ready, 0.0)]),
            1
        ),
        Some(engine(1))
    );
}

#[test]
fn rule_7_retries_stay_within_their_budget() {
    let retry_limits = Some(RetryBudget {
        free_retries: 2.0,
        retries_per_request: 0.1,
        window_ms: 5000.0,
    });
    let mut bench = TestBench::new(
        Settings {
            retry_budget: retry_limits,
            ..settings(vec![class(1, 1000.0, 1.0)])
        },
        4,
    );
    let mut attempt_count = 0;
    for id in 0..10 {
        let actions = bench.request(id, 0, 0);
        let target = sent_to(&actions, id).unwrap();
        attempt_count += sent_request_ids(&actions).len()
            + sent_request_ids(&bench.end_attempt(id, 0, target, Outcome::Error)).len();
    }
    assert_eq!(
        attempt_count, 13,
        "10 first attempts, 2 free retries and 1 retry for 10 requests"
    );
}

/// Pause of an order key in ms, as in [`settings`].
const KEY_PAUSE_MS: f64 = 300.0;
/// Retries that the budget of the random test allows in addition to a share of the requests.
const FREE_RETRIES: f64 = 3.0;
/// Retries per request that the budget of the random test allows.
const RETRIES_PER_REQUEST: f64 = 0.3;
/// Window in ms over which the budget of the random test counts.
const RETRY_WINDOW_MS: f64 = 3000.0;

/// The first attempt of a request that may have run: its engine, and when it was sent.
#[derive(Clone, Copy)]
struct FirstExecution {
    engine: EngineId,
    sent_at_ms: f64,
}

/// State of one request, as the random test tracks it.
#[derive(Default)]
struct TrackedRequest {
    class: usize,
    key: u64,
    deadline_ms: f64,
    attempts: u16,
    /// The engine of its attempt in flight, if there is one.
    engine: Option<EngineId>,
    /// Whether it has been answered or its client has disconnected.
    finished: bool,
    first_execution: Option<FirstExecution>,
    /// When its latest attempt was sent.
    sent_at_ms: f64,
}

/// An event of the random test. `random_index` is taken modulo the number of requests that the
/// event can affect.
#[derive(Clone, Debug)]
enum RandomEvent {
    SubmitRequest {
        class: usize,
        key: u64,
        timeout_ms: f64,
        estimated_work_ms: f64,
    },
    EndAttempt {
        random_index: usize,
        outcome_index: usize,
    },
    DisconnectClient {
        random_index: usize,
    },
    UpdateList {
        number: u8,
        state_index: usize,
        is_restarted: bool,
    },
    AdvanceTime {
        elapsed_ms: f64,
    },
}

fn random_event() -> impl Strategy<Value = RandomEvent> {
    prop_oneof![
        4 => (0usize..5, 0u64..3, 200.0..4000.0, prop_oneof![Just(f64::NAN), Just(-1.0), 10.0..5000.0])
            .prop_map(|(class, key, timeout_ms, estimated_work_ms)| RandomEvent::SubmitRequest {
                class,
                key,
                timeout_ms,
                estimated_work_ms,
            }),
        4 => (any::<usize>(), 0usize..8)
            .prop_map(|(random_index, outcome_index)| RandomEvent::EndAttempt { random_index, outcome_index }),
        1 => any::<usize>().prop_map(|random_index| RandomEvent::DisconnectClient { random_index }),
        1 => (0u8..5, 0usize..3, any::<bool>())
            .prop_map(|(number, state_index, is_restarted)| RandomEvent::UpdateList {
                number,
                state_index,
                is_restarted,
            }),
        3 => (1.0..120.0).prop_map(|elapsed_ms| RandomEvent::AdvanceTime { elapsed_ms }),
    ]
}

/// Outcomes that the random test picks from.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Ok,
];

/// Whether an attempt with this outcome may have run.
fn may_have_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
    )
}

/// Sends random events to a dispatcher and checks the rules for each of its actions.
struct Checker {
    bench: TestBench,
    classes: Vec<Class>,
    requests: BTreeMap<u32, TrackedRequest>,
    states: BTreeMap<EngineId, EngineState>,
    /// When the pause of each order key ends, in ms.
    paused_until: BTreeMap<u64, f64>,
    /// When each request arrived.
    request_times_ms: VecDeque<f64>,
    /// When each retry was sent.
    retry_times_ms: VecDeque<f64>,
}

impl Checker {
    fn new() -> Checker {
        let classes = vec![
            class(1, 500.0, 1.0),
            class(3, 2000.0, 8.0),
            Class {
                idempotency: Idempotency::NonIdempotent,
                ..class(1, 800.0, 2.0)
            },
            Class {
                ordered_by_key: true,
                ..class_with_idempotency_key(DedupScope::Zone)
            },
            Class {
                allowed_zones: Some(vec![1]),
                ..class(2, 1000.0, 4.0)
            },
        ];
        let random_test_budget = Some(RetryBudget {
            free_retries: FREE_RETRIES,
            retries_per_request: RETRIES_PER_REQUEST,
            window_ms: RETRY_WINDOW_MS,
        });
        let bench = TestBench::new(
            Settings {
                retry_budget: random_test_budget,
                ..settings(classes.clone())
            },
            4,
        );
        let states = (0..4).map(|n| (engine(n), EngineState::Ready)).collect();
        let (requests, paused_until) = (BTreeMap::new(), BTreeMap::new());
        Checker {
            bench,
            classes,
            requests,
            states,
            paused_until,
            request_times_ms: VecDeque::new(),
            retry_times_ms: VecDeque::new(),
        }
    }

    /// Applies one event and checks the actions that follow. `next_id` is the id of the request if
    /// the event submits one.
    fn apply(&mut self, event: &RandomEvent, next_id: u32) {
        let actions = match *event {
            RandomEvent::SubmitRequest {
                class,
                key,
                timeout_ms,
                estimated_work_ms,
            } => self.submit_request(next_id, class, key, timeout_ms, estimated_work_ms),
            RandomEvent::EndAttempt {
                random_index,
                outcome_index,
            } => self.end_random_attempt(random_index, OUTCOMES[outcome_index]),
            RandomEvent::DisconnectClient { random_index } => {
                self.disconnect_random_client(random_index)
            }
            RandomEvent::UpdateList {
                number,
                state_index,
                is_restarted,
            } => self.change_list(number, state_index, is_restarted),
            RandomEvent::AdvanceTime { elapsed_ms } => self.advance_time(elapsed_ms),
        };
        self.check_actions(&actions);
    }

    fn submit_request(
        &mut self,
        id: u32,
        class: usize,
        key: u64,
        timeout_ms: f64,
        estimated_work_ms: f64,
    ) -> Vec<Action> {
        let tracked = TrackedRequest {
            class,
            key,
            deadline_ms: self.bench.now + timeout_ms,
            ..TrackedRequest::default()
        };
        self.requests.insert(id, tracked);
        self.request_times_ms.push_back(self.bench.now);
        self.bench
            .request_with(id, class, key, timeout_ms, Some(estimated_work_ms))
    }

    /// Ids of the requests that meet a condition.
    fn ids_where(&self, condition: impl Fn(&TrackedRequest) -> bool) -> Vec<u32> {
        self.requests
            .iter()
            .filter(|(_, request)| condition(request))
            .map(|(id, _)| *id)
            .collect()
    }

    fn end_random_attempt(&mut self, random_index: usize, outcome: Outcome) -> Vec<Action> {
        let in_flight = self.ids_where(|request| request.engine.is_some());
        if in_flight.is_empty() {
            return Vec::new();
        }
        self.end_attempt(in_flight[random_index % in_flight.len()], outcome)
    }

    fn disconnect_random_client(&mut self, random_index: usize) -> Vec<Action> {
        let open = self.ids_where(|request| !request.finished);
        if open.is_empty() {
            return Vec::new();
        }
        let id = open[random_index % open.len()];
        self.requests.get_mut(&id).unwrap().finished = true;
        self.bench.handle_event(Event::ClientDisconnected { id })
    }

    fn change_list(&mut self, number: u8, state_index: usize, is_restarted: bool) -> Vec<Action> {
        let states = [
            EngineState::Ready,
            EngineState::Draining,
            EngineState::Removed,
        ];
        self.states.insert(engine(number), states[state_index]);
        let started_at_ms = if is_restarted { self.bench.now } else { 0.0 };
        self.bench
            .update_list(vec![entry(number, states[state_index], started_at_ms)])
    }

    /// Advances the time in ticks of 5 ms. Checks the actions of each tick here and returns none.
    fn advance_time(&mut self, elapsed_ms: f64) -> Vec<Action> {
        let end_ms = self.bench.now + elapsed_ms;
        while self.bench.now < end_ms {
            let actions = self.bench.tick(5.0);
            self.check_actions(&actions);
            self.check_deadlines();
        }
        Vec::new()
    }

    /// Ends the attempt in flight of a request.
    fn end_attempt(&mut self, id: u32, outcome: Outcome) -> Vec<Action> {
        let now = self.bench.now;
        let request = self.requests.get_mut(&id).unwrap();
        let engine = request.engine.take().unwrap();
        if may_have_run(outcome) {
            let sent_at_ms = request.sent_at_ms;
            request
                .first_execution
                .get_or_insert(FirstExecution { engine, sent_at_ms });
        }
        let starts_pause = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if starts_pause && self.classes[request.class].ordered_by_key {
            self.paused_until.insert(request.key, now + KEY_PAUSE_MS);
        }
        request.finished |= outcome == Outcome::Ok;
        let ended = AttemptEnded {
            id,
            attempt: request.attempts - 1,
            engine,
            outcome,
            elapsed_ms: now - request.sent_at_ms,
            answered: request.finished,
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: LoadReport {
                inflight: Some(f64::NAN),
                cpu_busy: Some(-3.0),
                ..LoadReport::default()
            },
        };
        self.bench.handle_event(Event::AttemptEnded(ended))
    }

    /// Ends the attempts whose deadline has passed as timed out. A request that still waits must
    /// have been answered before.
    fn check_deadlines(&mut self) {
        let now = self.bench.now;
        for id in self.ids_where(|request| !request.finished && request.deadline_ms <= now) {
            assert!(
                self.requests[&id].engine.is_some(),
                "rule 1: {id} waits past its deadline"
            );
            let actions = self.end_attempt(id, Outcome::TimedOut);
            assert!(
                is_answered(&actions, id),
                "rule 1: {id} is not answered at its deadline"
            );
            self.check_actions(&actions);
        }
    }

    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { id, engine, .. } => self.check_attempt_start(*id, *engine),
                Action::Reject { id, .. } => {
                    self.check_rejection(*id);
                    self.check_answer(*id);
                }
                Action::Fail { id, .. } => self.check_answer(*id),
                _ => {}
            }
        }
    }

    fn check_answer(&mut self, id: u32) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("the request was submitted");
        assert!(!request.finished, "rule 1: {id} is answered twice");
        request.finished = true;
    }

    fn check_rejection(&self, id: u32) {
        let request = &self.requests[&id];
        let class = &self.classes[request.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        assert!(
            is_idempotent || request.first_execution.is_none(),
            "rule 2: {id} is rejected although it may have run"
        );
    }

    fn check_attempt_start(&mut self, id: u32, engine: EngineId) {
        let request = &self.requests[&id];
        assert!(!request.finished, "rule 1: {id} is sent after its end");
        assert!(
            request.engine.is_none(),
            "rule 2: {id} has two attempts in flight"
        );
        self.check_repeat(id, engine);
        assert_eq!(
            self.states[&engine],
            EngineState::Ready,
            "rule 3: {id} is sent to an engine that is not ready"
        );
        self.check_order(id);
        let class = &self.classes[self.requests[&id].class];
        let zone = engine.addr[3] % 2;
        let zones = class.allowed_zones.as_ref();
        assert!(
            zones.is_none_or(|zones| zones.contains(&zone)),
            "rule 6: {id} is sent to a zone that its class does not allow"
        );
        if self.requests[&id].attempts > 0 {
            self.check_retry_budget();
        }
        let now = self.bench.now;
        let request = self.requests.get_mut(&id).unwrap();
        request.attempts += 1;
        request.engine = Some(engine);
        request.sent_at_ms = now;
    }

    /// Rule 2: a request that may have run is repeated only where a repeat is harmless.
    fn check_repeat(&self, id: u32, engine: EngineId) {
        let request = &self.requests[&id];
        let class = &self.classes[request.class];
        let Some(first) = request.first_execution else {
            return;
        };
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::WithKey(_) => {
                assert!(
                    first.engine.addr[3] % 2 == engine.addr[3] % 2,
                    "rule 2: {id} leaves its dedup scope"
                );
                assert!(
                    self.bench.now <= first.sent_at_ms + class.dedup_window_ms,
                    "rule 2: {id} is past its dedup window"
                );
            }
            Idempotency::NonIdempotent => panic!("rule 2: {id} may run twice"),
        }
    }

    /// Rule 5: requests of one key run one at a time, in order, with a pause where an attempt may
    /// still run.
    fn check_order(&self, id: u32) {
        let request = &self.requests[&id];
        if !self.classes[request.class].ordered_by_key || request.key == 0 {
            return;
        }
        let is_same_key = |other: &TrackedRequest| {
            self.classes[other.class].ordered_by_key && other.key == request.key
        };
        let earlier: Vec<&TrackedRequest> = self
            .requests
            .range(..id)
            .map(|(_, other)| other)
            .filter(|other| is_same_key(other))
            .collect();
        let is_unfinished = |other: &&TrackedRequest| !other.finished || other.engine.is_some();
        assert!(
            !earlier.iter().any(is_unfinished),
            "rule 5: {id} is sent before an earlier request of its key has ended"
        );
        let paused_until = self.paused_until.get(&request.key);
        let is_paused = paused_until.is_some_and(|until| self.bench.now < *until);
        let other_ran = earlier.iter().any(|other| other.first_execution.is_some());
        assert!(
            !(request.attempts == 0 && is_paused && other_ran),
            "rule 5: {id} is sent while its key is paused"
        );
    }

    /// Rule 7: retries stay within their budget.
    fn check_retry_budget(&mut self) {
        let now = self.bench.now;
        self.retry_times_ms.push_back(now);
        let window_start_ms = now - RETRY_WINDOW_MS;
        let retries = self
            .retry_times_ms
            .iter()
            .filter(|time_ms| **time_ms > window_start_ms)
            .count() as f64;
        let requests = self
            .request_times_ms
            .iter()
            .filter(|time_ms| **time_ms > window_start_ms)
            .count() as f64;
        assert!(
            retries <= FREE_RETRIES + RETRIES_PER_REQUEST * requests,
            "rule 7: {retries} retries of {requests} requests"
        );
    }
}

#[test]
fn random_events_keep_the_rules() {
    let config = ProptestConfig {
        cases: 96,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let seed = proptest::test_runner::TestRng::deterministic_rng(
        proptest::test_runner::RngAlgorithm::ChaCha,
    );
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, seed);
    let request_count = std::cell::Cell::new(0usize);
    runner
        .run(&prop::collection::vec(random_event(), 1..250), |events| {
            let mut checker = Checker::new();
            for (id, event) in events.iter().enumerate() {
                checker.apply(event, id as u32);
            }
            let ids: BTreeSet<u32> = checker.requests.keys().copied().collect();
            request_count.set(request_count.get() + ids.len());
            Ok(())
        })
        .unwrap();
    assert!(
        request_count.get() > 1000,
        "the random events submit more than 1000 requests"
    );
}

/// Two processes of one manager share the manager's part of the budget of an engine in slow start.
/// Each sends no more than its own part, so both together send no more than one process alone.
#[test]
fn rule_4_peer_processes_share_the_slow_start_budget() {
    let sent_count_with = |divisor: f64| {
        let mut bench = TestBench::new(settings(vec![class(1, 600.0, 1.0)]), 0);
        bench.handle_event(Event::PeerProcesses {
            capacity_divisor: divisor,
        });
        bench.update_list(vec![entry(0, EngineState::Ready, bench.now)]);
        let requests = (0..200).map(|id| {
            (
                id,
                request_event(id, 0, bench.now + 9000.0, Some(200.0), None),
            )
        });
        requests
            .collect::<Vec<_>>()
            .into_iter()
            .filter(|(id, request)| sent_to(&bench.handle_event(request.clone()), *id).is_some())
            .count()
    };
    let (alone, old_process, new_process) = (
        sent_count_with(1.0),
        sent_count_with(4.0),
        sent_count_with(4.0 / 3.0),
    );
    assert!(
        old_process > 0 && old_process < new_process && old_process + new_process <= alone,
        "{old_process} and {new_process} requests sent by two processes, {alone} by one"
    );
}
