//! The scenario language of the tests: one line a step, `WHO VERB ...` with the verbs send, expect, close and
//! wait, played against a complete workload manager with fake clients, engines and list feed on loopback.
//!
//! - `c1`, `c2` are clients of the platform, `f1`, `f2` Flight SQL clients: `c1 send 7 log-load allow=900`,
//!   `c1 send cancel 7`, `c1 send health 8`, `c1 send raw HEX`, `c1 expect 7 served TEXT`, `c1 expect 7 ERROR`,
//!   `c1 expect closed`, `c1 close`, `c1 send end` (it ends its side and reads on).
//! - `x1` is a platform client that connects to the Flight SQL front: `x1 expect closed`.
//! - `e` are the engines together; a request is named by its client and number, `c1.7`, and the step goes to the
//!   engine that has it: `e expect ASK c1.7`, `e send c1.7 served batches=2 TEXT`, `e expect QUIT c1.7`,
//!   `e expect none ASK c1.7`, `e close c1.7` (its connection breaks), `e1 close` (it refuses connections), `e1 hold`
//!   (further connections to it do not come up), `e1 release` (they do).
//! - `feed expect 1` (a connection that has event 1), `feed send draining e1`, `feed send raw HEX`, `feed close`.
//! - `s` asks the SNMP agent; `$` stands for the project's objects: `s send get $.1.0`, `s send next $`,
//!   `s send bulk 0 3 $`, `s send get@other $.1.0` (another community), `s expect $.1.0=2`.
//! - `o1`, `o2` are callers at the admin address, one call each: `o1 send READY`, `o1 send part REA`,
//!   `o1 expect 200`, `o1 expect lines node.loads=0`, `o1 close` (the next `o1` is a new one).
//! - `n close` asks the workload manager to stop, `n expect closed` waits until it has.
//! - `n send settings CHANGE ...` gives it a configuration with other settings; see `apply_changes`.
//! - `n send moved` gives it a configuration with the feed at another address, `n send {` one that says `{`.
//! - `wait requests_accepted=3` waits until a counter has that value.
//!
//! No step sleeps: each waits for its event, and fails if that does not come within a timeout. In every script the
//! scene checks the rules: one answer a request, one attempt in flight at a time, no retry of a non-idempotent request
//! that may have run, nothing new to a draining engine, no attempt for a client that has left.

mod admin_client;
pub(crate) mod child_process;
pub(crate) mod engine_fleet;
pub(crate) mod engine_listener;
mod flight_client;
mod flight_engine;
mod line_engine;
pub(crate) mod list_feed;
pub(crate) mod manager_process;
pub(crate) mod msgpack_client;
mod node_settings;
mod snmp_manager;

pub(crate) use node_settings::{apply_changes, configuration};

use engine_fleet::Fleet;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workload_manager::node::Node;
use workload_manager::node_config::{
    EngineProtocol, FlightFrontConfig, NodeConfig, OptionalFronts, SnmpAgentConfig,
};
use workload_manager::operator_config::{self, OperatorConfig, PlatformConstraints};

/// A graceful shutdown is complete by then: the platform kills the process 3.7 s after SIGTERM, and a busy machine may be late.
const KILL_DEADLINE: Duration = Duration::from_secs(7);

/// Every step completes within this time unless it fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for an event of this description; panics if it does not happen in time.
pub(crate) async fn within_timeout<T>(description: &str, event: impl Future<Output = T>) -> T {
    tokio::time::timeout(STEP_TIMEOUT, event)
        .await
        .unwrap_or_else(|_| panic!("no {description}"))
}

/// A manager with its clients, engines and feed.
pub(crate) struct Scene {
    node: Arc<Node>,
    shutdown_requested: bool,
    /// The shutdown task, and when it began.
    shutdown_task: Option<(tokio::task::JoinHandle<()>, Instant)>,
    metrics: Arc<workload_manager::metrics::Metrics>,
    listen_addresses: (std::net::SocketAddr, Option<std::net::SocketAddr>),
    fleet: Fleet,
    clients: HashMap<String, msgpack_client::Client>,
    flight_clients: HashMap<String, flight_client::Client>,
    snmp_manager: snmp_manager::Manager,
    admin_address: std::net::SocketAddr,
    admin_callers: HashMap<String, admin_client::Caller>,
}

/// An operators' file that sets nothing.
pub(crate) const EMPTY_OPERATOR_FILE: &str = "version = 1\n";

/// How a scene is set up.
pub(crate) struct SceneSetup<'a> {
    pub engines: usize,
    pub protocol: EngineProtocol,
    /// Changes to the settings; see `apply_changes`.
    pub changes: &'a [&'a str],
    /// The operators' file.
    pub operators: &'a str,
}

/// Plays a script with this many engines of one protocol.
pub(crate) fn run_script(engines: usize, protocol: EngineProtocol, script: &str) {
    run_script_with_setup(
        &SceneSetup {
            engines,
            protocol,
            changes: &[],
            operators: EMPTY_OPERATOR_FILE,
        },
        script,
    );
}

/// Plays a script with this setup.
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
        let front = FlightFrontConfig {
            listen: "127.0.0.1:0".to_owned(),
            engines: protocol,
        };
        let agent = SnmpAgentConfig {
            listen: "127.0.0.1:0".to_owned(),
            community: "public".to_owned(),
        };
        let fronts = OptionalFronts {
            flight: Some(front),
            snmp: Some(agent),
        };
        let checked = operator_config::parse_and_check(
            setup.operators,
            Some(&PlatformConstraints::from_settings(&config.settings)),
        );
        let policy = Arc::new(checked.expect("operators' file").1.unwrap_or_default());
        let operators = OperatorConfig {
            front_ends: fronts,
            policy,
            ..OperatorConfig::default()
        };
        let node = Node::start(config, operators).await.expect("node");
        let snmp_manager = snmp_manager::Manager::new(node.snmp.expect("agent")).await;
        let (metrics, listen_addresses) = (node.metrics.clone(), (node.listen, node.flight));
        let (clients, flight_clients, admin_callers) = Default::default();
        let (admin_address, node, shutdown_task) =
            (node.admin.expect("operations"), Arc::new(node), None);
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

    /// Plays one step of a script.
    async fn step(&mut self, step: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let (who, verb, rest) = (words[0], words[1], &words[2..]);
        match (&who[..1], verb) {
            ("w", _) => self.wait_for_counter(step, verb).await,
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

    async fn wait_for_counter(&self, step: &str, wanted: &str) {
        let (name, value) = wanted.split_once('=').expect("wait NAME=VALUE");
        let has_value = || {
            let counters = self.metrics.all();
            let mut counters = counters.iter();
            counters.any(|metric| metric.name == name && metric.value.to_string() == value)
        };
        let reached = async {
            while !has_value() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        within_timeout(step, reached).await;
    }

    /// Gives the manager another configuration.
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
            within_timeout(step, shutdown_task).await.expect("the end");
            let elapsed = started_at.elapsed();
            assert!(elapsed < KILL_DEADLINE, "killed first: {elapsed:?}");
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
                self.listen_addresses.1.expect("flight front")
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
            let address = self.listen_addresses.1.expect("flight front");
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

pub(crate) fn from_hex(text: &str) -> Vec<u8> {
    let byte_at = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte_at).collect()
}
