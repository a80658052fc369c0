//! The program `workload-manager`: serves clients, or runs a sub-command for the operators' file.
//!
//! To serve, it reads the configuration, starts a [`Node`] and handles signals until one of them
//! requests the shutdown.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::process::ExitCode;
use thiserror::Error;
use workload_manager::command::{self, CommandOutput, ExplainQuery, FaultFormat};
use workload_manager::log::LogError;
use workload_manager::node::{Node, StartError};
use workload_manager::node_config::{ConfigError, NodeConfig};
use workload_manager::operator_config::{OperatorConfig, OperatorConfigError, PlatformConstraints};
use workload_manager::signals::{Signal, Signals};

/// A workload manager for shared SQL engines: decides when and on which engine each query runs.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients, with the configuration file at the path in NODE_CONFIG (the default command).
    Run,
    /// Check the operators' file. Exit with 0, or with 2 and all faults on standard error.
    Check {
        /// The platform's configuration (JSON), to check the file against its settings as well.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The format of the faults.
        #[arg(long, value_enum, default_value_t = FormatArgument::Text)]
        format: FormatArgument,
        /// The operators' file (TOML).
        file: PathBuf,
    },
    /// Print the JSON Schema of the operators' file.
    Schema,
    /// Print the attempt keys in force for a request, and the table that sets each of them.
    Explain {
        /// The platform's configuration (JSON).
        #[arg(long)]
        config: PathBuf,
        /// The operators' file (TOML).
        file: PathBuf,
        /// The request's class.
        #[arg(long)]
        class: String,
        /// Its member.
        #[arg(long)]
        member: Option<String>,
        /// Its front end: platform or flight.
        #[arg(long)]
        front: Option<String>,
        /// The number of its data set.
        #[arg(long)]
        data_set: Option<u32>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum FormatArgument {
    Text,
    Json,
}

impl From<FormatArgument> for FaultFormat {
    fn from(format: FormatArgument) -> Self {
        match format {
            FormatArgument::Text => FaultFormat::Text,
            FormatArgument::Json => FaultFormat::Json,
        }
    }
}

fn main() -> ExitCode {
    let output = match Cli::parse().command {
        None | Some(Command::Run) => return serve(),
        Some(Command::Check {
            config,
            format,
            file,
        }) => command::check(config.as_deref(), &file, format.into()),
        Some(Command::Schema) => command::schema(),
        Some(Command::Explain {
            config,
            file,
            class,
            member,
            front,
            data_set,
        }) => {
            let query = ExplainQuery {
                class,
                member,
                front,
                data_set,
            };
            command::explain(&config, &file, &query)
        }
    };
    write_output(&output);
    ExitCode::from(output.exit_code)
}

/// Writes a command's output. Write errors are ignored: a pipe that a pager has closed does not
/// change the exit code.
fn write_output(output: &CommandOutput) {
    let _ = io::stdout().write_all(output.stdout.as_bytes());
    let _ = io::stderr().write_all(output.stderr.as_bytes());
}

/// Why the program ends with an error.
#[derive(Debug, Error)]
enum RunError {
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    #[error("NODE_CONFIG is not set; set it to the path of the configuration file")]
    MissingConfigPath,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    #[error(transparent)]
    Log(#[from] LogError),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Serves until the shutdown. Reports an error on standard error.
fn serve() -> ExitCode {
    let result = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)
        .and_then(|runtime| runtime.block_on(run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The log may not be set up yet.
            eprintln!("workload-manager: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the node, serves until a signal requests the shutdown and prints the metrics at the end.
async fn run() -> Result<(), RunError> {
    let path = std::env::var_os("NODE_CONFIG").ok_or(RunError::MissingConfigPath)?;
    let path = Path::new(&path);
    // Installed before anything else, since SIGHUP ends a program without a handler for it.
    let mut signals = Signals::install().map_err(RunError::Signals)?;
    let config = load_node_config(path)?;
    let operator_config = load_operator_config(&config)?;
    workload_manager::log::init(&operator_config.log)?;
    let name = config.name.clone();
    let node = Node::start(config, operator_config).await?;
    let admin = node.admin_address.map_or(String::new(), |address| {
        format!(", is operated at {address}")
    });
    tracing::info!("{name} serves on {}{admin}", node.listen_address);
    serve_until_signalled(&node, &mut signals, path).await;
    shut_down(&node, &mut signals, path).await;
    print_metrics(&node);
    Ok(())
}

/// Handles signals until one of them requests the shutdown.
async fn serve_until_signalled(node: &Node, signals: &mut Signals, path: &Path) {
    loop {
        match signals.next().await {
            Ok(Signal::Terminate | Signal::Interrupt) => return,
            Ok(Signal::Reload) => node.reload(load_node_config(path)).await,
            Ok(Signal::PrintMetrics) => print_metrics(node),
            Err(error) => {
                // Without signals, the program could only be stopped with SIGKILL.
                tracing::error!(%error, "signals can no longer be received, shutting down");
                return;
            }
        }
    }
}

/// Shuts down, and handles signals meanwhile. Requests that are open or still arrive need an
/// up-to-date endpoint list, so a reload still takes up a changed address of the discovery feed. A
/// second signal to shut down has no effect.
async fn shut_down(node: &Node, signals: &mut Signals, path: &Path) {
    let mut shutdown = pin!(node.shut_down());
    loop {
        tokio::select! {
            () = &mut shutdown => return,
            signal = signals.next() => match signal {
                Ok(Signal::Reload) => node.reload(load_node_config(path)).await,
                Ok(Signal::PrintMetrics) => print_metrics(node),
                Ok(Signal::Terminate | Signal::Interrupt) => {}
                Err(_) => return shutdown.await,
            }
        }
    }
}

/// Writes the metrics to standard error with one call, since standard error is not buffered and
/// formatting the line directly into it would take hundreds of writes.
fn print_metrics(node: &Node) {
    let line = format!("workload-manager: {}\n", node.metrics);
    // A failed write must not interrupt service.
    let _ = io::stderr().write_all(line.as_bytes());
}

/// Loads the operators' file, or the older file of front ends if the operators' file does not
/// exist.
fn load_operator_config(config: &NodeConfig) -> Result<OperatorConfig, OperatorConfigError> {
    let path_from = |variable: &str, default: &str| {
        std::env::var_os(variable).map_or_else(|| PathBuf::from(default), PathBuf::from)
    };
    let front_ends = path_from("MAGPIECHUTE_FRONTS", "deploy/fronts.toml");
    let file = path_from("MAGPIECHUTE_FILE", "deploy/magpiechute.toml");
    let constraints = PlatformConstraints::from_settings(&config.settings);
    OperatorConfig::load(&file, &front_ends, &constraints)
}

/// Reads the configuration at startup or a reload, and applies the overrides from environment
/// variables.
fn load_node_config(path: &Path) -> Result<NodeConfig, ConfigError> {
    let mut config = NodeConfig::load(path)?;
    if let Some(listen) = address_from_environment("NODE_LISTEN")? {
        config.listen = listen;
    }
    if let Some(admin) = address_from_environment("NODE_OPS")? {
        config.admin = Some(admin);
    }
    if let Ok(value) = std::env::var("NODE_LISTEN_FD") {
        // Descriptors 0 to 2 are the standard streams.
        let descriptor = value.parse().ok().filter(|descriptor| *descriptor > 2);
        let descriptor = descriptor.ok_or(ConfigError::EnvironmentDescriptor(value))?;
        config.listen_fd = Some(descriptor);
    }
    config.shared_folder = std::env::var_os("TMPDIR").map(Into::into);
    Ok(config)
}

/// The address in an environment variable; `None` if the variable is not set.
fn address_from_environment(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(variable) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::EnvironmentAddress { variable, value }),
    }
}
