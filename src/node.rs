//! One running workload manager: its actors, put together from a configuration, and its end.

use crate::admin::{self, OperationsServer};
use crate::clients::{Frontend, flight, msgpack_rpc};
use crate::core::{Clock, Core, CoreMessage, Handle, OrderLocks, run};
use crate::discovery;
use crate::engines::{EngineContext, Fleet};
use crate::hot_restart::{self, PeerSync, StateStore, StateWriter};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{ConfigError, EngineProtocol, NodeConfig, OptionalFronts, loopback};
use crate::operator_config::{self, Known, Operators};
use crate::retry_policy::Policy;
use crate::settings_json::PlatformSettings;
use crate::snmp;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tokio_listener::{Listener, ListenerAddress, SystemOptions, UserOptions};

/// A workload manager at work.
pub struct Node {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Where Flight SQL clients connect, if that front is on.
    pub flight: Option<SocketAddr>,
    /// Where the SNMP agent listens, if it is on.
    pub snmp: Option<SocketAddr>,
    /// Where staff ask and tell, if anywhere.
    pub ops: Option<SocketAddr>,
    /// Its counters.
    pub metrics: Arc<Metrics>,
    limits: Arc<Limits>,
    /// What only a start can change.
    fixed: (SocketAddr, (usize, usize)),
    /// The configuration in use, as values.
    used: Mutex<Value>,
    parsed: watch::Sender<Arc<PlatformSettings>>,
    /// The operators' file, and the policy of attempts in force.
    operators: (Option<std::path::PathBuf>, Arc<Mutex<Arc<Policy>>>),
    feed: watch::Sender<SocketAddr>,
    lifecycle: Arc<Lifecycle>,
    core: Handle,
    /// The platform holds the listening socket: whoever comes waits there for a successor, which may have said that
    /// it is ready a moment ago, before this process could know of it.
    handed: bool,
}

impl Node {
    /// Starts everything that the configuration and the operators' file name.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub async fn start(
        config: NodeConfig,
        operators: impl Into<Operators>,
    ) -> Result<Node, ConfigError> {
        let Operators {
            fronts,
            policy,
            path,
            ..
        } = operators.into();
        let speech = fronts
            .flight
            .as_ref()
            .map(|f| f.engines)
            .unwrap_or_default();
        let speaks_lines = speech == EngineProtocol::Lines;
        let limits = Limits::new(
            config.max_descriptors,
            config.memory_mb,
            speaks_lines,
            &config.settings,
        );
        let (limits, metrics) = (Arc::new(limits), Arc::<Metrics>::default());
        let store = open_store(&config, &limits, &metrics).await;
        let order_locks = open_order_locks(&config, &metrics);
        let succeeds = store.as_ref().is_some_and(StateStore::peer_is_running);
        let sockets = Sockets::bind(&config, fronts).await?;
        let fixed = (config.listen, (config.max_descriptors, config.memory_mb));
        let parsed = Arc::new(config.settings);
        let clock = Clock::new();
        let (core, inputs) = Handle::new(limits.mailbox_messages, clock);
        let context =
            EngineContext::new(core.clone(), limits.clone(), metrics.clone(), !speaks_lines);
        let lifecycle = Arc::new(Lifecycle::new());
        let made = Core::new(
            parsed.settings.clone(),
            // A process beside another one of the same seed would take its turns at the same times.
            if succeeds {
                config.seed ^ clock.now().to_bits()
            } else {
                config.seed
            },
            Fleet::new(context),
            limits.clone(),
            metrics.clone(),
        );
        let made = made
            .map_err(|e| ConfigError(e.to_string()))?
            .with_policy(policy.clone());
        let made = made.with_order_locks(order_locks);
        if path.as_ref().is_some_and(|p| p.exists()) {
            metrics.operator_config_loads.increment();
        }
        tokio::spawn(run(made, inputs, clock));
        let mut last = config.last_known_event;
        for event in config.events {
            last = last.max(event.number);
            core.send(CoreMessage::EndpointList(event)).await;
        }
        let (feed, address) = watch::channel(config.feed);
        let (spoken, mut heard) = watch::channel(false);
        let (parsed, settings) = watch::channel(parsed);
        let context = discovery::FollowerContext {
            core: core.clone(),
            limits: limits.clone(),
            metrics: metrics.clone(),
            first_frame_received: spoken,
            settings: settings.clone(),
        };
        tokio::spawn(discovery::follow(address, last, context));
        let (state_writer, said) = StateWriter::new(&limits);
        if let Some(store) = store {
            let mut sync = PeerSync::new(store, core.clone(), limits.clone());
            // The manual ejections have to be known before the first request.
            sync.synchronize().await;
            tokio::spawn(sync.run(said));
        }
        let in_force = Arc::new(Mutex::new(policy));
        let ops = sockets.operations.map(|(listener, at)| {
            let (core, metrics, limits, lifecycle) = (
                core.clone(),
                metrics.clone(),
                limits.clone(),
                lifecycle.clone(),
            );
            let (policy, parsed) = (in_force.clone(), settings.clone());
            let server = OperationsServer {
                core,
                metrics,
                limits,
                lifecycle,
                state_writer,
                policy,
                parsed,
            };
            tokio::spawn(admin::listen(listener, server));
            at
        });
        for class in &settings.borrow().classes {
            metrics.class(&class.name); // so that a figure is there before its first request
        }
        let frontend = Frontend {
            core: core.clone(),
            settings,
            limits: limits.clone(),
            metrics: metrics.clone(),
            lifecycle: lifecycle.clone(),
            buffer_pools: Arc::default(),
        };
        if succeeds {
            // Guard: the list of the configuration is that of the first start, and may name engines that are gone.
            let _ = timeout(
                limits.first_feed_event_timeout,
                heard.wait_for(|heard| *heard),
            )
            .await;
        }
        let flight = sockets.flight.map(|(listener, at)| {
            tokio::spawn(flight::listen(listener, frontend.clone()));
            at
        });
        let (listener, listen) = sockets.platform;
        tokio::spawn(msgpack_rpc::listen(listener, frontend));
        let snmp = sockets.agent.map(|(socket, at, community)| {
            let agent = snmp::Agent::new(community, config.name, metrics.clone(), limits.clone());
            tokio::spawn(agent.listen(socket));
            at
        });
        lifecycle.set(|state| state.serving = true);
        let (handed, used) = (config.listen_fd.is_some(), Mutex::new(config.values));
        Ok(Node {
            listen,
            flight,
            snmp,
            ops,
            metrics,
            limits,
            fixed,
            used,
            parsed,
            operators: (path, in_force),
            feed,
            lifecycle,
            core,
            handed,
        })
    }

    /// Goes over to a configuration that was read anew, or stays with the old one where that cannot be used.
    /// Connections, requests and engines stay: the settings and the control feed's address may change while the
    /// program runs, and `known` is of the start. The feed tells what is new under its own numbers.
    pub async fn reload(&self, config: Result<NodeConfig, ConfigError>) {
        let (config, policy) = match config.and_then(|config| self.checked(config)) {
            Ok(both) => both,
            Err(problem) => {
                self.metrics.reloads_rejected.increment();
                return eprintln!(
                    "workload-manager: goes on with the old configuration: {problem}"
                );
            }
        };
        let old = self.parsed.borrow().clone();
        for (name, changed) in changed_for_good(&self.fixed, &old, &config) {
            if changed {
                eprintln!(
                    "workload-manager: {name} in the new configuration waits for the next start"
                );
            }
        }
        self.put_in_force(&old, &config.settings, policy).await;
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = config.values;
        self.feed
            .send_if_modified(|at| std::mem::replace(at, config.feed) != config.feed);
        self.metrics.reloads.increment();
        eprintln!(
            "workload-manager: follows the control feed at {}",
            config.feed
        );
    }

    /// A new configuration with the policy of the operators' file, where both can be used. Guard: the file is held
    /// against the new settings, and both are taken or neither.
    fn checked(&self, config: NodeConfig) -> Result<(NodeConfig, Arc<Policy>), ConfigError> {
        let missing = config.lacks(&self.used.lock().unwrap_or_else(PoisonError::into_inner));
        // Guard: what goes without saying at a start would change here without notice.
        if let Some(key) = missing {
            return Err(ConfigError(format!("configuration: {key} is missing")));
        }
        let Some(path) = &self.operators.0 else {
            return Ok((config, Arc::default()));
        };
        match operator_config::load(path, &Known::of(&config.settings)) {
            Ok(loaded) => Ok((
                config,
                loaded.map(|l| Arc::new(l.policy)).unwrap_or_default(),
            )),
            Err(faults) => {
                self.metrics.operator_config_rejected.increment();
                Err(ConfigError(faults.to_string()))
            }
        }
    }

    /// Swaps settings and policy in one step: nothing comes between the fronts' settings and the core's place in its
    /// mailbox, so that what came under the old ones is taken under them, and what comes next under the new.
    async fn put_in_force(
        &self,
        old: &PlatformSettings,
        new: &PlatformSettings,
        policy: Arc<Policy>,
    ) {
        let Some(place) = self.core.reserve().await else {
            return;
        };
        let settings = (*old != *new).then(|| Box::new(new.settings.clone()));
        if settings.is_some() {
            for class in &new.classes {
                self.metrics.class(&class.name);
            }
            self.parsed.send_replace(Arc::new(new.clone()));
            eprintln!("workload-manager: goes by new settings");
        }
        *self
            .operators
            .1
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = policy.clone();
        place.send(CoreMessage::Settings { settings, policy });
        if self.operators.0.as_ref().is_some_and(|p| p.exists()) {
            self.metrics.operator_config_loads.increment();
        }
    }

    /// Asks for the end: from now on it says that it is not fit.
    pub fn stop(&self) {
        let handed = self.handed;
        self.lifecycle
            .set(|state| (state.ending, state.handed) = (true, handed));
    }

    /// Ends as planned: goes on accepting and answering until the late arrivals are in and nothing is open. Where a
    /// successor accepts, none arrive late, and it ends once the connections that it accepted are closed.
    pub async fn finish(&self) {
        self.stop();
        let handed = self.lifecycle.now().handed;
        // Guard: the process is killed after the longest deadline, which counts as no longer than the bound here; what is
        // open then would have no answer.
        let (most, spare) = if handed {
            self.limits.handover_shutdown
        } else {
            self.limits.planned_shutdown
        };
        let longest = self
            .parsed
            .borrow()
            .settings
            .classes
            .iter()
            .map(|c| c.client_timeout_ms)
            .fold(0.0, f64::max);
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        self.core
            .set_shutdown_deadline(self.core.now() + longest.min(millis(most)) + millis(spare))
            .await;
        let late = Instant::now()
            + if handed {
                Duration::ZERO
            } else {
                self.limits.shutdown_accept_window
            };
        let mut answered = None;
        loop {
            sleep(Duration::from_millis(20)).await;
            let open = self.metrics.requests_open.get();
            let owed = self.metrics.client_connections_pending.get() + open;
            let heard = !handed || self.metrics.client_connections_open.get() == 0;
            // Guard: a client that takes none of its answers would keep the process until it is killed.
            let now = Instant::now();
            answered = answered
                .filter(|_| open == 0)
                .or((open == 0).then_some(now));
            let untaken = answered
                .is_some_and(|since| now >= since.max(late) + self.limits.client_read_timeout);
            if now >= late && (owed == 0 && heard || untaken) {
                return;
            }
        }
    }
}

/// The sockets of a start, each with the address that it has.
struct Sockets {
    platform: (TcpListener, SocketAddr),
    flight: Option<(TcpListener, SocketAddr)>,
    operations: Option<(TcpListener, SocketAddr)>,
    /// With the agent's community.
    agent: Option<(UdpSocket, SocketAddr, String)>,
}

impl Sockets {
    /// Binds all that the configuration and the operators' file name. Errors: the address that cannot be bound.
    async fn bind(config: &NodeConfig, fronts: OptionalFronts) -> Result<Sockets, ConfigError> {
        let platform = match config.listen_fd {
            Some(fd) => inherited(fd).await?,
            None => bind(config.listen).await?,
        };
        let flight = match &fronts.flight {
            Some(front) => Some(bind(loopback(&front.listen, "flight")?).await?),
            None => None,
        };
        let operations = match config.ops {
            Some(at) => Some(bind(at).await?),
            None => None,
        };
        let agent = match fronts.snmp {
            Some(agent) => {
                let (socket, at) = bind_udp(loopback(&agent.listen, "snmp")?).await?;
                Some((socket, at, agent.community))
            }
            None => None,
        };
        Ok(Sockets {
            platform,
            flight,
            operations,
            agent,
        })
    }
}

/// The folder of an upgrade, if there is one. Guard: without it this is a workload manager all the same, and knows of
/// no other process.
async fn open_store(
    config: &NodeConfig,
    limits: &Arc<Limits>,
    metrics: &Arc<Metrics>,
) -> Option<StateStore> {
    let folder = config.shared_folder.as_ref()?;
    let opened = StateStore::open(folder, &config.name, limits.clone(), metrics.clone()).await;
    opened
        .inspect_err(|e| eprintln!("workload-manager: no state in {}: {e}", folder.display()))
        .ok()
}

/// The locks on order keys in that folder. Guard: without them the order of a key holds within this process alone.
fn open_order_locks(config: &NodeConfig, metrics: &Arc<Metrics>) -> Option<Box<dyn OrderLocks>> {
    let folder = config.shared_folder.as_ref()?;
    let opened = hot_restart::open_order_locks(folder, &config.name, metrics.clone());
    opened
        .inspect_err(|e| {
            eprintln!(
                "workload-manager: no order locks in {}: {e}",
                folder.display()
            )
        })
        .ok()
}

/// What only a start can change: the name of each setting, and whether the new configuration changes it.
fn changed_for_good(
    (listen, machine): &(SocketAddr, (usize, usize)),
    old: &PlatformSettings,
    new: &NodeConfig,
) -> [(&'static str, bool); 3] {
    let of_connections = |p: &PlatformSettings| {
        (
            p.connect_timeout_ms,
            p.engine_idle_timeout_ms,
            p.attempts_per_connection,
            p.max_open_requests,
            p.settings.progress_interval_ms,
        )
    };
    [
        ("listen", new.listen != *listen),
        ("limits", (new.max_descriptors, new.memory_mb) != *machine),
        (
            "settings of connections",
            of_connections(old) != of_connections(&new.settings),
        ),
    ]
}

/// The listening socket that the platform holds and hands over under this descriptor.
async fn inherited(fd: i32) -> Result<(TcpListener, SocketAddr), ConfigError> {
    let wrong = |e: String| ConfigError(format!("cannot listen on descriptor {fd}: {e}"));
    let mut options = UserOptions::default();
    options.sd_accept_ignore_environment = true;
    let taken = Listener::bind(
        &ListenerAddress::FromFd(fd),
        &SystemOptions::default(),
        &options,
    )
    .await;
    let taken = taken.map_err(|e| wrong(e.to_string()))?;
    let listener = taken
        .try_into_tcp_listener()
        .map_err(|_| wrong("it is no TCP socket".to_owned()))?;
    let at = listener.local_addr().map_err(|e| wrong(e.to_string()))?;
    Ok((listener, at))
}

async fn bind(at: SocketAddr) -> Result<(TcpListener, SocketAddr), ConfigError> {
    let wrong = |e: std::io::Error| ConfigError(format!("cannot listen on {at}: {e}"));
    let listener = TcpListener::bind(at).await.map_err(wrong)?;
    let at = listener.local_addr().map_err(wrong)?;
    Ok((listener, at))
}

async fn bind_udp(at: SocketAddr) -> Result<(UdpSocket, SocketAddr), ConfigError> {
    let wrong = |e: std::io::Error| ConfigError(format!("cannot listen on {at}: {e}"));
    let socket = UdpSocket::bind(at).await.map_err(wrong)?;
    let at = socket.local_addr().map_err(wrong)?;
    Ok((socket, at))
}
