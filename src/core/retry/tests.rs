//! Tests of the operators' policy in the core: each guard is seen to hold against a module that would do more.

use super::super::*;
use crate::attempt::AttemptEnd;
use crate::decision::EngineEntry;
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::decision::LoadReport;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::operator_config::{self, PlatformConstraints};
use crate::settings_json::{self, NamedClass};
use bytes::Bytes;
use std::sync::Mutex;

/// Engines that take every attempt and say nothing of themselves.
#[derive(Default)]
struct Engines {
    asked: Vec<(EngineId, RequestId, u16)>,
    quits: Vec<(EngineId, RequestId, u16)>,
}

impl EnginePort for Engines {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        self.asked.push((engine, ask.id, ask.attempt));
        true
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, _: bool) {
        self.quits.push((engine, id, attempt));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A client that writes its answers down, with the time of the core's clock when they came.
#[derive(Default)]
struct Client(Mutex<Vec<(RequestId, &'static str)>>);

impl ClientPort for Client {
    fn answer(&self, id: RequestId, answer: Answer) {
        let kind = match answer {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "refused",
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

struct TestBench {
    core: Core<Engines>,
    metrics: Arc<Metrics>,
    client: Arc<Client>,
    classes: Vec<Arc<NamedClass>>,
    known: PlatformConstraints,
}

fn policy(known: &PlatformConstraints, text: &str) -> Arc<Policy> {
    let (_, policy) = operator_config::parse_and_check(text, Some(known))
        .unwrap_or_else(|faults| panic!("{faults:?}"));
    Arc::new(policy.expect("a policy"))
}

impl TestBench {
    /// A core with two ready engines and this file.
    fn new(text: &str) -> TestBench {
        let parsed = settings_json::parse(SETTINGS.as_bytes()).expect("settings");
        let known = PlatformConstraints::from_settings(&parsed);
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
        let mut core = core.with_policy(policy(&known, text));
        let entries = [1, 2]
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
                records: entries,
                unusable_engines: Vec::new(),
            }),
        );
        TestBench {
            core,
            metrics,
            client: Arc::default(),
            classes: parsed.classes,
            known,
        }
    }

    fn take(&mut self, now: Millis, id: RequestId, class: usize) {
        let taken = AcceptedRequest {
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
        self.core.handle(now, CoreMessage::Request(taken));
    }

    /// The last attempt asked of an engine ends so.
    fn ends(&mut self, now: Millis, outcome: Outcome) {
        let (engine, id, attempt) = *self.core.engines.asked.last().expect("an attempt");
        let news = AttemptEvent::end(outcome);
        self.core.handle(
            now,
            CoreMessage::Attempt {
                engine,
                id,
                attempt,
                load_report: LoadReport::default(),
                event: news,
            },
        );
    }

    fn asked(&self) -> usize {
        self.core.engines.asked.len()
    }

    fn answers(&self) -> Vec<(RequestId, &'static str)> {
        self.client.0.lock().expect("answers").clone()
    }
}

#[test]
fn no_attempt_beyond_the_policy_and_the_answer_at_once() {
    let mut rig = TestBench::new("version = 1\n[attempts.default]\nmax_attempts = 1\n");
    rig.take(0.0, 1, 0);
    assert_eq!(rig.asked(), 1);
    rig.ends(10.0, Outcome::Error);
    // The module reads the request's own number and sends nothing more.
    assert_eq!((rig.asked(), rig.answers()), (1, vec![(1, "refused")]));
    assert_eq!(rig.core.open_requests(), 0);
}

#[test]
fn only_after_the_ends_that_the_policy_names() {
    let mut rig = TestBench::new("version = 1\n[attempts.default]\nretry_on = [\"full\"]\n");
    rig.take(0.0, 1, 0);
    rig.ends(10.0, Outcome::Rejected);
    assert_eq!(rig.asked(), 2, "full may be followed");
    rig.ends(20.0, Outcome::Error);
    assert_eq!(
        (rig.asked(), rig.answers().len()),
        (2, 1),
        "an error may not, and the request ends"
    );
}

#[test]
fn a_back_off_delays_what_may_have_run_and_not_what_never_did_elsewhere() {
    let mut rig = TestBench::new(
        "version = 1\n[attempts.default]\nbackoff = { base_ms = 100, max_ms = 100 }\n",
    );
    rig.take(0.0, 1, 0);
    rig.ends(10.0, Outcome::Reset);
    assert_eq!(
        (rig.asked(), rig.metrics.retries_delayed_by_backoff.get()),
        (1, 1),
        "a reset may have loaded the engine"
    );
    rig.core.run_due_timers(109.0);
    assert_eq!(rig.asked(), 1);
    rig.core.run_due_timers(110.0);
    assert_eq!(rig.asked(), 2, "the wait is over");
    let first = rig.core.engines.asked[1].0;
    rig.ends(120.0, Outcome::Rejected);
    let (second, _, _) = *rig.core.engines.asked.last().expect("sent");
    // Full never ran: on another engine it goes at once; on the same one it waits.
    let waited = rig.metrics.retries_delayed_by_backoff.get() == 2;
    assert_eq!(
        waited,
        second == first && rig.asked() == 2,
        "{first} {second} {}",
        rig.asked()
    );
}

#[test]
fn a_budget_that_is_spent_ends_requests_at_once() {
    let text = "version = 1\n[attempts.default]\nbudget = { ratio = 0.0, min_per_s = 0.1, window_s = 10 }\n";
    let mut rig = TestBench::new(text);
    rig.take(0.0, 1, 0);
    rig.ends(10.0, Outcome::Error);
    assert_eq!(rig.asked(), 2, "one further attempt in ten seconds");
    rig.take(20.0, 2, 0);
    rig.ends(30.0, Outcome::Error);
    assert_eq!(
        (rig.asked(), rig.metrics.retries_denied_by_budget.get()),
        (3, 1)
    );
    assert_eq!(rig.answers(), [(2, "refused")], "held is answered at once");
}

#[test]
fn an_attempt_has_its_time_and_then_another_goes() {
    let mut rig = TestBench::new("version = 1\n[attempts.default]\nattempt_timeout_ms = 500\n");
    rig.take(0.0, 1, 0);
    rig.core.run_due_timers(499.0);
    assert!(rig.core.engines.quits.is_empty());
    rig.core.run_due_timers(500.0);
    assert_eq!(
        (
            rig.core.engines.quits.len(),
            rig.metrics.attempt_timeouts.get()
        ),
        (1, 1)
    );
    assert_eq!(rig.asked(), 1, "nothing before the end is proven");
    let (engine, id, attempt) = rig.core.engines.quits[0];
    let news = AttemptEvent::Cancelled(AttemptEnd::Cancelled);
    rig.core.handle(
        510.0,
        CoreMessage::Attempt {
            engine,
            id,
            attempt,
            load_report: LoadReport::default(),
            event: news,
        },
    );
    assert_eq!(rig.asked(), 2);
}

#[test]
fn the_deadline_in_a_back_off_leaves_nothing_behind() {
    let text = "version = 1\n[attempts.default]\nmax_attempts = 2\nbackoff = { base_ms = 10000, max_ms = 10000 }\n";
    let mut rig = TestBench::new(text);
    rig.take(0.0, 1, 0);
    rig.ends(6000.0, Outcome::Reset);
    assert_eq!(rig.metrics.retries_delayed_by_backoff.get(), 1);
    rig.core.run_due_timers(15_000.0);
    assert_eq!(rig.answers(), [(1, "failed")]);
    rig.core.run_due_timers(30_000.0);
    assert_eq!(rig.asked(), 1, "the waiting attempt died with its request");
    assert_eq!(
        (
            rig.core.state_sizes().requests,
            rig.core.state_sizes().dispatcher[0]
        ),
        (0, 0),
        "neither the core nor the module holds it"
    );
}

#[test]
fn a_reload_lowers_the_attempts_of_what_is_open() {
    let mut rig = TestBench::new("version = 1\n[attempts.default]\nmax_attempts = 5\n");
    rig.take(0.0, 1, 0);
    let lower = policy(
        &rig.known,
        "version = 1\n[attempts.default]\nmax_attempts = 1\n",
    );
    rig.core.handle(
        5.0,
        CoreMessage::Settings {
            settings: None,
            policy: lower,
        },
    );
    rig.ends(10.0, Outcome::Rejected);
    assert_eq!((rig.asked(), rig.answers().len()), (1, 1));
}

#[test]
fn what_may_run_once_and_may_have_run_is_not_sent_again_whatever_the_policy() {
    // Built by hand, as no file can say this: every end may be followed, for every class.
    let keys = crate::retry_policy::AttemptPolicy {
        retry_on: Some(crate::retry_policy::OutcomeSet::all()),
        ..Default::default()
    };
    let class = |name: &str| crate::retry_policy::ClassPolicy {
        name: name.to_owned(),
        not_idempotent: false,
        own: None,
    };
    let classes = vec![class("seat-check"), class("log-load")];
    let policy = Policy::new(keys, classes, Vec::new(), Vec::new()).expect("policy");
    let mut rig = TestBench::new("version = 1\n");
    rig.core.handle(
        0.0,
        CoreMessage::Settings {
            settings: None,
            policy: Arc::new(policy),
        },
    );
    rig.take(0.0, 1, 1);
    rig.ends(10.0, Outcome::Reset);
    assert_eq!((rig.asked(), rig.answers()), (1, vec![(1, "failed")]));
    // One that was refused before it ran may go again.
    rig.take(20.0, 2, 1);
    rig.ends(30.0, Outcome::Rejected);
    assert_eq!(rig.asked(), 3);
}

#[test]
fn a_call_off_that_nothing_may_follow_is_not_carried_out() {
    let mut rig =
        TestBench::new("version = 1\n[attempts.default]\nretry_on = [\"full\", \"error\"]\n");
    rig.take(0.0, 1, 0);
    rig.core.cancel_attempt(10.0, 1, 0);
    assert_eq!(
        (
            rig.core.engines.quits.len(),
            rig.metrics.cancellations_denied_by_policy.get()
        ),
        (0, 1)
    );
    let mut rig = TestBench::new("version = 1\n");
    rig.take(0.0, 1, 0);
    rig.core.cancel_attempt(10.0, 1, 0);
    assert_eq!(rig.core.engines.quits.len(), 1, "without the file it is");
}

/// A writer of log lines into a shared buffer.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_decision_is_a_line_with_its_fields_at_debug_and_none_at_the_usual_level() {
    let lines = Lines::default();
    // Guard: while there is one subscriber only, what other tests' threads meet first is switched off for all.
    let _second = tracing::Dispatch::new(
        tracing_subscriber::fmt()
            .with_writer(std::io::sink)
            .finish(),
    );
    let play = |level| {
        let writer = lines.clone();
        let json = tracing_subscriber::fmt()
            .json()
            .with_writer(move || writer.clone());
        let subscriber = json.with_max_level(level).finish();
        tracing::subscriber::with_default(subscriber, || {
            let mut rig = TestBench::new(
                "version = 1\n[attempts.default]\nmax_attempts = 2\nretry_on = [\"full\"]\n",
            );
            rig.take(0.0, 1, 0);
            rig.ends(10.0, Outcome::Rejected);
            rig.ends(20.0, Outcome::Error);
        })
    };
    play(tracing::Level::INFO);
    assert!(
        lines.0.lock().expect("lines").is_empty(),
        "nothing at the usual level"
    );
    play(tracing::Level::DEBUG);
    let text = String::from_utf8(lines.0.lock().expect("lines").clone()).expect("text");
    let events: Vec<serde_json::Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect();
    let said = |what: &str| {
        events
            .iter()
            .filter(|e| e["fields"]["message"] == what)
            .count()
    };
    assert_eq!(
        (
            said("request admitted"),
            said("attempt sent"),
            said("attempt ended"),
            said("request answered")
        ),
        (1, 2, 2, 1),
        "{text}"
    );
    let taken = events
        .iter()
        .find(|e| e["fields"]["message"] == "request admitted")
        .expect("admitted");
    assert_eq!(
        (
            taken["fields"]["class"].as_str(),
            taken["fields"]["ref"].as_str()
        ),
        (Some("seat-check"), Some("0000000000000001"))
    );
}
