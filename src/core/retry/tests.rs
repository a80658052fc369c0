//! Tests of the operators' retry policy in the core: it denies further attempts that the dispatcher
//! would start.

use super::super::tests::attempt_message;
use super::super::*;
use crate::attempt::AttemptEnd;
use crate::decision::EngineEntry;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::log::capture::LogCapture;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::operator_config::text::{LogFormat, LogLevel};
use crate::operator_config::{self, PlatformConstraints};
use crate::settings_json::{self, NamedClass};
use bytes::Bytes;
use std::sync::Mutex;

/// Fake engines that accept every attempt and report nothing.
#[derive(Default)]
struct Engines {
    started: Vec<(EngineId, RequestId, u16)>,
    cancelled: Vec<(EngineId, RequestId, u16)>,
}

impl EnginePort for Engines {
    fn start_attempt(&mut self, engine: EngineId, request: AttemptRequest) -> bool {
        self.started.push((engine, request.id, request.attempt));
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        self.cancelled.push((engine, id, attempt));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A fake client that records its answers.
#[derive(Default)]
struct Client(Mutex<Vec<(RequestId, &'static str)>>);

impl ClientPort for Client {
    fn answer(&self, id: RequestId, answer: Answer) {
        let kind = match answer {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed(_) => "failed",
        };
        self.0.lock().expect("answers").push((id, kind));
    }
}

const SETTINGS: &str = r#"{"nInstances":1,"classes":[
    {"name":"seat-check","effect":"repeatable","promiseMs":9000,"giveUpMs":15000},
    {"name":"log-load","effect":"once","promiseMs":9000,"giveUpMs":15000}],
    "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
    "limits":{"attemptsCap":6,"cancel":true},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;

/// A core with fake engines and a fake client.
struct TestBench {
    core: Core<Engines>,
    metrics: Arc<Metrics>,
    client: Arc<Client>,
    classes: Vec<Arc<NamedClass>>,
    constraints: PlatformConstraints,
}

/// The policy of this operators' file.
fn policy(constraints: &PlatformConstraints, text: &str) -> Arc<Policy> {
    let (_, policy) = operator_config::parse_and_check(text, Some(constraints))
        .unwrap_or_else(|errors| panic!("{errors:?}"));
    Arc::new(policy.expect("a policy"))
}

impl TestBench {
    /// Creates a core with two ready engines and the retry policy of this operators' file.
    fn new(text: &str) -> TestBench {
        let parsed = settings_json::parse(SETTINGS.as_bytes()).expect("settings");
        let constraints = PlatformConstraints::from_settings(&parsed);
        let limits = Arc::new(Limits::new(256, 32, false, &parsed));
        let metrics: Arc<Metrics> = Arc::default();
        let core = Core::new(
            parsed.settings,
            7,
            Engines::default(),
            limits,
            metrics.clone(),
        )
        .expect("core");
        let mut core = core.with_policy(policy(&constraints, text));
        let engine_records = [1, 2]
            .map(|n| {
                let entry = EngineEntry {
                    engine: engine_id(n),
                    state: EngineState::Ready,
                    nominal_capacity: 8.0,
                    ..EngineEntry::default()
                };
                EngineRecord {
                    entry,
                    address: ([127, 0, 0, 1], n as u16).into(),
                }
            })
            .to_vec();
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
            metrics,
            client: Arc::default(),
            classes: parsed.classes,
            constraints,
        }
    }

    fn submit(&mut self, now: Millis, id: RequestId, class: usize) {
        let request = AcceptedRequest {
            id,
            client_reference: format!("{id:016x}").into(),
            class: self.classes[class].clone(),
            deadline_ms: now + 15_000.0,
            estimated_work_ms: Some(50.0),
            estimated_memory_mb: None,
            data_set: 0,
            member: Bytes::new(),
            frontend: crate::retry_policy::FrontendKind::Platform,
            idempotency_key: None,
            order_key: None,
            statement: Bytes::from_static(b"select 1"),
            statement_kind: StatementKind::Query,
            client: self.client.clone(),
        };
        self.core.handle(now, CoreMessage::Request(request));
    }

    /// Ends the attempt that was started last with this outcome.
    fn end_last_attempt(&mut self, now: Millis, outcome: Outcome) {
        let (engine, id, attempt) = *self.core.engines.started.last().expect("an attempt");
        let event = AttemptEvent::end(outcome);
        self.core
            .handle(now, attempt_message((engine, id, attempt), event));
    }

    fn attempts_started(&self) -> usize {
        self.core.engines.started.len()
    }

    fn answers(&self) -> Vec<(RequestId, &'static str)> {
        self.client.0.lock().expect("answers").clone()
    }
}

#[test]
fn a_request_is_answered_at_once_when_its_policy_allows_no_further_attempt() {
    let mut bench = TestBench::new("version = 1\n[attempts.default]\nmax_attempts = 1\n");
    bench.submit(0.0, 1, 0);
    assert_eq!(bench.attempts_started(), 1);
    bench.end_last_attempt(10.0, Outcome::Error);
    // The dispatcher applies the request's own attempt limit and starts no further attempt.
    assert_eq!(
        (bench.attempts_started(), bench.answers()),
        (1, vec![(1, "rejected")])
    );
    assert_eq!(bench.core.open_requests(), 0);
}

#[test]
fn a_retry_follows_only_the_outcomes_that_the_policy_allows() {
    let mut bench = TestBench::new("version = 1\n[attempts.default]\nretry_on = [\"full\"]\n");
    bench.submit(0.0, 1, 0);
    bench.end_last_attempt(10.0, Outcome::Rejected);
    assert_eq!(
        bench.attempts_started(),
        2,
        "a retry may follow the outcome full"
    );
    bench.end_last_attempt(20.0, Outcome::Error);
    assert_eq!(
        (bench.attempts_started(), bench.answers().len()),
        (2, 1),
        "no retry may follow an error, and the request ends"
    );
}

#[test]
fn backoff_delays_retries_except_on_another_engine_after_an_attempt_that_never_ran() {
    let mut bench = TestBench::new(
        "version = 1\n[attempts.default]\nbackoff = { base_ms = 100, max_ms = 100 }\n",
    );
    bench.submit(0.0, 1, 0);
    bench.end_last_attempt(10.0, Outcome::Reset);
    assert_eq!(
        (
            bench.attempts_started(),
            bench.metrics.retries_delayed_by_backoff.get()
        ),
        (1, 1),
        "an attempt that was reset may have loaded the engine"
    );
    bench.core.run_due_timers(109.0);
    assert_eq!(bench.attempts_started(), 1);
    bench.core.run_due_timers(110.0);
    assert_eq!(bench.attempts_started(), 2, "the backoff is over");
    let first_engine = bench.core.engines.started[1].0;
    bench.end_last_attempt(120.0, Outcome::Rejected);
    let (second_engine, _, _) = *bench.core.engines.started.last().expect("an attempt");
    // A rejected attempt never ran, so its retry starts at once on another engine. On the same
    // engine it waits for the backoff.
    let was_delayed = bench.metrics.retries_delayed_by_backoff.get() == 2;
    assert_eq!(
        was_delayed,
        second_engine == first_engine && bench.attempts_started() == 2,
        "{first_engine} {second_engine} {}",
        bench.attempts_started()
    );
}

#[test]
fn an_exhausted_retry_budget_answers_requests_at_once() {
    let text = "version = 1\n[attempts.default]\nbudget = { ratio = 0.0, min_per_s = 0.1, window_s = 10 }\n";
    let mut bench = TestBench::new(text);
    bench.submit(0.0, 1, 0);
    bench.end_last_attempt(10.0, Outcome::Error);
    assert_eq!(bench.attempts_started(), 2, "one retry in ten seconds");
    bench.submit(20.0, 2, 0);
    bench.end_last_attempt(30.0, Outcome::Error);
    assert_eq!(
        (
            bench.attempts_started(),
            bench.metrics.retries_denied_by_budget.get()
        ),
        (3, 1)
    );
    assert_eq!(
        bench.answers(),
        [(2, "rejected")],
        "the denied request is answered at once"
    );
}

#[test]
fn an_attempt_that_exceeds_its_timeout_is_cancelled_and_retried() {
    let mut bench = TestBench::new("version = 1\n[attempts.default]\nattempt_timeout_ms = 500\n");
    bench.submit(0.0, 1, 0);
    bench.core.run_due_timers(499.0);
    assert!(bench.core.engines.cancelled.is_empty());
    bench.core.run_due_timers(500.0);
    assert_eq!(
        (
            bench.core.engines.cancelled.len(),
            bench.metrics.attempt_timeouts.get()
        ),
        (1, 1)
    );
    assert_eq!(
        bench.attempts_started(),
        1,
        "no retry before the end of the attempt is confirmed"
    );
    let (engine, id, attempt) = bench.core.engines.cancelled[0];
    let event = AttemptEvent::Cancelled(AttemptEnd::Cancelled);
    bench
        .core
        .handle(510.0, attempt_message((engine, id, attempt), event));
    assert_eq!(bench.attempts_started(), 2);
}

#[test]
fn a_deadline_during_backoff_leaves_no_state() {
    let text = "version = 1\n[attempts.default]\nmax_attempts = 2\nbackoff = { base_ms = 10000, max_ms = 10000 }\n";
    let mut bench = TestBench::new(text);
    bench.submit(0.0, 1, 0);
    bench.end_last_attempt(6000.0, Outcome::Reset);
    assert_eq!(bench.metrics.retries_delayed_by_backoff.get(), 1);
    bench.core.run_due_timers(15_000.0);
    assert_eq!(bench.answers(), [(1, "failed")]);
    bench.core.run_due_timers(30_000.0);
    assert_eq!(
        bench.attempts_started(),
        1,
        "the delayed attempt is dropped with its request"
    );
    assert_eq!(
        (
            bench.core.state_sizes().requests,
            bench.core.state_sizes().dispatcher[0]
        ),
        (0, 0),
        "neither the core nor the dispatcher keeps state of the request"
    );
}

#[test]
fn a_settings_reload_lowers_the_attempt_limit_of_open_requests() {
    let mut bench = TestBench::new("version = 1\n[attempts.default]\nmax_attempts = 5\n");
    bench.submit(0.0, 1, 0);
    let lowered_policy = policy(
        &bench.constraints,
        "version = 1\n[attempts.default]\nmax_attempts = 1\n",
    );
    bench.core.handle(
        5.0,
        CoreMessage::Settings {
            settings: None,
            policy: lowered_policy,
        },
    );
    bench.end_last_attempt(10.0, Outcome::Rejected);
    assert_eq!((bench.attempts_started(), bench.answers().len()), (1, 1));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_retried() {
    // No operators' file can express this policy: a retry may follow every outcome, for every
    // class.
    let default_policy = crate::retry_policy::AttemptPolicy {
        retry_on: Some(crate::retry_policy::OutcomeSet::all()),
        ..Default::default()
    };
    let class = |name: &str| crate::retry_policy::ClassPolicy {
        name: name.to_owned(),
        non_idempotent: false,
        own_policy: None,
    };
    let classes = vec![class("seat-check"), class("log-load")];
    let policy = Policy::new(default_policy, classes, Vec::new(), Vec::new()).expect("policy");
    let mut bench = TestBench::new("version = 1\n");
    bench.core.handle(
        0.0,
        CoreMessage::Settings {
            settings: None,
            policy: Arc::new(policy),
        },
    );
    bench.submit(0.0, 1, 1);
    bench.end_last_attempt(10.0, Outcome::Reset);
    assert_eq!(
        (bench.attempts_started(), bench.answers()),
        (1, vec![(1, "failed")])
    );
    // A request that was rejected before it ran may be retried.
    bench.submit(20.0, 2, 1);
    bench.end_last_attempt(30.0, Outcome::Rejected);
    assert_eq!(bench.attempts_started(), 3);
}

#[test]
fn an_attempt_that_no_retry_may_follow_is_not_cancelled_for_a_retry() {
    let mut bench =
        TestBench::new("version = 1\n[attempts.default]\nretry_on = [\"full\", \"error\"]\n");
    bench.submit(0.0, 1, 0);
    bench.core.cancel_attempt(10.0, 1, 0);
    assert_eq!(
        (
            bench.core.engines.cancelled.len(),
            bench.metrics.cancellations_denied_by_policy.get()
        ),
        (0, 1)
    );
    let mut bench = TestBench::new("version = 1\n");
    bench.submit(0.0, 1, 0);
    bench.core.cancel_attempt(10.0, 1, 0);
    assert_eq!(
        bench.core.engines.cancelled.len(),
        1,
        "without a policy the attempt is cancelled"
    );
}

#[test]
fn each_retry_decision_is_logged_at_debug_and_not_at_info() {
    let log_at = |level| {
        let log = LogCapture::new(level, LogFormat::Json);
        let mut bench = TestBench::new(
            "version = 1\n[attempts.default]\nmax_attempts = 2\nretry_on = [\"full\"]\n",
        );
        bench.submit(0.0, 1, 0);
        bench.end_last_attempt(10.0, Outcome::Rejected);
        bench.end_last_attempt(20.0, Outcome::Error);
        log
    };
    let log = log_at(LogLevel::Info);
    assert_eq!(log.text(), "", "nothing is logged at the default level");
    drop(log);
    let log = log_at(LogLevel::Debug);
    let count = |message: &str| log.events(message).len();
    assert_eq!(
        (
            count("request admitted"),
            count("attempt sent"),
            count("attempt ended"),
            count("request answered")
        ),
        (1, 2, 2, 1),
        "{}",
        log.text()
    );
    let admitted = &log.events("request admitted")[0];
    assert_eq!(
        (admitted["class"].as_str(), admitted["ref"].as_str()),
        (Some("seat-check"), Some("0000000000000001"))
    );
    let sent = log.events("attempt sent");
    assert_eq!(
        (sent[0]["after"].as_str(), sent[1]["after"].as_str()),
        (Some("None"), Some("Some(Rejected)")),
        "the event of a retry contains the outcome that it follows"
    );
    let rejected = log.events("dispatcher rejects a request");
    assert_eq!(rejected.len(), 1, "{}", log.text());
    assert_eq!(rejected[0]["reason"], "NoRetryAllowed");
}
