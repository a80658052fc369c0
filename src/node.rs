//! One running workload manager.
//!
//! A [`Node`] is the handle on everything that runs: it reloads the configuration and shuts down. [`startup`] opens the
//! sockets and starts the actors, [`reload`] puts a new configuration in force, [`shutdown`] ends the node. `main` and
//! the tests are its callers.

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
    pub listen: SocketAddr,
    /// The address at which Flight SQL clients connect, if that front end is on.
    pub flight: Option<SocketAddr>,
    /// The address of the SNMP agent, if it is on.
    pub snmp: Option<SocketAddr>,
    /// The admin address, if there is one.
    pub admin: Option<SocketAddr>,
    /// The counters.
    pub metrics: Arc<Metrics>,
    limits: Arc<Limits>,
    start_only_settings: StartOnlySettings,
    /// The configuration in force, as the JSON values of its file.
    config_values: Mutex<Value>,
    current_settings: watch::Sender<Arc<PlatformSettings>>,
    /// The operators' file, read again with each reload.
    operator_file: Option<PathBuf>,
    /// The retry policy in force, shared with the admin server.
    policy: Arc<Mutex<Arc<Policy>>>,
    feed_sender: watch::Sender<SocketAddr>,
    lifecycle: Arc<Lifecycle>,
    core: Handle,
    /// The platform owns the listening socket: clients that connect during a shutdown wait there for a successor, which
    /// may be ready before this process notices it.
    listener_is_inherited: bool,
}

impl Node {
    /// Starts everything that the configuration and the operators' file name.
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
