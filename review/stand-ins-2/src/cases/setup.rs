//! What the cases have in common: the engines, the feed and one workload manager.

use crate::config::{self, Machine};
use crate::manager::{Manager, RunFolder, Start, free_address};
use crate::plan::Plans;
use crate::platform_client::Request;
use crate::{Run, feed, flight_engine, line_engine};
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The protocol of the engines.
#[derive(Clone, Copy, PartialEq)]
pub enum Protocol {
    Lines,
    Flight,
}

/// One workload manager with its engines and its feed. Fields are dropped in their order: the
/// process ends before its folder is removed.
pub struct Site {
    pub manager: Manager,
    pub listen: SocketAddr,
    pub flight: SocketAddr,
    pub plans: Plans,
    pub config: PathBuf,
    feed: SocketAddr,
    engines: Vec<SocketAddr>,
    machine: Machine,
    _folder: RunFolder,
}

impl Site {
    /// Starts everything, with the Flight SQL front end on.
    pub async fn start(
        run: &Run,
        engine_count: usize,
        protocol: Protocol,
        machine: Machine,
    ) -> Result<Site, Box<dyn Error>> {
        let folder = RunFolder::create()?;
        let plans = Plans::new(&run.record);
        let engines = start_engines(engine_count, protocol, &plans).await?;
        let feed = feed::start().await?;
        let (listen, flight, admin) = (free_address()?, free_address()?, free_address()?);
        let config = folder.path().join("config.json");
        let text = config::text(listen, feed, &engines, &machine, &config::settings());
        std::fs::write(&config, text)?;
        let operator_file = folder.path().join("operators.toml");
        let name = if protocol == Protocol::Lines {
            "lines"
        } else {
            "flight"
        };
        let fronts =
            format!("version = 1\n[flight]\nlisten = \"{flight}\"\nengines = \"{name}\"\n");
        std::fs::write(&operator_file, fronts)?;
        let start = Start {
            name: "manager",
            folder: &folder,
            config: &config,
            admin,
            operator_file: Some(&operator_file),
            held_socket: None,
        };
        let manager = Manager::start(start, &run.record).await?;
        Ok(Site {
            manager,
            listen,
            flight,
            plans,
            config,
            feed,
            engines,
            machine,
            _folder: folder,
        })
    }

    /// Replaces the configuration file by one with these settings, and sends SIGHUP. Returns once
    /// the process has counted the load.
    pub async fn reload(&self, settings: &Value) -> Result<(), Box<dyn Error>> {
        let text = config::text(
            self.listen,
            self.feed,
            &self.engines,
            &self.machine,
            settings,
        );
        let replacement = self.config.with_extension("new");
        std::fs::write(&replacement, text)?;
        std::fs::rename(&replacement, &self.config)?;
        self.manager.signal("HUP")?;
        self.manager.wait_for_figure("node.loads=1").await
    }
}

/// Starts this many engines.
pub async fn start_engines(
    count: usize,
    protocol: Protocol,
    plans: &Plans,
) -> std::io::Result<Vec<SocketAddr>> {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(match protocol {
            Protocol::Lines => line_engine::start(number, plans.clone()).await?,
            Protocol::Flight => flight_engine::start(number, plans.clone()).await?,
        });
    }
    Ok(engines)
}

/// A request of a class, with an estimate of its work.
pub fn request<'a>(
    id: u64,
    class: &'a str,
    allow_ms: u64,
    statement: &'a str,
    effort_ms: u64,
) -> Request<'a> {
    Request {
        id,
        class,
        allow_ms,
        statement,
        effort_ms,
    }
}
