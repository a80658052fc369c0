//! The workload manager on real sockets.
#![forbid(unsafe_code)]

use magpiechute::config::{Config, ConfigError, Fronts};
use magpiechute::node::Node;
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let done = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| ConfigError(format!("no runtime: {e}")))
        .and_then(|runtime| runtime.block_on(run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("magpiechute: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), ConfigError> {
    let path = std::env::var_os("NODE_CONFIG")
        .ok_or_else(|| ConfigError("NODE_CONFIG does not name a configuration".to_owned()))?;
    let hear = |kind| signal(kind).map_err(|e| ConfigError(format!("cannot hear signals: {e}")));
    // Guard: heard from the first moment on, as SIGHUP would end a program that does not hear it.
    let mut hup = hear(SignalKind::hangup())?;
    let config = load(Path::new(&path))?;
    let fronts = std::env::var_os("MAGPIECHUTE_FRONTS").unwrap_or_else(|| "deploy/fronts.toml".into());
    let fronts = Fronts::load(Path::new(&fronts))?;
    let (mut term, mut int) = (hear(SignalKind::terminate())?, hear(SignalKind::interrupt())?);
    let mut print = hear(SignalKind::user_defined1())?;
    let name = config.name.clone();
    let node = Node::start(config, fronts).await?;
    let ops = node.ops.map_or(String::new(), |at| format!(", is operated at {at}"));
    eprintln!("magpiechute: {name} serves on {}{ops}", node.listen);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => node.reload(load(Path::new(&path))).await,
            _ = print.recv() => eprintln!("magpiechute: {}", node.counters),
        }
    }
    let counters = node.counters.clone();
    let mut end = std::pin::pin!(node.finish());
    loop {
        tokio::select! {
            () = &mut end => break,
            // While it ends there is nothing left to change.
            _ = hup.recv() => {}
        }
    }
    eprintln!("magpiechute: {counters}");
    Ok(())
}

/// The configuration, whole and checked, as a start or SIGHUP finds it.
fn load(path: &Path) -> Result<Config, ConfigError> {
    let mut config = Config::load(path)?;
    if let Ok(listen) = std::env::var("NODE_LISTEN") {
        config.listen =
            listen.parse().map_err(|_| ConfigError(format!("NODE_LISTEN {listen:?} is not an address")))?;
    }
    if let Ok(ops) = std::env::var("NODE_OPS") {
        config.ops =
            Some(ops.parse().map_err(|_| ConfigError(format!("NODE_OPS {ops:?} is not an address")))?);
    }
    if let Ok(fd) = std::env::var("NODE_LISTEN_FD") {
        let fd = fd.parse().ok().filter(|fd| *fd > 2);
        config.listen_fd =
            Some(fd.ok_or_else(|| ConfigError("NODE_LISTEN_FD is not a descriptor".to_owned()))?);
    }
    config.folder = std::env::var_os("TMPDIR").map(Into::into);
    Ok(config)
}
