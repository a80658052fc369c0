//! The workload manager of a run. It has a thread and a runtime of its own, which ends all its
//! connections at once when the shutdown is complete, as the end of its process does.

use crate::scene::soak::ready_engines_event;
use crate::scene::{EMPTY_OPERATOR_FILE, apply_changes, configuration};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use workload_manager::node::Node;
use workload_manager::node_config::{
    EngineProtocol, FlightFrontEndConfig, NodeConfig, OptionalFrontEnds,
};
use workload_manager::operator_config::{self, OperatorConfig, PlatformConstraints};

/// How long a client waits for the answer to a request, in ms, as the settings have it.
pub(crate) const CLIENT_TIMEOUT_MS: u64 = 2500;

/// What the run tells its manager.
enum Command {
    Reload,
    ShutDown,
}

/// How the manager ended.
pub(crate) struct ManagerEnd {
    /// Time from the command to shut down to the end.
    pub(crate) shutdown_time: Duration,
}

/// The addresses of a manager.
struct Addresses {
    platform: SocketAddr,
    flight: SocketAddr,
    admin: SocketAddr,
}

/// A running manager.
pub(crate) struct Manager {
    pub(crate) platform_address: SocketAddr,
    pub(crate) flight_address: SocketAddr,
    admin_address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    end: oneshot::Receiver<ManagerEnd>,
    /// The feed accepts the manager's connection and sends nothing.
    _feed: TcpListener,
}

impl Manager {
    /// Starts a manager with these engines.
    pub(crate) async fn start(engines: &[SocketAddr]) -> Manager {
        let feed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let feed_address = feed.local_addr().expect("address");
        let text = apply_changes(
            &configuration(feed_address, &ready_engines_event(engines)),
            &["sockets=256", &format!("giveUpMs={CLIENT_TIMEOUT_MS}")],
        );
        let (address_sender, addresses) = oneshot::channel();
        let (end_sender, end) = oneshot::channel();
        let (commands, received_commands) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            let end = runtime.block_on(run(&text, address_sender, received_commands));
            // Ends all connections.
            drop(runtime);
            let _ = end_sender.send(end);
        });
        let addresses = addresses.await.expect("the manager starts");
        Manager {
            platform_address: addresses.platform,
            flight_address: addresses.flight,
            admin_address: addresses.admin,
            commands,
            end,
            _feed: feed,
        }
    }

    /// Makes the manager reload a configuration with another setting.
    pub(crate) fn reload(&self) {
        let _ = self.commands.send(Command::Reload);
    }

    /// Drains the manager, or ends that.
    pub(crate) async fn set_drained(&self, drained: bool) {
        let command = if drained { "DRAIN\n" } else { "UNDRAIN\n" };
        let mut stream = TcpStream::connect(self.admin_address)
            .await
            .expect("connect");
        stream.write_all(command.as_bytes()).await.expect("write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("read");
        assert!(answer.starts_with("200"), "{answer}");
    }

    /// Begins the shutdown and returns its end.
    pub(crate) fn shut_down(self) -> impl Future<Output = ManagerEnd> {
        let _ = self.commands.send(Command::ShutDown);
        async move { self.end.await.expect("the manager ends") }
    }
}

async fn run(
    text: &str,
    addresses: oneshot::Sender<Addresses>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> ManagerEnd {
    let config = NodeConfig::parse(text.as_bytes()).expect("configuration");
    let constraints = PlatformConstraints::from_settings(&config.settings);
    let checked = operator_config::parse_and_check(EMPTY_OPERATOR_FILE, Some(&constraints));
    let policy = Arc::new(checked.expect("operators' file").1.unwrap_or_default());
    let flight = FlightFrontEndConfig {
        listen: "127.0.0.1:0".to_owned(),
        engines: EngineProtocol::Flight,
    };
    let operator_config = OperatorConfig {
        front_ends: OptionalFrontEnds {
            flight: Some(flight),
            snmp: None,
        },
        policy,
        ..OperatorConfig::default()
    };
    let node = Node::start(config, operator_config).await.expect("node");
    let _ = addresses.send(Addresses {
        platform: node.listen_address,
        flight: node.flight_address.expect("Flight SQL address"),
        admin: node.admin_address.expect("admin address"),
    });
    while let Some(Command::Reload) = commands.recv().await {
        let changed = apply_changes(text, &["lateWorth=0.4"]);
        node.reload(NodeConfig::parse(changed.as_bytes())).await;
    }
    let started_at = Instant::now();
    node.shut_down().await;
    ManagerEnd {
        shutdown_time: started_at.elapsed(),
    }
}
