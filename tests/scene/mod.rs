//! The scenario language of the tests: one line a step, `WHO VERB ...` with the verbs send, expect, close and
//! wait, played against a whole workload manager with stand-in clients, engines and control feed on loopback.
//!
//! - `c1`, `c2` are clients of the platform, `f1`, `f2` Flight SQL clients: `c1 send 7 log-load allow=900`,
//!   `c1 send cancel 7`, `c1 send health 8`, `c1 send raw HEX`, `c1 expect 7 served TEXT`, `c1 expect 7 ERROR`,
//!   `c1 expect closed`, `c1 close`, `c1 send end` (it ends its side and reads on).
//! - `x1` is one that finds the Flight SQL front in the platform's place: `x1 expect closed`.
//! - `e` are the engines together; a request is named by its client and number, `c1.7`, and the step goes to the
//!   engine that has it: `e expect ASK c1.7`, `e send c1.7 served batches=2 TEXT`, `e expect QUIT c1.7`,
//!   `e expect none ASK c1.7`, `e close c1.7` (its connection breaks), `e1 close` (it refuses connections), `e1 hold`
//!   (further connections to it do not come up), `e1 release` (they do).
//! - `feed expect 1` (a connection that has event 1), `feed send draining e1`, `feed send raw HEX`, `feed close`.
//! - `s` asks the SNMP agent; `$` stands for the project's objects: `s send get $.1.0`, `s send next $`,
//!   `s send bulk 0 3 $`, `s send get@other $.1.0` (another community), `s expect $.1.0=2`.
//! - `o1`, `o2` are callers at the operations address, one call each: `o1 send READY`, `o1 send part REA`,
//!   `o1 expect 200`, `o1 expect lines node.loads=0`, `o1 close` (the next `o1` is a new one).
//! - `n close` asks the workload manager to stop, `n expect closed` waits until it has.
//! - `n send settings CHANGE ...` gives it a configuration with other settings; see `changed`.
//! - `n send moved` gives it a configuration with the feed at another address, `n send {` one that says `{`.
//! - `wait requests_accepted=3` waits until a counter has that value.
//!
//! Nothing waits for a time: every step waits for its event, and fails once none has come for long. Whatever the
//! script, the scene itself keeps watch on the rules: one answer a request, one attempt out at a time, nothing
//! that may run once sent again after it may have run, nothing new to what drains, nothing begun for who has left.

pub(crate) mod engines;
mod flight;
mod operations;
pub(crate) mod platform;
pub(crate) mod process;
mod snmp;

use engines::Fleet;
use serde_json::Value;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workload_manager::node::Node;
use workload_manager::node_config::{
    EngineProtocol, FlightFrontConfig, NodeConfig, OptionalFronts, SnmpAgentConfig,
};
use workload_manager::operator_config::{self, OperatorConfig, PlatformConstraints};

/// A planned end is over by then: the platform kills the process 3.7 s after SIGTERM, and a busy machine may be late.
const KILLED: Duration = Duration::from_secs(7);

/// No step takes this long unless it fails.
const LONG: Duration = Duration::from_secs(20);

pub(crate) async fn soon<T>(what: &str, event: impl Future<Output = T>) -> T {
    tokio::time::timeout(LONG, event)
        .await
        .unwrap_or_else(|_| panic!("no {what}"))
}

/// Settings with the classes of the exchange, as a first message has them.
fn settings() -> String {
    let class = |name: &str, effect: &str, promise: u32| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","promiseMs":{promise},"aimStretch":3.0,"giveUpMs":15000,
                "points":1,"lateWorth":0.5,"memorySpanMs":5000,"dedupScope":"all",
                "fifoByKey":false}}"#
        )
    };
    let classes = [
        class("seat-check", "repeatable", 5000),
        class("usage-report", "repeatable", 9000),
    ];
    let classes = format!(
        "{},{},{}",
        classes[0],
        classes[1],
        class("log-load", "once", 9000)
    );
    format!(
        r#"{{"nInstances":1,"ordinal":0,"classes":[{classes}],"discovery":"push","zones":["hall-a"],"shapes":["std-8c"],
        "tenants":[{{"name":"member-north","quotaPerS":28}}],"report":{{"how":"inline","names":["rif"]}},
        "guarantees":{{"coldMs":15000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3,
        "orderPauseMs":300}},"limits":{{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":1000,"connectTimeoutMs":250,
        "connIdleMs":15000,"streamsPerConn":100,"maxOpen":200}},
        "specifics":{{"classThreads":[1,3,2],"sizeCores":[8],"bills":true,"progressMs":500,"takesGrants":true}}}}"#
    )
}

/// The text of a configuration.
pub(crate) fn configuration(feed: std::net::SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":64,"memory_mb":32}},
        "feed":"{feed}","known":{{"n":1,"events":[{known}]}},"settings":{}}}"#,
        settings()
    )
}

/// A configuration with changes: `-NAME` without a class, `+NAME` with one more that may run once only, `NAME=VALUE`
/// with this value wherever the name stands, `!NAME` without that key, `cut` short or `empty`.
pub(crate) fn changed(text: &str, changes: &[&str]) -> String {
    fn each(value: &mut Value, key: &str, change: &dyn Fn(&mut serde_json::Map<String, Value>)) {
        match value {
            Value::Object(map) => {
                map.values_mut().for_each(|value| each(value, key, change));
                if map.contains_key(key) {
                    change(map);
                }
            }
            Value::Array(all) => all.iter_mut().for_each(|value| each(value, key, change)),
            _ => {}
        }
    }
    let mut value: Value = serde_json::from_str(text).expect("configuration");
    for change in changes {
        let classes = value["settings"]["classes"]
            .as_array_mut()
            .expect("classes");
        if let Some(name) = change.strip_prefix('-') {
            classes.retain(|class| class["name"] != name);
        } else if let Some(name) = change.strip_prefix('+') {
            let mut class = classes[0].clone();
            (class["name"], class["effect"]) = (name.into(), "once".into());
            classes.insert(0, class);
        } else if let Some(key) = change.strip_prefix('!') {
            each(&mut value, key, &|map| drop(map.remove(key)));
        } else if let Some((key, new)) = change.split_once('=') {
            let new: Value = serde_json::from_str(new).expect("value");
            each(&mut value, key, &|map| {
                drop(map.insert(key.to_owned(), new.clone()))
            });
        }
    }
    let text = value.to_string();
    match changes {
        ["cut"] => text[..text.len() / 2].to_owned(),
        ["empty"] => String::new(),
        _ => text,
    }
}

/// The whole scene.
pub(crate) struct Scene {
    node: Arc<Node>,
    ended: bool,
    /// Its end, once it was asked to stop, and when that was.
    ending: Option<(tokio::task::JoinHandle<()>, Instant)>,
    metrics: Arc<workload_manager::metrics::Metrics>,
    listen: (std::net::SocketAddr, Option<std::net::SocketAddr>),
    fleet: Fleet,
    clients: HashMap<String, platform::Client>,
    flights: HashMap<String, flight::Client>,
    manager: snmp::Manager,
    ops: std::net::SocketAddr,
    callers: HashMap<String, operations::Caller>,
}

/// An operators' file that sets nothing.
pub(crate) const OPERATORS: &str = "version = 1\n";

/// What a scene begins with.
pub(crate) struct Stage<'a> {
    pub engines: usize,
    pub speech: EngineProtocol,
    /// Changes to the settings; see `changed`.
    pub changes: &'a [&'a str],
    /// The operators' file.
    pub operators: &'a str,
}

/// Plays a script with so many engines that speak lines, or Flight SQL.
pub(crate) fn play(engines: usize, speech: EngineProtocol, script: &str) {
    play_on(
        &Stage {
            engines,
            speech,
            changes: &[],
            operators: OPERATORS,
        },
        script,
    );
}

/// Plays a script on this stage.
pub(crate) fn play_on(stage: &Stage<'_>, script: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let mut scene = Scene::new(stage).await;
        for step in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
            scene.step(step).await;
        }
        scene.step("n close").await;
        scene.step("n expect closed").await;
        scene.fleet.finish();
    });
}

impl Scene {
    async fn new(stage: &Stage<'_>) -> Scene {
        let speech = stage.speech;
        let fleet = Fleet::new(stage.engines, speech).await;
        let text = changed(
            &configuration(fleet.feed.address, &fleet.known()),
            stage.changes,
        );
        let config = NodeConfig::parse(text.as_bytes()).expect("configuration");
        let front = FlightFrontConfig {
            listen: "127.0.0.1:0".to_owned(),
            engines: speech,
        };
        let agent = SnmpAgentConfig {
            listen: "127.0.0.1:0".to_owned(),
            community: "public".to_owned(),
        };
        let fronts = OptionalFronts {
            flight: Some(front),
            snmp: Some(agent),
        };
        let judged = operator_config::parse_and_check(
            stage.operators,
            Some(&PlatformConstraints::from_settings(&config.settings)),
        );
        let policy = Arc::new(judged.expect("operators' file").1.unwrap_or_default());
        let operators = OperatorConfig {
            front_ends: fronts,
            policy,
            ..OperatorConfig::default()
        };
        let node = Node::start(config, operators).await.expect("node");
        let manager = snmp::Manager::new(node.snmp.expect("agent")).await;
        let (metrics, listen) = (node.metrics.clone(), (node.listen, node.flight));
        let (clients, flights, callers) = Default::default();
        let (ops, node, ending) = (node.admin.expect("operations"), Arc::new(node), None);
        Scene {
            node,
            ended: false,
            ending,
            metrics,
            listen,
            fleet,
            clients,
            flights,
            manager,
            ops,
            callers,
        }
    }

    #[expect(
        clippy::cognitive_complexity,
        clippy::too_many_lines,
        reason = "not split yet"
    )]
    async fn step(&mut self, step: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let (who, verb, rest) = (words[0], words[1], &words[2..]);
        match (&who[..1], verb) {
            ("w", _) => {
                let (name, value) = verb.split_once('=').expect("wait NAME=VALUE");
                let reached = async {
                    while !self
                        .metrics
                        .all()
                        .iter()
                        .any(|metric| metric.name == name && metric.value.to_string() == value)
                    {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                };
                soon(step, reached).await;
            }
            ("n", "send") => {
                let node = &self.node;
                if rest[0] == "settings" {
                    let text = configuration(self.fleet.feed.address, &self.fleet.known());
                    node.reload(NodeConfig::parse(changed(&text, &rest[1..]).as_bytes()))
                        .await;
                } else if rest == ["moved"] {
                    let at = self.fleet.move_feed().await;
                    node.reload(NodeConfig::parse(
                        configuration(at, &self.fleet.known()).as_bytes(),
                    ))
                    .await;
                } else {
                    node.reload(NodeConfig::parse(rest[0].as_bytes())).await;
                }
            }
            ("n", "close") => {
                if !self.ended {
                    self.ended = true;
                    self.node.begin_shutdown();
                    let node = self.node.clone();
                    self.ending = Some((
                        tokio::spawn(async move { node.shut_down().await }),
                        Instant::now(),
                    ));
                }
            }
            ("n", _) => {
                if let Some((ending, since)) = self.ending.take() {
                    soon(step, ending).await.expect("the end");
                    assert!(
                        since.elapsed() < KILLED,
                        "killed first: {:?}",
                        since.elapsed()
                    );
                }
            }
            ("o", _) => {
                if !self.callers.contains_key(who) {
                    self.callers
                        .insert(who.to_owned(), operations::Caller::new(self.ops).await);
                }
                soon(
                    step,
                    self.callers.get_mut(who).expect("caller").step(verb, rest),
                )
                .await;
                if verb != "send" {
                    let engine = self.callers.remove(who).and_then(|caller| caller.engine);
                    if let Some((n, out)) = engine.filter(|_| rest == ["200"]) {
                        self.fleet.shut(n, out);
                    }
                }
            }
            ("s", _) => soon(step, self.manager.step(verb, rest)).await,
            ("c" | "x", _) => {
                if !self.clients.contains_key(who) {
                    let at = if who.starts_with('x') {
                        self.listen.1.expect("flight front")
                    } else {
                        self.listen.0
                    };
                    let client = platform::Client::new(who, at).await;
                    self.clients.insert(who.to_owned(), client);
                    self.fleet.returns(who);
                }
                let client = self.clients.get_mut(who).expect("client");
                soon(step, client.step(verb, rest)).await;
                match (verb, rest) {
                    ("close", _) => {
                        self.clients.remove(who);
                        self.fleet.leaves(who.to_owned());
                    }
                    ("send", ["end"]) => self.fleet.leaves(who.to_owned()),
                    ("send", ["cancel", id]) => self.fleet.leaves(format!("{who}.{id}")),
                    _ => {}
                }
            }
            ("f", _) if who != "feed" => {
                if !self.flights.contains_key(who) {
                    let client =
                        flight::Client::new(who, self.listen.1.expect("flight front")).await;
                    self.flights.insert(who.to_owned(), client);
                }
                let client = self.flights.get_mut(who).expect("client");
                soon(step, client.step(verb, rest)).await;
                if let ("close", [id]) = (verb, rest) {
                    self.fleet.leaves(format!("{who}.{id}"));
                }
            }
            _ => soon(step, self.fleet.step(who, verb, rest)).await,
        }
    }
}

/// The statement of a request; its comment names it to the engines.
pub(crate) fn statement(class: &str, label: &str) -> String {
    match class {
        "log-load" => format!("INSERT INTO lic_7.log SELECT * FROM staging.rows -- {label}"),
        _ => format!("SELECT a FROM lic_7.log WHERE b <> 'lic_8.x' -- {label}"),
    }
}

/// Text of a script, with its escapes.
pub(crate) fn unescape(text: &str) -> String {
    text.replace("\\t", "\t").replace("\\n", "\n")
}

pub(crate) fn hex(text: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(digits).collect()
}
