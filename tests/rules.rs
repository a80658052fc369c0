//! The seven rules, each switched on by settings alone, and a property test over random events.

mod common;
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use workload_manager::*;

fn keyed(scope: DedupScope) -> Class {
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
    let mut answer = false;
    while bench.now < 1890.0 {
        answer |= answered(&bench.tick(10.0), 1);
    }
    assert!(answer, "no engine: ended before the deadline");
    assert!(!answered(&bench.tick(500.0), 1), "and once only");
}

#[test]
fn rule_1_request_of_a_disconnected_client_is_not_sent() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 0);
    bench.request(1, 0, 0);
    bench.event(Event::ClientDisconnected { id: 1 });
    assert_eq!(
        sent(&bench.list(vec![entry(0, EngineState::Ready, 0.0)]), 1),
        None
    );
}

#[test]
fn rule_2_non_idempotent_request_that_may_have_run_fails() {
    let once = Class {
        idempotency: Idempotency::NonIdempotent,
        ..class(1, 1000.0, 1.0)
    };
    let mut bench = TestBench::new(settings(vec![once]), 3);
    let at = sent(&bench.request(1, 0, 0), 1).unwrap();
    let again = bench.ended(1, 0, at, Outcome::NoConnection);
    let at = sent(&again, 1).expect("never ran: another attempt");
    assert!(
        bench
            .ended(1, 1, at, Outcome::Reset)
            .contains(&Action::Fail { id: 1 })
    );
}

/// An attempt for which the host had no connection slot counts against neither the cap nor the budget. The next goes at
/// once to an engine where a query holds a connection, and not to engines that cannot be reached.
#[test]
fn attempt_without_connection_slot_does_not_count() {
    let extra = Some(RetryBudget {
        free_retries: 0.0,
        retries_per_request: 0.0,
        window_ms: 1000.0,
    });
    let limits = Settings {
        max_attempts: 1,
        retry_budget: extra,
        ..settings(vec![class(1, 1000.0, 1.0)])
    };
    let mut bench = TestBench::new(limits, 9);
    let held = sent(&bench.request(1, 0, 0), 1).expect("an engine");
    let bare = sent(&bench.request(2, 0, 0), 2).expect("an engine");
    assert_ne!(held, bare);
    for number in 0..3 {
        let at = if number == 0 { bare } else { held };
        let again = bench.ended(2, number, at, Outcome::NoConnectionSlot);
        if number == 0 {
            assert_eq!(sent(&again, 2), Some(held), "the one that is reached");
        } else {
            assert!(
                !answered(&again, 2) && all_sent(&again).is_empty(),
                "not the same again at once"
            );
            assert_eq!(
                sent(&bench.tick(50.0), 2).is_some(),
                number == 1,
                "later any of them"
            );
            break;
        }
    }
    // Where nothing is out there is no descriptor for a tick, and then the request goes all the same.
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 3);
    let at = sent(&bench.request(1, 0, 0), 1).expect("an engine");
    let none = bench.ended(1, 0, at, Outcome::NoConnectionSlot);
    assert!(!answered(&none, 1) && all_sent(&none).is_empty());
    assert!(sent(&bench.tick(60.0), 1).is_some());
}

#[test]
fn rule_2_keyed_retry_stays_in_its_dedup_scope_and_window() {
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        let mut bench = TestBench::new(settings(vec![keyed(scope)]), 6);
        let first = sent(&bench.request(1, 0, 0), 1).unwrap();
        bench.now += 100.0;
        let second = sent(&bench.ended(1, 0, first, Outcome::Error), 1).expect("repeat");
        let group = |e: EngineId| {
            if scope == DedupScope::Zone {
                e.addr[3] % 2
            } else {
                e.addr[3] % 3
            }
        };
        assert_eq!(group(first), group(second));
        bench.now += 1000.0;
        let late = bench.ended(1, 1, second, Outcome::Error);
        assert!(
            late.contains(&Action::Fail { id: 1 }),
            "span over; a refusal would promise too much"
        );
    }
}

#[test]
fn rule_3_draining_or_unlisted_engine_gets_nothing() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 2);
    bench.list(vec![entry(0, EngineState::Draining, 0.0)]);
    for id in 1..6 {
        assert_eq!(sent(&bench.request(id, 0, 0), id), Some(engine(1)));
    }
    bench.event(Event::EndpointList {
        kind: ListUpdateKind::Full,
        entries: vec![entry(0, EngineState::Ready, 0.0)],
    });
    assert_eq!(sent(&bench.request(9, 0, 0), 9), Some(engine(0)));
}

#[test]
fn rule_4_cold_engine_gets_less_than_its_budget() {
    let mut bench = TestBench::new(settings(vec![class(1, 400.0, 1.0)]), 0);
    bench.list(vec![entry(0, EngineState::Ready, bench.now)]);
    let mut work = 0.0;
    for id in 0..200 {
        bench.now += 5.0;
        let actions = bench.request_with(id, 0, 0, 3000.0, Some(200.0));
        for id in all_sent(&actions) {
            work += 200.0;
            bench.ended_after(id, 0, engine(0), Outcome::Ok, 5.0);
        }
    }
    // Multiple x share x cores x window: what would tip it over.
    assert!(
        work > 400.0 && work < 2.0 * 0.3 * 8.0 * 1000.0,
        "sent {work}"
    );
}

#[test]
fn rule_5_requests_of_one_key_run_in_order_with_a_pause() {
    let ordered = Class {
        ordered_by_key: true,
        ..keyed(DedupScope::All)
    };
    let mut bench = TestBench::new(settings(vec![ordered]), 3);
    let at = sent(&bench.request(1, 0, 9), 1).unwrap();
    assert_eq!(sent(&bench.request(2, 0, 9), 2), None);
    assert!(
        sent(&bench.request(3, 0, 8), 3).is_some(),
        "another key steps past"
    );
    bench.event(Event::ClientDisconnected { id: 1 });
    assert_eq!(sent(&bench.tick(10.0), 2), None, "its attempt is still out");
    assert_eq!(sent(&bench.ended(1, 0, at, Outcome::TimedOut), 2), None);
    assert_eq!(sent(&bench.tick(250.0), 2), None, "the key rests");
    assert!(sent(&bench.tick(60.0), 2).is_some());
}

/// Keys come from clients, so one is held only while it has requests or a pause.
#[test]
fn rule_5_key_is_forgotten_after_its_pause() {
    let ordered = Class {
        ordered_by_key: true,
        ..keyed(DedupScope::All)
    };
    let mut bench = TestBench::new(settings(vec![ordered]), 3);
    for id in 1..=100 {
        let at = sent(&bench.request(id, 0, u64::from(id)), id).unwrap();
        bench.event(Event::ClientDisconnected { id });
        bench.ended(id, 0, at, Outcome::Reset);
    }
    assert_eq!(bench.dispatcher.state_sizes()[2], 100, "all of them rest");
    bench.tick(400.0);
    assert_eq!(bench.dispatcher.state_sizes()[2], 0);
}

#[test]
fn rule_6_bound_class_waits_for_its_engines() {
    let bound = Class {
        allowed_zones: Some(vec![1]),
        allowed_machine_types: Some(vec![0]),
        ..class(1, 1000.0, 1.0)
    };
    let mut bench = TestBench::new(settings(vec![bound, class(1, 1000.0, 1.0)]), 1);
    assert_eq!(sent(&bench.request(1, 0, 0), 1), None);
    assert!(
        sent(&bench.request(2, 1, 0), 2).is_some(),
        "others step past"
    );
    assert_eq!(
        sent(&bench.list(vec![entry(1, EngineState::Ready, 0.0)]), 1),
        Some(engine(1))
    );
}

#[test]
fn rule_7_retries_stay_within_their_budget() {
    let extra = Some(RetryBudget {
        free_retries: 2.0,
        retries_per_request: 0.1,
        window_ms: 5000.0,
    });
    let mut bench = TestBench::new(
        Settings {
            retry_budget: extra,
            ..settings(vec![class(1, 1000.0, 1.0)])
        },
        4,
    );
    let mut sends = 0;
    for id in 0..10 {
        let asked = bench.request(id, 0, 0);
        let at = sent(&asked, id).unwrap();
        sends += all_sent(&asked).len() + all_sent(&bench.ended(id, 0, at, Outcome::Error)).len();
    }
    assert_eq!(sends, 13, "two free and a tenth of ten");
}

/// What the random test knows of one request.
#[derive(Default)]
struct TrackedRequest {
    class: usize,
    key: u64,
    due: f64,
    attempts: u16,
    out: Option<EngineId>,
    over: bool,
    first_ran: Option<(EngineId, f64)>,
    sent_at: f64,
}

#[derive(Clone, Debug)]
enum RandomEvent {
    Ask {
        class: usize,
        key: u64,
        left: f64,
        cost: f64,
    },
    End {
        pick: usize,
        outcome: usize,
    },
    Leave {
        pick: usize,
    },
    List {
        n: u8,
        state: usize,
        fresh: bool,
    },
    Wait {
        ms: f64,
    },
}

fn random_event() -> impl Strategy<Value = RandomEvent> {
    prop_oneof![
        4 => (0usize..5, 0u64..3, 200.0..4000.0, prop_oneof![Just(f64::NAN), Just(-1.0), 10.0..5000.0])
            .prop_map(|(class, key, left, cost)| RandomEvent::Ask { class, key, left, cost }),
        4 => (any::<usize>(), 0usize..8).prop_map(|(pick, outcome)| RandomEvent::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| RandomEvent::Leave { pick }),
        1 => (0u8..5, 0usize..3, any::<bool>()).prop_map(|(n, state, fresh)| RandomEvent::List { n, state, fresh }),
        3 => (1.0..120.0).prop_map(|ms| RandomEvent::Wait { ms }),
    ]
}

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

fn may_have_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
    )
}

/// Plays random events against a dispatcher and checks the rules at every action.
struct Checker {
    bench: TestBench,
    classes: Vec<Class>,
    requests: BTreeMap<u32, TrackedRequest>,
    states: BTreeMap<EngineId, EngineState>,
    paused_until: BTreeMap<u64, f64>,
    accepted_at: VecDeque<f64>,
    retried_at: VecDeque<f64>,
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
                ..keyed(DedupScope::Zone)
            },
            Class {
                allowed_zones: Some(vec![1]),
                ..class(2, 1000.0, 4.0)
            },
        ];
        let extra = Some(RetryBudget {
            free_retries: 3.0,
            retries_per_request: 0.3,
            window_ms: 3000.0,
        });
        let bench = TestBench::new(
            Settings {
                retry_budget: extra,
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
            accepted_at: VecDeque::new(),
            retried_at: VecDeque::new(),
        }
    }

    /// Plays one event; `next_id` is the id of a request that comes with it.
    fn play(&mut self, event: &RandomEvent, next_id: u32) {
        let actions = match *event {
            RandomEvent::Ask {
                class,
                key,
                left,
                cost,
            } => self.ask(next_id, class, key, left, cost),
            RandomEvent::End { pick, outcome } => self.end_one(pick, OUTCOMES[outcome]),
            RandomEvent::Leave { pick } => self.disconnect_one(pick),
            RandomEvent::List { n, state, fresh } => self.change_list(n, state, fresh),
            RandomEvent::Wait { ms } => self.wait(ms),
        };
        self.check(&actions);
    }

    fn ask(&mut self, id: u32, class: usize, key: u64, left: f64, cost: f64) -> Vec<Action> {
        let due = self.bench.now + left;
        let tracked = TrackedRequest {
            class,
            key,
            due,
            ..TrackedRequest::default()
        };
        self.requests.insert(id, tracked);
        self.accepted_at.push_back(self.bench.now);
        self.bench.request_with(id, class, key, left, Some(cost))
    }

    /// Ids of the requests that meet a condition.
    fn ids(&self, condition: impl Fn(&TrackedRequest) -> bool) -> Vec<u32> {
        self.requests
            .iter()
            .filter(|(_, request)| condition(request))
            .map(|(id, _)| *id)
            .collect()
    }

    fn end_one(&mut self, pick: usize, outcome: Outcome) -> Vec<Action> {
        let in_flight = self.ids(|request| request.out.is_some());
        if in_flight.is_empty() {
            return Vec::new();
        }
        self.end(in_flight[pick % in_flight.len()], outcome)
    }

    fn disconnect_one(&mut self, pick: usize) -> Vec<Action> {
        let open = self.ids(|request| !request.over);
        if open.is_empty() {
            return Vec::new();
        }
        let id = open[pick % open.len()];
        self.requests.get_mut(&id).unwrap().over = true;
        self.bench.event(Event::ClientDisconnected { id })
    }

    fn change_list(&mut self, n: u8, state: usize, fresh: bool) -> Vec<Action> {
        let states = [
            EngineState::Ready,
            EngineState::Draining,
            EngineState::Removed,
        ];
        self.states.insert(engine(n), states[state]);
        let started_at_ms = if fresh { self.bench.now } else { 0.0 };
        self.bench
            .list(vec![entry(n, states[state], started_at_ms)])
    }

    /// Lets time pass; the actions of its ticks are checked here.
    fn wait(&mut self, ms: f64) -> Vec<Action> {
        let until = self.bench.now + ms;
        while self.bench.now < until {
            let actions = self.bench.tick(5.0);
            self.check(&actions);
            self.deadlines();
        }
        Vec::new()
    }

    fn end(&mut self, id: u32, outcome: Outcome) -> Vec<Action> {
        let now = self.bench.now;
        let s = self.requests.get_mut(&id).unwrap();
        let at = s.out.take().unwrap();
        if may_have_run(outcome) {
            let first = (at, s.sent_at);
            s.first_ran.get_or_insert(first);
        }
        let pauses = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if pauses && self.classes[s.class].ordered_by_key {
            self.paused_until.insert(s.key, now + 300.0);
        }
        let (attempt, finished) = (s.attempts - 1, s.over || outcome == Outcome::Ok);
        s.over |= finished;
        let report = LoadReport {
            inflight: Some(f64::NAN),
            cpu_busy: Some(-3.0),
            ..LoadReport::default()
        };
        let (took_ms, billed_ms) = (now - s.sent_at, None);
        self.bench.event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            engine: at,
            outcome,
            elapsed_ms: took_ms,
            answered: finished,
            measured_work_ms: billed_ms,
            measured_memory_mb: None,
            load_report: report,
        }))
    }

    /// At its deadline an attempt times out; a waiting request must have been answered by then.
    fn deadlines(&mut self) {
        let now = self.bench.now;
        let due: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, s)| !s.over && s.due <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            assert!(
                self.requests[&id].out.is_some(),
                "rule 1: {id} waits past its deadline"
            );
            let actions = self.end(id, Outcome::TimedOut);
            assert!(
                answered(&actions, id),
                "rule 1: {id} is not answered at its deadline"
            );
            self.check(&actions);
        }
    }

    fn check(&mut self, actions: &[Action]) {
        let now = self.bench.now;
        for action in actions {
            match action {
                Action::StartAttempt { id, engine, .. } => self.check_send(*id, *engine, now),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let s = self.requests.get_mut(id).expect("known");
                    assert!(!s.over, "rule 1: {id} is answered twice");
                    s.over = true;
                    let refused = matches!(action, Action::Reject { .. });
                    let harmless =
                        matches!(self.classes[s.class].idempotency, Idempotency::Idempotent);
                    assert!(
                        !refused || harmless || s.first_ran.is_none(),
                        "rule 2: {id} refused"
                    );
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, id: u32, at: EngineId, now: f64) {
        let s = &self.requests[&id];
        let c = &self.classes[s.class];
        assert!(!s.over, "rule 1: {id} is sent after its end");
        assert!(s.out.is_none(), "rule 2: {id} is out twice");
        if let Some((first, sent)) = s.first_ran {
            match c.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::WithKey(_) => {
                    assert!(
                        first.addr[3] % 2 == at.addr[3] % 2,
                        "rule 2: {id} leaves its group"
                    );
                    assert!(
                        now <= sent + c.dedup_window_ms,
                        "rule 2: {id} is past its span"
                    );
                }
                Idempotency::NonIdempotent => panic!("rule 2: {id} may run twice"),
            }
        }
        assert_eq!(
            self.states[&at],
            EngineState::Ready,
            "rule 3: {id} to an engine that drains"
        );
        if c.ordered_by_key && s.key != 0 {
            let same = |o: &TrackedRequest| self.classes[o.class].ordered_by_key && o.key == s.key;
            let earlier = self
                .requests
                .range(..id)
                .any(|(_, o)| same(o) && (!o.over || o.out.is_some()));
            assert!(!earlier, "rule 5: {id} overtakes");
            let rests = s.attempts == 0 && self.paused_until.get(&s.key).is_some_and(|r| now < *r);
            let other = self
                .requests
                .range(..id)
                .any(|(_, o)| same(o) && o.first_ran.is_some());
            assert!(!(rests && other), "rule 5: {id} while its key rests");
        }
        assert!(
            c.allowed_zones
                .as_ref()
                .is_none_or(|z| z.contains(&(at.addr[3] % 2))),
            "rule 6: {id}"
        );
        let s = self.requests.get_mut(&id).unwrap();
        if s.attempts > 0 {
            self.retried_at.push_back(now);
            let from = now - 3000.0;
            let spent = self.retried_at.iter().filter(|t| **t > from).count() as f64;
            let taken = self.accepted_at.iter().filter(|t| **t > from).count() as f64;
            assert!(
                spent <= 3.0 + 0.3 * taken,
                "rule 7: {spent} further attempts of {taken}"
            );
        }
        (s.attempts, s.out, s.sent_at) = (s.attempts + 1, Some(at), now);
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
    let sends = std::cell::Cell::new(0usize);
    runner
        .run(&prop::collection::vec(random_event(), 1..250), |events| {
            let mut checker = Checker::new();
            for (id, event) in events.iter().enumerate() {
                checker.play(event, id as u32);
            }
            let ids: BTreeSet<u32> = checker.requests.keys().copied().collect();
            sends.set(sends.get() + ids.len());
            Ok(())
        })
        .unwrap();
    assert!(sends.get() > 1000, "the test drove real traffic");
}

/// Two processes of one manager share its part of a cold engine's budget: neither sends more than its own part.
#[test]
fn rule_4_peer_processes_share_the_slow_start_budget() {
    let sends = |parts: f64| {
        let mut bench = TestBench::new(settings(vec![class(1, 600.0, 1.0)]), 0);
        bench.event(Event::PeerProcesses {
            capacity_divisor: parts,
        });
        bench.list(vec![entry(0, EngineState::Ready, bench.now)]);
        let ids = (0..200).map(|id| (id, query(id, 0, bench.now + 9000.0, Some(200.0), None)));
        ids.collect::<Vec<_>>()
            .into_iter()
            .filter(|(id, q)| sent(&bench.event(q.clone()), *id).is_some())
            .count()
    };
    let (alone, old, new) = (sends(1.0), sends(4.0), sends(4.0 / 3.0));
    assert!(
        old > 0 && old < new && old + new <= alone,
        "{old} and {new} of {alone}"
    );
}
