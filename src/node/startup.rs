//! The start of a node: opens its sockets, then starts its actors, each one after the actors that
//! it depends on. The front ends start last, so that no request arrives before the endpoint list
//! and the manual ejections are known.

use super::Node;
use super::reload::StartOnlySettings;
use super::sockets::{BindError, BoundSocket, SnmpSocket, Sockets};
use crate::admin::{self, AdminServer};
use crate::clients::{ClientMemory, Frontend, flight, msgpack_rpc};
use crate::core::{self, Clock, Core, CoreMessage, Handle};
use crate::decision::{Settings, SettingsError};
use crate::discovery::{self, FollowerContext};
use crate::engines::{EngineContext, Fleet};
use crate::hot_restart::{self, PeerSync, SharedRequestState, StateStore, StateWriter};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{EndpointListEvent, EngineProtocol, NodeConfig};
use crate::operator_config::OperatorConfig;
use crate::retry_policy::Policy;
use crate::settings_json::PlatformSettings;
use crate::snmp;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Intervals between two reads of the peer's state for which a successor waits before it accepts
/// clients: the old process may be late by up to one.
const PEER_POLLS_BEFORE_SERVING: u32 = 2;

/// An error while starting a node.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket cannot be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The dispatcher rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The handles that nearly every actor of the node needs.
#[derive(Clone)]
struct ActorContext {
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
    lifecycle: Arc<Lifecycle>,
}

/// The state that the node shares with its peer process. The node also runs without a shared
/// folder, or with one that cannot be used; it then detects no peer process.
struct SharedState {
    store: Option<StateStore>,
    request_state: Option<SharedRequestState>,
    /// Whether another process of this workload manager was running when this one started.
    is_successor: bool,
}

/// Starts the node. When this function returns, the settings are in force and the node accepts
/// clients.
pub(super) async fn start_node(
    config: NodeConfig,
    operator_config: OperatorConfig,
) -> Result<Node, StartError> {
    let engine_protocol = operator_config.engine_protocol();
    let context = ActorContext::new(&config, engine_protocol);
    let shared_state = SharedState::open(&config, &context).await;
    let is_successor = shared_state.is_successor;
    let sockets = Sockets::bind(&config, operator_config.front_ends).await?;
    let start_only_settings = StartOnlySettings::from_config(&config);
    let core_setup = CoreSetup {
        settings: config.settings.settings.clone(),
        seed: config.seed,
        is_successor,
        policy: operator_config.policy.clone(),
        request_state: shared_state.request_state,
    };
    let core = start_core(core_setup, engine_protocol, &context)?;
    count_operator_config_load(operator_config.path.as_deref(), &context.metrics);
    let last_event = send_known_events(&core, config.events, config.last_known_event).await;
    let (feed_sender, feed_address) = watch::channel(config.feed);
    let (settings_sender, settings) = watch::channel(Arc::new(config.settings));
    let first_frame = start_discovery(feed_address, last_event, &core, settings.clone(), &context);
    let state_writer = start_peer_sync(shared_state.store, &core, &context).await;
    let policy = Arc::new(Mutex::new(operator_config.policy));
    let admin_server = context.admin_server(&core, state_writer, &policy, &settings);
    let admin_address = sockets
        .admin
        .map(|bound| spawn_listener(bound, |listener| admin::serve(listener, admin_server)));
    register_classes(&settings.borrow(), &context.metrics);
    context.prepare_to_serve(is_successor, first_frame).await;
    let frontend = context.frontend(&core, settings);
    let flight_frontend = frontend.clone();
    let flight_address = sockets
        .flight
        .map(|bound| spawn_listener(bound, |listener| flight::listen(listener, flight_frontend)));
    let listen_address = spawn_listener(sockets.platform, |listener| {
        msgpack_rpc::listen(listener, frontend)
    });
    let snmp_address = sockets
        .snmp_agent
        .map(|socket| start_snmp_agent(socket, config.name, &context));
    context.lifecycle.update(|state| state.started = true);
    Ok(Node {
        listen_address,
        flight_address,
        snmp_address,
        admin_address,
        metrics: context.metrics,
        limits: context.limits,
        start_only_settings,
        config_values: Mutex::new(config.values),
        current_settings: settings_sender,
        operator_file: operator_config.path,
        policy,
        feed_sender,
        lifecycle: context.lifecycle,
        core,
        listener_is_inherited: config.listen_fd.is_some(),
    })
}

impl ActorContext {
    fn new(config: &NodeConfig, engine_protocol: EngineProtocol) -> Self {
        let limits = Limits::new(
            config.max_descriptors,
            config.memory_mb,
            engine_protocol == EngineProtocol::Lines,
            &config.settings,
        );
        ActorContext {
            limits: Arc::new(limits),
            metrics: Arc::default(),
            lifecycle: Arc::new(Lifecycle::new()),
        }
    }

    /// Creates the server of the admin address.
    fn admin_server(
        &self,
        core: &Handle,
        state_writer: StateWriter,
        policy: &Arc<Mutex<Arc<Policy>>>,
        settings: &watch::Receiver<Arc<PlatformSettings>>,
    ) -> AdminServer {
        AdminServer {
            core: core.clone(),
            metrics: self.metrics.clone(),
            limits: self.limits.clone(),
            lifecycle: self.lifecycle.clone(),
            state_writer,
            policy: policy.clone(),
            settings: settings.clone(),
        }
    }

    /// Waits until clients can be accepted, and tells the peer process. A successor waits for an
    /// endpoint list that is up to date, and until the old process uses only its own share of the
    /// limits.
    async fn prepare_to_serve(&self, is_successor: bool, first_frame: watch::Receiver<bool>) {
        if is_successor {
            wait_for_first_frame(first_frame, &self.limits).await;
        }
        self.lifecycle.update(|state| state.announced = true);
        if is_successor {
            sleep(PEER_POLLS_BEFORE_SERVING * self.limits.state_poll_interval).await;
        }
    }

    /// Creates the handles that the front ends need.
    fn frontend(
        &self,
        core: &Handle,
        settings: watch::Receiver<Arc<PlatformSettings>>,
    ) -> Frontend {
        Frontend {
            core: core.clone(),
            settings,
            limits: self.limits.clone(),
            metrics: self.metrics.clone(),
            lifecycle: self.lifecycle.clone(),
            client_memory: ClientMemory::new(&self.limits),
        }
    }
}

impl SharedState {
    /// Opens the shared state. What cannot be opened is logged and left out.
    async fn open(config: &NodeConfig, context: &ActorContext) -> Self {
        let Some(folder) = &config.shared_folder else {
            return SharedState {
                store: None,
                request_state: None,
                is_successor: false,
            };
        };
        let store = open_store(folder, &config.name, context).await;
        let request_state = open_request_state(folder, &config.name, &context.metrics);
        let is_successor = store
            .as_ref()
            .is_some_and(|store| store.peer_at_start().is_running());
        SharedState {
            store,
            request_state,
            is_successor,
        }
    }
}

async fn open_store(folder: &Path, name: &str, context: &ActorContext) -> Option<StateStore> {
    let (limits, metrics) = (context.limits.clone(), context.metrics.clone());
    StateStore::open(folder, name, limits, metrics)
        .await
        .inspect_err(|error| {
            let folder = folder.display();
            tracing::warn!(%folder, %error, "cannot open the stored state; manual ejections apply to this process only");
        })
        .ok()
}

fn open_request_state(
    folder: &Path,
    name: &str,
    metrics: &Arc<Metrics>,
) -> Option<SharedRequestState> {
    hot_restart::open_order_locks(folder, name, metrics.clone())
        .inspect_err(|error| {
            let folder = folder.display();
            tracing::warn!(%folder, %error, "cannot open the order locks; requests of one key stay in order, and spent references are known, within this process only");
        })
        .ok()
}

/// What the core is created from.
struct CoreSetup {
    settings: Settings,
    seed: u64,
    is_successor: bool,
    policy: Arc<Policy>,
    request_state: Option<SharedRequestState>,
}

/// Starts the core with its engine connections.
fn start_core(
    setup: CoreSetup,
    engine_protocol: EngineProtocol,
    context: &ActorContext,
) -> Result<Handle, SettingsError> {
    let (limits, metrics) = (&context.limits, &context.metrics);
    let clock = Clock::new();
    let (handle, inputs) = Handle::new(limits.mailbox_messages, clock);
    let engines = EngineContext::new(
        handle.clone(),
        limits.clone(),
        metrics.clone(),
        engine_protocol,
    );
    tokio::spawn(engines.slots.clone().follow_share());
    // With the same seed, a successor would act at the same random times as its predecessor.
    let seed = if setup.is_successor {
        setup.seed ^ clock.now().to_bits()
    } else {
        setup.seed
    };
    let (order_locks, references) = setup
        .request_state
        .map(|state| (state.order_locks, state.references))
        .unzip();
    let core = Core::new(
        setup.settings,
        seed,
        Fleet::new(engines),
        limits.clone(),
        metrics.clone(),
    )?
    .with_policy(setup.policy)
    .with_order_locks(order_locks)
    .with_shared_references(references);
    tokio::spawn(core::run(core, inputs, clock));
    Ok(handle)
}

/// Sends the endpoint list events of the configuration to the core. Returns the number of the last
/// known event.
async fn send_known_events(core: &Handle, events: Vec<EndpointListEvent>, last_known: u64) -> u64 {
    let mut last_event = last_known;
    for event in events {
        last_event = last_event.max(event.number);
        core.send(CoreMessage::EndpointList(event)).await;
    }
    last_event
}

/// Starts the follower of the discovery feed. The value of the returned receiver becomes true when
/// the first frame of the feed arrives.
fn start_discovery(
    feed: watch::Receiver<SocketAddr>,
    last_event: u64,
    core: &Handle,
    settings: watch::Receiver<Arc<PlatformSettings>>,
    context: &ActorContext,
) -> watch::Receiver<bool> {
    let (first_frame_received, first_frame) = watch::channel(false);
    let follower_context = FollowerContext {
        core: core.clone(),
        limits: context.limits.clone(),
        metrics: context.metrics.clone(),
        first_frame_received,
        settings,
    };
    tokio::spawn(discovery::follow(feed, last_event, follower_context));
    first_frame
}

/// Starts the exchange of state with the peer process, if there is a store. When this function
/// returns, the manual ejections of the peer are in force.
async fn start_peer_sync(
    store: Option<StateStore>,
    core: &Handle,
    context: &ActorContext,
) -> StateWriter {
    let (writer, mailbox) = StateWriter::new(&context.limits);
    if let Some(store) = store {
        let (limits, lifecycle) = (context.limits.clone(), &context.lifecycle);
        let mut peer_sync = PeerSync::new(store, core.clone(), limits, lifecycle);
        peer_sync.synchronize().await;
        tokio::spawn(peer_sync.run(mailbox));
    }
    writer
}

/// Counts one load of the operators' file, if the file exists.
fn count_operator_config_load(path: Option<&Path>, metrics: &Metrics) {
    if path.is_some_and(Path::exists) {
        metrics.operator_config_loads.increment();
    }
}

/// Creates the metrics of each class, so that they are shown before the class's first request.
fn register_classes(settings: &PlatformSettings, metrics: &Metrics) {
    for class in &settings.classes {
        metrics.outcomes_of_class(&class.name);
    }
}

/// Waits, up to a time limit, until the first frame of the discovery feed arrives. The endpoint
/// list in a successor's configuration is that of the first start, and may contain engines that no
/// longer exist.
async fn wait_for_first_frame(mut first_frame: watch::Receiver<bool>, limits: &Limits) {
    let received = first_frame.wait_for(|received| *received);
    let _ = timeout(limits.first_feed_frame_timeout, received).await;
}

/// Starts the task that accepts connections on this socket. Returns the socket's address.
fn spawn_listener<F>(
    bound: BoundSocket<TcpListener>,
    listen: impl FnOnce(TcpListener) -> F,
) -> SocketAddr
where
    F: Future<Output = ()> + 'static + Send,
{
    tokio::spawn(listen(bound.socket));
    bound.address
}

/// Starts the SNMP agent. Returns its address.
fn start_snmp_agent(socket: SnmpSocket, name: String, context: &ActorContext) -> SocketAddr {
    let (metrics, limits) = (context.metrics.clone(), context.limits.clone());
    let snmp_agent = snmp::Agent::new(socket.community, name, metrics, limits);
    tokio::spawn(snmp_agent.serve(socket.bound.socket));
    socket.bound.address
}
