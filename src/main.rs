//! The workload manager on real sockets.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use workload_manager::command::{self, Asked, Done};
use workload_manager::node::Node;
use workload_manager::node_config::{ConfigError, NodeConfig};
use workload_manager::operator_config::{Known, Operators};
use workload_manager::signals::{Heard, Signals};

/// A workload manager: when, and on which shared SQL engine, each query runs.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, with the configuration that NODE_CONFIG names (as without a command).
    Run,
    /// Check the operators' file: exit 0, or 2 with every fault on standard error.
    Check {
        /// The platform's configuration (JSON), to hold the file against its settings as well.
        #[arg(long)]
        config: Option<PathBuf>,
        /// How faults are written.
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
        /// The operators' file (TOML).
        file: PathBuf,
    },
    /// Print the JSON Schema of the operators' file.
    Schema,
    /// Tell the keys of attempts that hold for a request, and the table that each comes from.
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
        /// Its front: platform or flight.
        #[arg(long)]
        front: Option<String>,
        /// Its data set.
        #[arg(long)]
        data_set: Option<u32>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Text,
    Json,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        None | Some(Command::Run) => return serve(),
        Some(Command::Check {
            config,
            format,
            file,
        }) => command::check(config.as_deref(), &file, matches!(format, Form::Json)),
        Some(Command::Schema) => command::schema(),
        Some(Command::Explain {
            config,
            file,
            class,
            member,
            front,
            data_set,
        }) => command::explain(
            &config,
            &file,
            &Asked {
                class,
                member,
                front,
                data_set,
            },
        ),
    };
    print(&done);
    ExitCode::from(done.code)
}

fn print(done: &Done) {
    // Guard: a closed pipe to a pager changes nothing of the verdict.
    let _ = std::io::stdout().write_all(done.out.as_bytes());
    let _ = std::io::stderr().write_all(done.err.as_bytes());
}

fn serve() -> ExitCode {
    let done = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| ConfigError(format!("no runtime: {e}")))
        .and_then(|runtime| runtime.block_on(run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("workload-manager: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), ConfigError> {
    let path = std::env::var_os("NODE_CONFIG")
        .ok_or_else(|| ConfigError("NODE_CONFIG does not name a configuration".to_owned()))?;
    // Guard: heard from the first moment on, as SIGHUP would end a program that does not hear it.
    let mut signals =
        Signals::hear().map_err(|e| ConfigError(format!("cannot hear signals: {e}")))?;
    let config = load(Path::new(&path))?;
    let fronts =
        std::env::var_os("MAGPIECHUTE_FRONTS").unwrap_or_else(|| "deploy/fronts.toml".into());
    let file =
        std::env::var_os("MAGPIECHUTE_FILE").unwrap_or_else(|| "deploy/magpiechute.toml".into());
    let known = Known::of(&config.settings);
    let operators =
        Operators::load(Path::new(&file), Path::new(&fronts), &known).map_err(ConfigError)?;
    workload_manager::log::init(&operators.log).map_err(|e| ConfigError(e.to_string()))?;
    let name = config.name.clone();
    let node = Node::start(config, operators).await?;
    let ops = node
        .ops
        .map_or(String::new(), |at| format!(", is operated at {at}"));
    tracing::info!("{name} serves on {}{ops}", node.listen);
    loop {
        match signals.next().await {
            Ok(Heard::Terminate | Heard::Interrupt) => break,
            Ok(Heard::Reload) => node.reload(load(Path::new(&path))).await,
            Ok(Heard::Print) => say(format!("workload-manager: {}", node.metrics)),
            Err(problem) => {
                // A program that cannot be told to end would have to be killed: it ends now, as planned.
                say(format!(
                    "workload-manager: no longer hears signals ({problem}), and ends as planned"
                ));
                break;
            }
        }
    }
    let mut end = std::pin::pin!(node.finish());
    loop {
        tokio::select! {
            () = &mut end => break,
            // A second word to end changes nothing. Guard: what is open, or still comes, is served by the control feed,
            // and where that goes meanwhile it is followed, or word of drains would not be heard any more.
            heard = signals.next() => match heard {
                Ok(Heard::Reload) => node.reload(load(Path::new(&path))).await,
                Ok(Heard::Print) => say(format!("workload-manager: {}", node.metrics)),
                Ok(Heard::Terminate | Heard::Interrupt) => {}
                Err(_) => {
                    (&mut end).await;
                    break;
                }
            }
        }
    }
    say(format!("workload-manager: {}", node.metrics));
    Ok(())
}

/// Writes a line to standard error in one write, as that is not buffered and a line of counters has hundreds of parts.
fn say(mut line: String) {
    line.push('\n');
    // Guard: a log that cannot be written changes nothing of the service.
    let _ = std::io::stderr().write_all(line.as_bytes());
}

/// The configuration, whole and checked, as a start or SIGHUP finds it.
fn load(path: &Path) -> Result<NodeConfig, ConfigError> {
    let mut config = NodeConfig::load(path)?;
    if let Ok(listen) = std::env::var("NODE_LISTEN") {
        config.listen = listen
            .parse()
            .map_err(|_| ConfigError(format!("NODE_LISTEN {listen:?} is not an address")))?;
    }
    if let Ok(ops) = std::env::var("NODE_OPS") {
        config.ops = Some(
            ops.parse()
                .map_err(|_| ConfigError(format!("NODE_OPS {ops:?} is not an address")))?,
        );
    }
    if let Ok(fd) = std::env::var("NODE_LISTEN_FD") {
        let fd = fd.parse().ok().filter(|fd| *fd > 2);
        config.listen_fd =
            Some(fd.ok_or_else(|| ConfigError("NODE_LISTEN_FD is not a descriptor".to_owned()))?);
    }
    config.shared_folder = std::env::var_os("TMPDIR").map(Into::into);
    Ok(config)
}
