//! A property test: whatever the order in which the core, engines' actors, their connections and the engines get
//! their turns, no engine has an attempt of a request while another one may be running, and what may run once only
//! runs once. Connections are modelled round the real [`Life`]; the core and the module are the real ones.

use super::*;
use crate::attempt::never_ran;
use crate::attempt::{AttemptEnd, AttemptState};
use crate::decision::EngineId;
use crate::decision::EngineState;
use crate::decision::ListUpdateKind;
use crate::decision::LoadReport;
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

const ENGINES: u32 = 2;
/// Connections to one engine at most.
const CONNS: usize = 2;
/// Bytes of an attempt and of a cancellation, in the model's unit: each may leave in parts.
const PARTS: u64 = 2;

type Key = (RequestId, u16);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Sent {
    Ask(Key),
    Quit(Key),
    Noop(Key),
}

struct Attempt {
    life: AttemptState,
    again: bool,
}

/// A connection and the engine's side of it.
#[derive(Default)]
struct Conn {
    /// What is queued, with the mark at which it has left whole.
    queue: VecDeque<(u64, Sent)>,
    queued: u64,
    written: u64,
    attempts: BTreeMap<Key, Attempt>,
    /// What has left and is not read.
    unread: VecDeque<Sent>,
    /// What the engine runs of it.
    running: BTreeSet<Key>,
    /// What the engine has answered and the actor has not read.
    said: VecDeque<(Key, Option<Outcome>)>,
}

impl Conn {
    fn push(&mut self, what: Sent) -> u64 {
        self.queued += PARTS;
        self.queue.push_back((self.queued, what));
        self.queued
    }
}

/// All engines, their actors' mailboxes and what is on its way to the core.
#[derive(Default)]
struct World {
    orders: VecDeque<(EngineId, Key, Option<bool>)>,
    conns: Vec<(EngineId, Conn)>,
    news: VecDeque<(EngineId, Key, AttemptEvent)>,
    /// Orders that found their mailbox full.
    dropped: bool,
    once: BTreeSet<RequestId>,
    /// Requests that an engine has begun to run, once or more.
    ran: BTreeSet<RequestId>,
}

impl World {
    fn ends(&mut self, at: usize, key: Key, news: AttemptEvent) {
        let (engine, conn) = &mut self.conns[at];
        if conn.attempts.remove(&key).is_some() {
            self.news.push_back((*engine, key, news));
        }
    }

    /// The next order reaches the connection that it is for.
    fn order(&mut self, pick: usize) {
        let Some((engine, key, quit)) = self.orders.pop_front() else {
            return;
        };
        let Some(again) = quit else {
            let mine: Vec<usize> = (0..self.conns.len())
                .filter(|i| self.conns[*i].0 == engine)
                .collect();
            // A new connection now and then.
            let at = mine
                .get(pick % (mine.len() + 1).min(CONNS))
                .copied()
                .unwrap_or_else(|| {
                    self.conns.push((engine, Conn::default()));
                    self.conns.len() - 1
                });
            let conn = &mut self.conns[at].1;
            let mut life = AttemptState::default();
            life.begin_writing(conn.push(Sent::Ask(key)));
            conn.attempts.insert(key, Attempt { life, again: false });
            return;
        };
        for at in 0..self.conns.len() {
            let conn = &mut self.conns[at].1;
            let Some(mut attempt) = conn.attempts.remove(&key) else {
                continue;
            };
            let end = attempt.life.cancel(again, || {
                attempt.again = again;
                let mark = conn.push(Sent::Quit(key));
                if again {
                    conn.push(Sent::Noop(key));
                }
                mark
            });
            conn.attempts.insert(key, attempt);
            if let Some(end) = end {
                self.ends(at, key, AttemptEvent::Cancelled(end));
            }
        }
    }

    /// A part of what is queued leaves.
    fn flush(&mut self, at: usize) {
        let conn = &mut self.conns[at].1;
        conn.written = (conn.written + 1).min(conn.queued);
        while let Some((_, what)) = conn.queue.pop_front_if(|(mark, _)| *mark <= conn.written) {
            conn.unread.push_back(what);
        }
        let written = conn.written;
        let left = conn
            .attempts
            .iter_mut()
            .filter_map(|(key, a)| a.life.wrote(written).map(|end| (*key, end)));
        for (key, end) in left.collect::<Vec<_>>() {
            self.ends(at, key, AttemptEvent::Cancelled(end));
        }
    }

    /// The engine reads one thing that it was sent.
    fn read(&mut self, at: usize) {
        let Some(what) = self.conns[at].1.unread.pop_front() else {
            return;
        };
        match what {
            Sent::Ask(key) => {
                let id = key.0;
                let other = |c: &Conn| c.running.iter().any(|k| k.0 == id);
                assert!(
                    !self.conns.iter().any(|(_, c)| other(c)),
                    "{id} has two attempts out"
                );
                assert!(
                    self.ran.insert(id) || !self.once.contains(&id),
                    "{id} ran twice"
                );
                self.conns[at].1.running.insert(key);
            }
            Sent::Quit(key) => _ = self.conns[at].1.running.remove(&key),
            Sent::Noop(key) => self.conns[at].1.said.push_back((key, None)),
        }
    }

    /// The engine ends something that it runs.
    fn answer(&mut self, at: usize, outcome: Outcome) {
        let conn = &mut self.conns[at].1;
        let Some(key) = conn.running.pop_first() else {
            return;
        };
        if never_ran(outcome) {
            self.ran.remove(&key.0);
        }
        conn.said.push_back((key, Some(outcome)));
    }

    /// The actor reads one answer.
    fn hear(&mut self, at: usize) {
        let conn = &mut self.conns[at].1;
        let Some((key, said)) = conn.said.pop_front() else {
            return;
        };
        let Some(attempt) = conn.attempts.get_mut(&key) else {
            return;
        };
        let given_up = attempt.life.is_cancelling();
        let told = match said {
            None => attempt
                .life
                .cancellation_confirmed()
                .map(AttemptEvent::Cancelled),
            Some(outcome) => {
                let end = attempt.life.answered(!never_ran(outcome));
                let body = (outcome == Outcome::Ok)
                    .then(|| ResultBody::complete(ResultFormat::Text, Vec::new()));
                let news = AttemptEvent::Ended {
                    outcome,
                    measured_work_ms: None,
                    measured_memory_mb: None,
                    body,
                };
                Some(if given_up && outcome != Outcome::Ok {
                    AttemptEvent::Cancelled(end)
                } else {
                    news
                })
            }
        };
        if let Some(told) = told {
            self.ends(at, key, told);
        }
    }

    /// The connection breaks, and the engine gives up what is open on it.
    fn close(&mut self, at: usize) {
        let (engine, mut conn) = self.conns.remove(at);
        for (key, mut attempt) in std::mem::take(&mut conn.attempts) {
            let given_up = attempt.life.is_cancelling();
            let end = attempt.life.connection_closed(conn.written);
            let outcome = if end == AttemptEnd::NeverSent {
                Outcome::NoConnection
            } else {
                Outcome::Reset
            };
            let news = if given_up {
                AttemptEvent::Cancelled(end)
            } else {
                AttemptEvent::end(outcome)
            };
            self.news.push_back((engine, key, news));
        }
    }
}

#[derive(Clone, Default)]
struct Port(Arc<Mutex<World>>);

impl Port {
    fn world(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn give(&self, engine: EngineId, key: Key, quit: Option<bool>) -> bool {
        let mut world = self.world();
        let full = std::mem::take(&mut world.dropped);
        if !full {
            world.orders.push_back((engine, key, quit));
        }
        !full
    }
}

impl EnginePort for Port {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        self.give(engine, (ask.id, ask.attempt), None)
    }
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool) {
        self.give(engine, (id, attempt), Some(again));
    }
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, _: &EngineRecord) {}
    fn engine_removed(&mut self, _: EngineId) {}
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

#[derive(Default)]
struct Told(Mutex<BTreeMap<RequestId, u32>>);

impl ClientPort for Told {
    fn answer(&self, id: RequestId, _: Answer) {
        let mut told = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *told.entry(id).or_default() += 1;
        assert_eq!(told[&id], 1, "{id} was answered twice");
    }
}

fn ready(core: &mut Core<Port>, now: Millis, n: u32, state: EngineState) {
    let entries = vec![listed(n, state)];
    core.handle(
        now,
        CoreMessage::EndpointList(EndpointListEvent {
            number: 0,
            kind: ListUpdateKind::Delta,
            records: entries,
            unusable_engines: Vec::new(),
        }),
    );
}

/// Plays one order of turns; each step is what gets its turn, and a choice within that.
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn play(steps: &[(u8, u8)]) {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":8000,"giveUpMs":9000},
        {"name":"b","effect":"once","promiseMs":8000,"giveUpMs":9000}],
        "guarantees":{"coldMs":1000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3},
        "limits":{"attemptsCap":6,"cancel":true},"shapes":["s"],"specifics":{"sizeCores":[8],"progressMs":200}}"#;
    let parsed = settings_json::parse(text.as_bytes()).expect("settings");
    let limits = Arc::new(Limits::new(256, 32, true, &parsed));
    let metrics = Arc::<Metrics>::default();
    let (port, told, classes) = (Port::default(), Arc::<Told>::default(), parsed.classes);
    let usual = parsed.settings.clone();
    let mut core =
        Core::new(parsed.settings, 7, port.clone(), limits, metrics.clone()).expect("core");
    let (mut now, mut next) = (1000.0, 1);
    core.start(now);
    (1..=ENGINES).for_each(|n| ready(&mut core, now, n, EngineState::Ready));
    let mut left = 0;
    for (what, pick) in steps.iter().copied() {
        let (pick, conns) = (usize::from(pick), port.world().conns.len());
        let at = if conns > 0 { pick % conns } else { 0 };
        match what {
            0 if pick < 48 => {
                if pick % 2 == 1 {
                    port.world().once.insert(next);
                }
                let due = now + 2000.0 + 20.0 * pick as f64;
                let one = taken(next, &classes[pick % 2], due, 30.0, told.clone());
                next += 1;
                core.handle(now, CoreMessage::Request(one));
            }
            1 if next > 1 && pick % 4 == 0 => {
                core.handle(
                    now,
                    CoreMessage::ClientDisconnected(1 + pick as u32 % (next - 1)),
                );
                left += 1;
            }
            2 if pick % 4 == 0 => {
                now += [20.0, 60.0, 300.0, 900.0][pick / 8 % 4];
                core.run_due_timers(now);
            }
            5 if pick % 4 == 0 => ready(
                &mut core,
                now,
                1 + pick as u32 % ENGINES,
                [EngineState::Draining, EngineState::Ready][pick / 8 % 2],
            ),
            6 => port.world().dropped = pick % 4 == 0,
            19 if pick % 16 == 0 => {
                let (done, _) = tokio::sync::oneshot::channel();
                let (engine, out) = (engine_id(1 + pick as u32 / 64 % ENGINES), pick & 16 == 0);
                core.handle_priority(
                    now,
                    PriorityMessage::ManualEjection {
                        engine,
                        ejected: out,
                        at_ms: now,
                        from_peer: true,
                        done,
                    },
                );
            }
            20 if pick % 16 == 0 => {
                let attempts_cap = 1 + pick as u32 / 32 % 6;
                let settings = Some(Box::new(Settings {
                    max_attempts: attempts_cap,
                    ..usual.clone()
                }));
                core.handle(
                    now,
                    CoreMessage::Settings {
                        settings,
                        policy: Arc::default(),
                    },
                );
            }
            7 if conns > 0 && pick % 32 == 0 => port.world().close(at),
            8 if conns > 0 && pick % 8 == 0 => {
                let all = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::NotSent,
                ];
                port.world().answer(at, all[pick / 64 % 4]);
            }
            9..=12 if conns > 0 => port.world().flush(at),
            13..=15 if conns > 0 => port.world().read(at),
            16..=17 if conns > 0 => port.world().hear(at),
            18..=20 => port.world().order(pick),
            _ => {
                let news = port.world().news.pop_front();
                if let Some((engine, (id, attempt), news)) = news {
                    let report = LoadReport::default();
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
            }
        }
    }
    // In the end each has its answer, though nothing is proven any more.
    for _ in 0..400 {
        now += 50.0;
        core.run_due_timers(now);
    }
    let answered = told.0.lock().unwrap_or_else(PoisonError::into_inner).len();
    assert!(
        answered + left >= next as usize - 1 && core.state_sizes().requests == 0,
        "{answered} and {left} of {next}"
    );
}

/// The same orders at every run.
#[test]
fn no_two_attempts_at_once() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec((0..22u8, any::<u8>()), 200..3000);
    let kept = runner.run(&steps, |steps| {
        play(&steps);
        Ok(())
    });
    kept.unwrap_or_else(|e| panic!("{e}"));
}
