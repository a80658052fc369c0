//! A node: one running workload manager.
//!
//! [`Node`] is the handle that `main` and the tests use to start, reload and shut down a workload
//! manager. [`startup`] opens the sockets and starts the actors, [`reload`] applies a new
//! configuration, and [`shutdown`] ends the node gracefully.

mod reload;
mod shutdown;
mod sockets;
mod startup;

pub use sockets::BindError;
pub use startup::StartError;

use crate::core::Handle;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::NodeConfig;
use crate::operator_config::OperatorConfig;
use crate::retry_policy::Policy;
use crate::settings_json::PlatformSettings;
use reload::StartOnlySettings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// A running workload manager.
pub struct Node {
    /// The address at which clients of the platform's protocol connect.
    pub listen_address: SocketAddr,
    /// The address at which Flight SQL clients connect, if that front end is on.
    pub flight_address: Option<SocketAddr>,
    /// The address of the SNMP agent, if the agent is on.
    pub snmp_address: Option<SocketAddr>,
    /// The admin address, if there is one.
    pub admin_address: Option<SocketAddr>,
    /// The metrics of this workload manager.
    pub metrics: Arc<Metrics>,
    limits: Arc<Limits>,
    /// The settings at the start that a reload cannot change.
    start_only_settings: StartOnlySettings,
    /// The configuration in force, as the JSON values of its file.
    config_values: Mutex<Value>,
    /// The platform's settings in force, sent to the actors that follow them.
    current_settings: watch::Sender<Arc<PlatformSettings>>,
    /// The path of the operators' file, which is read again at each reload.
    operator_file: Option<PathBuf>,
    /// The retry policy in force, shared with the admin server.
    policy: Arc<Mutex<Arc<Policy>>>,
    /// The address of the discovery feed, sent to its follower.
    feed_sender: watch::Sender<SocketAddr>,
    lifecycle: Arc<Lifecycle>,
    core: Handle,
    /// Whether the listening socket belongs to the platform and was inherited from it. Clients that
    /// connect during a shutdown then wait in the socket's queue for a successor process, which may
    /// be ready before this process detects it.
    listener_is_inherited: bool,
}

impl Node {
    /// Starts a node with this configuration and these settings of the operators' file.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start(
        config: NodeConfig,
        operator_config: impl Into<OperatorConfig>,
    ) -> Result<Node, StartError> {
        startup::start_node(config, operator_config.into()).await
    }
}
