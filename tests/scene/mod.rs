//! Runs test scripts against a complete workload manager with fake clients, fake engines and a fake
//! discovery feed on loopback addresses.
//!
//! A script has one step a line: `WHO VERB ...`, with the verbs `send`, `expect` and `close`, and
//! `hold` and `release` for engines; the one other step is `wait NAME=VALUE`. WHO is one of:
//!
//! - `c1`, `c2`: clients of the platform. `c1 send 7 log-load allow=900` sends request 7 of class
//!   `log-load` with a changed field; `c1 send cancel 7`, `c1 send health 8`, `c1 send raw HEX`;
//!   `c1 send end` closes the sending side only; `c1 expect 7 served TEXT`, `c1 expect 7 ERROR`,
//!   `c1 expect closed` (by the manager); `c1 close` closes the connection.
//! - `x1`: a platform client that connects to the Flight SQL address instead: `x1 expect closed`.
//! - `f1`, `f2`: Flight SQL clients; see `flight_client::Client::step`.
//! - `e`: all engines. A request is named by its client and number, as in `c1.7`, and the step
//!   applies to the engine that received it: `e expect ASK c1.7`,
//!   `e send c1.7 served batches=2 TEXT`, `e expect QUIT c1.7`, `e expect none ASK c1.7` (no such
//!   call so far), `e close c1.7` (breaks the connection that carries the request).
//! - `e1`, `e2`: one engine. `e1 close` makes it refuse connections; after `e1 hold` further
//!   connections to it are not established until `e1 release`.
//! - `feed`: the discovery feed. `feed expect 1` waits for a connection on which the manager gives
//!   1 as the number of its last event. `feed send STATE e1` changes the state of an engine to
//!   `active`, `draining` or `gone`; `feed send listed e1` sends the record of an active engine
//!   too, but an engine that must not get new attempts still must not get any. `feed send only e1`
//!   sends a full list with this engine alone, `feed send again e1` repeats the last event's
//!   number, `feed send half e1` sends the first half of an event, `feed send raw HEX` these bytes;
//!   `feed close` closes the connection.
//! - `s`: an SNMP manager; `$` stands for the root of the project's objects: `s send get $.1.0`,
//!   `s send next $`, `s send bulk 0 3 $`, `s send get@other $.1.0` (another community),
//!   `s send v1 $.1.0` (SNMP version 1), `s expect $.1.0=2`.
//! - `o1`, `o2`: callers at the admin address, one call each: `o1 send READY`, `o1 send part REA`
//!   (an unfinished line), `o1 expect 200`, `o1 expect lines node.loads=0`, `o1 close`. The next
//!   `o1` after `expect` or `close` is a new caller.
//! - `n`: the workload manager. `n close` requests a graceful shutdown, `n expect closed` waits for
//!   its end. `n send settings CHANGE ...` reloads a configuration with other settings, see
//!   `apply_changes`; `n send moved` reloads one with the feed at another address; `n send {`
//!   reloads one whose whole text is `{`.
//! - `wait requests_accepted=3` waits until a metric has that value.
//!
//! No step waits for a fixed time: each waits for its event, and fails if the event does not come
//! within a timeout. In every script the scene checks these rules: a request gets one answer; it
//! has one attempt in flight at a time; a non-idempotent request that may have run is not retried;
//! a draining engine gets no new attempts; no attempt starts after its client has left.

mod admin_client;
pub(crate) mod child_process;
pub(crate) mod descriptor_monitor;
pub(crate) mod engine_fleet;
pub(crate) mod engine_listener;
pub(crate) mod flight_client;
pub(crate) mod flight_engine;
mod line_engine;
pub(crate) mod list_feed;
pub(crate) mod manager_process;
pub(crate) mod msgpack_client;
mod node_settings;
mod snmp_manager;
pub(crate) mod soak;

pub(crate) use node_settings::{apply_changes, configuration};

use engine_fleet::Fleet;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workload_manager::node::Node;
use workload_manager::node_config::{
    EngineProtocol, FlightFrontEndConfig, NodeConfig, OptionalFrontEnds, SnmpAgentConfig,
};
use workload_manager::operator_config::{self, OperatorConfig, PlatformConstraints};

/// Longest accepted time of a graceful shutdown. The platform kills the process 3.7 s after
/// SIGTERM; the rest is a margin for a busy machine.
const KILL_DEADLINE: Duration = Duration::from_secs(7);

/// A step that has not completed within this time fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for an event. Panics with its description if it does not happen within `STEP_TIMEOUT`.
pub(crate) async fn within_timeout<T>(description: &str, event: impl Future<Output = T>) -> T {
    tokio::time::timeout(STEP_TIMEOUT, event)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for: {description}"))
}

/// A workload manager with its fake clients, engines and discovery feed.
pub(crate) struct Scene {
    node: Arc<Node>,
    shutdown_requested: bool,
    /// The task that runs the graceful shutdown, and when it started.
    shutdown_task: Option<(tokio::task::JoinHandle<()>, Instant)>,
    metrics: Arc<workload_manager::metrics::Metrics>,
    /// Where platform clients and Flight SQL clients connect.
    listen_addresses: (std::net::SocketAddr, Option<std::net::SocketAddr>),
    fleet: Fleet,
    clients: HashMap<String, msgpack_client::Client>,
    flight_clients: HashMap<String, flight_client::Client>,
    snmp_manager: snmp_manager::Manager,
    admin_address: std::net::SocketAddr,
    admin_callers: HashMap<String, admin_client::Caller>,
}

/// An operators' file without settings.
pub(crate) const EMPTY_OPERATOR_FILE: &str = "version = 1\n";

/// How a scene is set up.
pub(crate) struct SceneSetup<'a> {
    pub engines: usize,
    pub protocol: EngineProtocol,
    /// Changes to the settings; see `apply_changes`.
    pub changes: &'a [&'a str],
    /// The text of the operators' file.
    pub operator_file: &'a str,
}

/// Runs a script with this many engines of one protocol.
pub(crate) fn run_script(engines: usize, protocol: EngineProtocol, script: &str) {
    run_script_with_setup(
        &SceneSetup {
            engines,
            protocol,
            changes: &[],
            operator_file: EMPTY_OPERATOR_FILE,
        },
        script,
    );
}

/// Runs a script with this setup, then shuts the manager down and checks the rules of the scene.
pub(crate) fn run_script_with_setup(setup: &SceneSetup<'_>, script: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let mut scene = Scene::new(setup).await;
        for step in script
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty())
        {
            scene.step(step).await;
        }
        scene.step("n close").await;
        scene.step("n expect closed").await;
        scene.fleet.check_at_end();
    });
}

impl Scene {
    async fn new(setup: &SceneSetup<'_>) -> Scene {
        let protocol = setup.protocol;
        let fleet = Fleet::new(setup.engines, protocol).await;
        let text = apply_changes(
            &configuration(fleet.feed.address, &fleet.first_list_event()),
            setup.changes,
        );
        let config = NodeConfig::parse(text.as_bytes()).expect("configuration");
        let flight_front_end = FlightFrontEndConfig {
            listen: "127.0.0.1:0".to_owned(),
            engines: protocol,
        };
        let snmp_agent = SnmpAgentConfig {
            listen: "127.0.0.1:0".to_owned(),
            community: "public".to_owned(),
        };
        let optional_front_ends = OptionalFrontEnds {
            flight: Some(flight_front_end),
            snmp: Some(snmp_agent),
        };
        let checked = operator_config::parse_and_check(
            setup.operator_file,
            Some(&PlatformConstraints::from_settings(&config.settings)),
        );
        let policy = Arc::new(checked.expect("operators' file").1.unwrap_or_default());
        let operator_config = OperatorConfig {
            front_ends: optional_front_ends,
            policy,
            ..OperatorConfig::default()
        };
        let node = Node::start(config, operator_config).await.expect("node");
        let snmp_manager = snmp_manager::Manager::new(node.snmp_address.expect("SNMP agent")).await;
        let (metrics, listen_addresses) = (
            node.metrics.clone(),
            (node.listen_address, node.flight_address),
        );
        let (clients, flight_clients, admin_callers) = Default::default();
        let (admin_address, node, shutdown_task) = (
            node.admin_address.expect("admin address"),
            Arc::new(node),
            None,
        );
        Scene {
            node,
            shutdown_requested: false,
            shutdown_task,
            metrics,
            listen_addresses,
            fleet,
            clients,
            flight_clients,
            snmp_manager,
            admin_address,
            admin_callers,
        }
    }

    /// Runs one step of a script.
    async fn step(&mut self, step: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let (who, verb, rest) = (words[0], words[1], &words[2..]);
        match (&who[..1], verb) {
            ("w", _) => self.wait_for_metric(step, verb).await,
            ("n", "send") => self.reload(rest).await,
            ("n", "close") => self.begin_shutdown(),
            ("n", _) => self.expect_shutdown(step).await,
            ("o", _) => self.admin_step(step, who, verb, rest).await,
            ("s", _) => within_timeout(step, self.snmp_manager.step(verb, rest)).await,
            ("c" | "x", _) => self.client_step(step, who, verb, rest).await,
            ("f", _) if who != "feed" => self.flight_client_step(step, who, verb, rest).await,
            _ => within_timeout(step, self.fleet.step(who, verb, rest)).await,
        }
    }

    async fn wait_for_metric(&self, step: &str, wanted: &str) {
        let (name, value) = wanted.split_once('=').expect("wait NAME=VALUE");
        let has_value = || {
            let metrics = self.metrics.all();
            let mut metrics = metrics.iter();
            metrics.any(|metric| metric.name == name && metric.value.to_string() == value)
        };
        let reached = async {
            while !has_value() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        within_timeout(step, reached).await;
    }

    /// Makes the manager reload another configuration.
    async fn reload(&mut self, words: &[&str]) {
        let text = match words {
            ["settings", changes @ ..] => {
                let text = configuration(self.fleet.feed.address, &self.fleet.first_list_event());
                apply_changes(&text, changes)
            }
            ["moved"] => {
                let address = self.fleet.move_feed().await;
                configuration(address, &self.fleet.first_list_event())
            }
            words => words[0].to_owned(),
        };
        self.node.reload(NodeConfig::parse(text.as_bytes())).await;
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_requested {
            return;
        }
        self.shutdown_requested = true;
        self.node.begin_shutdown();
        let node = self.node.clone();
        let shutdown_task = tokio::spawn(async move { node.shut_down().await });
        self.shutdown_task = Some((shutdown_task, Instant::now()));
    }

    async fn expect_shutdown(&mut self, step: &str) {
        if let Some((shutdown_task, started_at)) = self.shutdown_task.take() {
            within_timeout(step, shutdown_task)
                .await
                .expect("shutdown task");
            let elapsed = started_at.elapsed();
            assert!(
                elapsed < KILL_DEADLINE,
                "the platform would have killed the process: shutdown took {elapsed:?}"
            );
        }
    }

    async fn admin_step(&mut self, step: &str, who: &str, verb: &str, rest: &[&str]) {
        if !self.admin_callers.contains_key(who) {
            let caller = admin_client::Caller::new(self.admin_address).await;
            self.admin_callers.insert(who.to_owned(), caller);
        }
        let caller = self.admin_callers.get_mut(who).expect("caller");
        within_timeout(step, caller.step(verb, rest)).await;
        if verb != "send" {
            let engine = self
                .admin_callers
                .remove(who)
                .and_then(|caller| caller.engine);
            if let Some((number, ejected)) = engine.filter(|_| rest == ["200"]) {
                self.fleet.set_draining(number, ejected);
            }
        }
    }

    async fn client_step(&mut self, step: &str, who: &str, verb: &str, rest: &[&str]) {
        if !self.clients.contains_key(who) {
            let address = if who.starts_with('x') {
                self.listen_addresses.1.expect("Flight SQL address")
            } else {
                self.listen_addresses.0
            };
            let client = msgpack_client::Client::new(who, address).await;
            self.clients.insert(who.to_owned(), client);
            self.fleet.client_returned(who);
        }
        let client = self.clients.get_mut(who).expect("client");
        within_timeout(step, client.step(verb, rest)).await;
        match (verb, rest) {
            ("close", _) => {
                self.clients.remove(who);
                self.fleet.client_left(who.to_owned());
            }
            ("send", ["end"]) => self.fleet.client_left(who.to_owned()),
            ("send", ["cancel", id]) => self.fleet.client_left(format!("{who}.{id}")),
            _ => {}
        }
    }

    async fn flight_client_step(&mut self, step: &str, who: &str, verb: &str, rest: &[&str]) {
        if !self.flight_clients.contains_key(who) {
            let address = self.listen_addresses.1.expect("Flight SQL address");
            let client = flight_client::Client::new(who, address).await;
            self.flight_clients.insert(who.to_owned(), client);
        }
        let client = self.flight_clients.get_mut(who).expect("client");
        within_timeout(step, client.step(verb, rest)).await;
        if let ("close", [id]) = (verb, rest) {
            self.fleet.client_left(format!("{who}.{id}"));
        }
    }
}

/// The statement of a request. Its SQL comment carries the label by which the fake engines report
/// it.
pub(crate) fn statement(class: &str, label: &str) -> String {
    match class {
        "log-load" => format!("INSERT INTO lic_7.log SELECT * FROM staging.rows -- {label}"),
        _ => format!("SELECT a FROM lic_7.log WHERE b <> 'lic_8.x' -- {label}"),
    }
}

/// Replaces the escapes `\t` and `\n` of a script's text by the characters that they stand for.
pub(crate) fn unescape(text: &str) -> String {
    text.replace("\\t", "\t").replace("\\n", "\n")
}

/// The bytes that a string of hexadecimal digits stands for.
pub(crate) fn from_hex(text: &str) -> Vec<u8> {
    let byte_at = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte_at).collect()
}
