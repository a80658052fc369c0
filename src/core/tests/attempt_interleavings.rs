//! A property test of attempts. In every interleaving of the core, the engines' actors, their
//! connections and the engines, no engine receives an attempt of a request while another attempt of
//! it may be running, and a non-idempotent request runs only once. The core and the dispatcher are
//! the real ones. Connections and engines are a model, in which each connection uses the real
//! [`AttemptState`].

use super::*;
use crate::attempt::never_ran;
use crate::attempt::{AttemptEnd, AttemptState};
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

const ENGINES: u32 = 2;
/// Maximum number of connections to one engine.
const MAX_CONNECTIONS: usize = 2;
/// Size of each message in units of the model. A message may be written in parts of one unit.
const MESSAGE_UNITS: u64 = 2;

/// The request's id and the attempt's number.
type AttemptKey = (RequestId, u16);

/// A message to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Message {
    Attempt(AttemptKey),
    Cancellation(AttemptKey),
    /// Follows a cancellation. The engine's answer confirms that it has read the cancellation.
    Ping(AttemptKey),
}

/// An attempt as its connection keeps it.
struct Attempt {
    state: AttemptState,
    retry_may_follow: bool,
}

/// A connection, at the manager's side and at the engine's.
#[derive(Default)]
struct Connection {
    /// Queued messages, each with the write position at which it is completely written.
    queue: VecDeque<(u64, Message)>,
    /// Units queued since the connection was opened.
    queued: u64,
    /// Units written since the connection was opened.
    written: u64,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Messages that are written and not yet received by the engine.
    arrived: VecDeque<Message>,
    /// Attempts of this connection that the engine is running.
    running: BTreeSet<AttemptKey>,
    /// Answers that the actor has not received yet; `None` is the answer to a ping.
    answers: VecDeque<(AttemptKey, Option<Outcome>)>,
}

impl Connection {
    /// Queues a message. Returns the write position at which it is completely written.
    fn push(&mut self, message: Message) -> u64 {
        self.queued += MESSAGE_UNITS;
        self.queue.push_back((self.queued, message));
        self.queued
    }
}

/// A model of all engines, their connections, their actors' mailboxes, and the events that are
/// queued for the core.
#[derive(Default)]
struct EngineModel {
    /// Commands in the mailboxes: `None` starts the attempt; `Some` cancels it and contains whether
    /// a retry may follow.
    commands: VecDeque<(EngineId, AttemptKey, Option<bool>)>,
    connections: Vec<(EngineId, Connection)>,
    events: VecDeque<(EngineId, AttemptKey, AttemptEvent)>,
    /// Whether the next command is dropped because the mailbox is full.
    mailbox_is_full: bool,
    non_idempotent: BTreeSet<RequestId>,
    /// Requests that an engine has started to run, except those that provably never ran.
    ran: BTreeSet<RequestId>,
}

impl EngineModel {
    /// Removes an attempt from its connection and queues the event of its end for the core.
    fn report(&mut self, index: usize, key: AttemptKey, event: AttemptEvent) {
        let (engine, connection) = &mut self.connections[index];
        if connection.attempts.remove(&key).is_some() {
            self.events.push_back((*engine, key, event));
        }
    }

    /// Delivers the next command to a connection of its engine; `pick` chooses the connection of an
    /// attempt.
    fn deliver_command(&mut self, pick: usize) {
        let Some((engine, key, cancellation)) = self.commands.pop_front() else {
            return;
        };
        let Some(retry_may_follow) = cancellation else {
            let engine_connections: Vec<usize> = (0..self.connections.len())
                .filter(|index| self.connections[*index].0 == engine)
                .collect();
            // A choice past the existing connections opens a new one.
            let index = engine_connections
                .get(pick % (engine_connections.len() + 1).min(MAX_CONNECTIONS))
                .copied()
                .unwrap_or_else(|| {
                    self.connections.push((engine, Connection::default()));
                    self.connections.len() - 1
                });
            let connection = &mut self.connections[index].1;
            let mut state = AttemptState::default();
            state.begin_writing(connection.push(Message::Attempt(key)));
            connection.attempts.insert(
                key,
                Attempt {
                    state,
                    retry_may_follow: false,
                },
            );
            return;
        };
        for index in 0..self.connections.len() {
            let connection = &mut self.connections[index].1;
            let Some(mut attempt) = connection.attempts.remove(&key) else {
                continue;
            };
            let end = attempt.state.cancel(retry_may_follow, || {
                attempt.retry_may_follow = retry_may_follow;
                let end_position = connection.push(Message::Cancellation(key));
                if retry_may_follow {
                    connection.push(Message::Ping(key));
                }
                end_position
            });
            connection.attempts.insert(key, attempt);
            if let Some(end) = end {
                self.report(index, key, AttemptEvent::Cancelled(end));
            }
        }
    }

    /// Writes one unit of the connection's queue.
    fn flush(&mut self, index: usize) {
        let connection = &mut self.connections[index].1;
        connection.written = (connection.written + 1).min(connection.queued);
        while let Some((_, message)) = connection
            .queue
            .pop_front_if(|(end_position, _)| *end_position <= connection.written)
        {
            connection.arrived.push_back(message);
        }
        let written = connection.written;
        let ended = connection
            .attempts
            .iter_mut()
            .filter_map(|(key, attempt)| attempt.state.wrote(written).map(|end| (*key, end)));
        for (key, end) in ended.collect::<Vec<_>>() {
            self.report(index, key, AttemptEvent::Cancelled(end));
        }
    }

    /// Lets the engine receive one message.
    fn receive_message(&mut self, index: usize) {
        let Some(message) = self.connections[index].1.arrived.pop_front() else {
            return;
        };
        match message {
            Message::Attempt(key) => {
                let id = key.0;
                let runs_request = |connection: &Connection| {
                    connection.running.iter().any(|running| running.0 == id)
                };
                assert!(
                    !self
                        .connections
                        .iter()
                        .any(|(_, connection)| runs_request(connection)),
                    "request {id} has two attempts in flight"
                );
                assert!(
                    self.ran.insert(id) || !self.non_idempotent.contains(&id),
                    "request {id} ran twice"
                );
                self.connections[index].1.running.insert(key);
            }
            Message::Cancellation(key) => _ = self.connections[index].1.running.remove(&key),
            Message::Ping(key) => self.connections[index].1.answers.push_back((key, None)),
        }
    }

    /// Lets the engine end one attempt with this outcome.
    fn answer(&mut self, index: usize, outcome: Outcome) {
        let connection = &mut self.connections[index].1;
        let Some(key) = connection.running.pop_first() else {
            return;
        };
        if never_ran(outcome) {
            self.ran.remove(&key.0);
        }
        connection.answers.push_back((key, Some(outcome)));
    }

    /// Lets the actor receive one answer.
    fn receive_answer(&mut self, index: usize) {
        let connection = &mut self.connections[index].1;
        let Some((key, answer)) = connection.answers.pop_front() else {
            return;
        };
        let Some(attempt) = connection.attempts.get_mut(&key) else {
            return;
        };
        let cancelling = attempt.state.is_cancelling();
        let event = match answer {
            None => attempt
                .state
                .cancellation_confirmed()
                .map(AttemptEvent::Cancelled),
            Some(outcome) => {
                let end = attempt.state.answered(!never_ran(outcome));
                let body = (outcome == Outcome::Ok)
                    .then(|| ResultBody::complete(ResultFormat::Text, Vec::new()));
                let event = AttemptEvent::Ended {
                    outcome,
                    measured_work_ms: None,
                    measured_memory_mb: None,
                    body,
                };
                Some(if cancelling && outcome != Outcome::Ok {
                    AttemptEvent::Cancelled(end)
                } else {
                    event
                })
            }
        };
        if let Some(event) = event {
            self.report(index, key, event);
        }
    }

    /// Closes the connection, upon which the engine stops its attempts.
    fn close(&mut self, index: usize) {
        let (engine, mut connection) = self.connections.remove(index);
        for (key, mut attempt) in std::mem::take(&mut connection.attempts) {
            let cancelling = attempt.state.is_cancelling();
            let end = attempt.state.connection_closed(connection.written);
            let outcome = if end == AttemptEnd::NeverSent {
                Outcome::NoConnection
            } else {
                Outcome::Reset
            };
            let event = if cancelling {
                AttemptEvent::Cancelled(end)
            } else {
                AttemptEvent::end(outcome)
            };
            self.events.push_back((engine, key, event));
        }
    }
}

/// The engine port of the core, which passes commands to the model.
#[derive(Clone, Default)]
struct ModelPort(Arc<Mutex<EngineModel>>);

impl ModelPort {
    fn model(&self) -> MutexGuard<'_, EngineModel> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a command. Returns false if the mailbox is full.
    fn send(&self, engine: EngineId, key: AttemptKey, cancellation: Option<bool>) -> bool {
        let mut model = self.model();
        let is_full = std::mem::take(&mut model.mailbox_is_full);
        if !is_full {
            model.commands.push_back((engine, key, cancellation));
        }
        !is_full
    }
}

impl EnginePort for ModelPort {
    fn start_attempt(&mut self, engine: EngineId, request: AttemptRequest) -> bool {
        self.send(engine, (request.id, request.attempt), None)
    }
    fn cancel_attempt(
        &mut self,
        engine: EngineId,
        id: RequestId,
        attempt: u16,
        retry_may_follow: bool,
    ) {
        self.send(engine, (id, attempt), Some(retry_may_follow));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// The client of all requests, which counts the answers to each request.
#[derive(Default)]
struct AnswerLog(Mutex<BTreeMap<RequestId, u32>>);

impl ClientPort for AnswerLog {
    fn answer(&self, id: RequestId, _: Answer) {
        let mut answers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *answers.entry(id).or_default() += 1;
        assert_eq!(answers[&id], 1, "request {id} was answered twice");
    }
}

fn list_engine(core: &mut Core<ModelPort>, now: Millis, n: u32, state: EngineState) {
    let engine_records = vec![list_record(n, state)];
    core.handle(
        now,
        CoreMessage::EndpointList(EndpointListEvent {
            number: 0,
            kind: ListUpdateKind::Delta,
            records: engine_records,
            unusable_engines: Vec::new(),
        }),
    );
}

/// The core and the model of two engines, run step by step.
struct Simulation {
    core: Core<ModelPort>,
    port: ModelPort,
    answers: Arc<AnswerLog>,
    classes: Vec<Arc<NamedClass>>,
    settings: Settings,
    now: Millis,
    next_id: RequestId,
    disconnections: usize,
}

impl Simulation {
    fn new() -> Simulation {
        let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":8000,"giveUpMs":9000},
        {"name":"b","effect":"once","promiseMs":8000,"giveUpMs":9000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["s"],"specifics":{"sizeCores":[8],"progressMs":200}}"#;
        let parsed = settings_json::parse(text.as_bytes()).expect("settings");
        let limits = Arc::new(Limits::new(256, 32, true, &parsed));
        let port = ModelPort::default();
        let settings = parsed.settings.clone();
        let core = Core::new(parsed.settings, 7, port.clone(), limits, Arc::default());
        let mut simulation = Simulation {
            core: core.expect("core"),
            port,
            answers: Arc::default(),
            classes: parsed.classes,
            settings,
            now: 1000.0,
            next_id: 1,
            disconnections: 0,
        };
        simulation.core.start(simulation.now);
        for engine in 1..=ENGINES {
            list_engine(
                &mut simulation.core,
                simulation.now,
                engine,
                EngineState::Ready,
            );
        }
        simulation
    }

    /// Runs one step. `pick` chooses a variant of the step, and makes rare steps rarer: for most of
    /// its values a rare step delivers an event or a command instead.
    fn step(&mut self, step: u8, pick: u8) {
        let pick = usize::from(pick);
        let connections = self.port.model().connections.len();
        match step {
            0 if pick < 48 => self.submit_request(pick),
            1 if self.next_id > 1 && pick % 4 == 0 => {
                let id = 1 + pick as u32 % (self.next_id - 1);
                self.core
                    .handle(self.now, CoreMessage::ClientDisconnected(id));
                self.disconnections += 1;
            }
            2 if pick % 4 == 0 => {
                self.now += [20.0, 60.0, 300.0, 900.0][pick / 8 % 4];
                self.core.run_due_timers(self.now);
            }
            5 if pick % 4 == 0 => {
                let state = [EngineState::Draining, EngineState::Ready][pick / 8 % 2];
                list_engine(&mut self.core, self.now, 1 + pick as u32 % ENGINES, state);
            }
            6 => self.port.model().mailbox_is_full = pick % 4 == 0,
            19 if pick % 16 == 0 => self.set_manual_ejection(pick),
            20 if pick % 16 == 0 => self.change_max_attempts(pick),
            7..=17 if connections > 0 => self.connection_step(step, pick, pick % connections),
            18..=20 => self.port.model().deliver_command(pick),
            _ => self.deliver_event(),
        }
    }

    /// Runs one step of the connection at this index.
    fn connection_step(&mut self, step: u8, pick: usize, index: usize) {
        match step {
            7 if pick.is_multiple_of(32) => self.port.model().close(index),
            8 if pick.is_multiple_of(8) => {
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::NotSent,
                ];
                self.port.model().answer(index, outcomes[pick / 64 % 4]);
            }
            9..=12 => self.port.model().flush(index),
            13..=15 => self.port.model().receive_message(index),
            16..=17 => self.port.model().receive_answer(index),
            _ => self.deliver_event(),
        }
    }

    fn submit_request(&mut self, pick: usize) {
        let id = self.next_id;
        self.next_id += 1;
        if pick % 2 == 1 {
            self.port.model().non_idempotent.insert(id);
        }
        let deadline_ms = self.now + 2000.0 + 20.0 * pick as f64;
        let class = &self.classes[pick % 2];
        let request = accepted_request(id, class, deadline_ms, 30.0, self.answers.clone());
        self.core.handle(self.now, CoreMessage::Request(request));
    }

    fn set_manual_ejection(&mut self, pick: usize) {
        let (reply, _) = tokio::sync::oneshot::channel();
        let message = PriorityMessage::ManualEjection {
            engine: engine_id(1 + pick as u32 / 64 % ENGINES),
            ejected: pick & 16 == 0,
            at_ms: self.now,
            from_peer: true,
            reply,
        };
        self.core.handle_priority(self.now, message);
    }

    fn change_max_attempts(&mut self, pick: usize) {
        let settings = Settings {
            max_attempts: 1 + pick as u32 / 32 % 6,
            ..self.settings.clone()
        };
        let message = CoreMessage::Settings {
            settings: Some(Box::new(settings)),
            policy: Arc::default(),
        };
        self.core.handle(self.now, message);
    }

    /// Delivers the next event of an attempt to the core.
    fn deliver_event(&mut self) {
        let next = self.port.model().events.pop_front();
        if let Some((engine, (id, attempt), event)) = next {
            let message = attempt_message((engine, id, attempt), event);
            self.core.handle(self.now, message);
        }
    }

    /// Runs the timers for 20 seconds without further events. Then every request is answered or its
    /// client has disconnected, and the core keeps no state of requests.
    fn finish(mut self) {
        for _ in 0..400 {
            self.now += 50.0;
            self.core.run_due_timers(self.now);
        }
        let answers = &self.answers.0;
        let answered = answers.lock().unwrap_or_else(PoisonError::into_inner).len();
        let (disconnections, next_id) = (self.disconnections, self.next_id);
        assert!(
            answered + disconnections >= next_id as usize - 1
                && self.core.state_sizes().requests == 0,
            "{answered} answers and {disconnections} disconnections; the next request id is {next_id}"
        );
    }
}

/// The seed is fixed, so each run tests the same sequences of steps.
#[test]
fn no_interleaving_runs_two_attempts_of_a_request_at_once() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec((0..22u8, any::<u8>()), 200..3000);
    let result = runner.run(&steps, |steps| {
        let mut simulation = Simulation::new();
        for (step, pick) in steps {
            simulation.step(step, pick);
        }
        simulation.finish();
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}
