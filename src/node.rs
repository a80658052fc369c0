//! One running workload manager: its actors, put together from a configuration, and its end.

use crate::clients::{Front, platform};
use crate::config::{Config, ConfigError};
use crate::core::{Clock, Core, Handle, Input, start};
use crate::counters::Counters;
use crate::engines::{Fleet, House};
use crate::limits::Limits;
use crate::list;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// A workload manager at work.
pub struct Node {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Its counters.
    pub counters: Arc<Counters>,
    limits: Arc<Limits>,
    stop: watch::Sender<bool>,
}

impl Node {
    /// Starts everything that the configuration names.
    pub async fn start(config: Config) -> Result<Node, ConfigError> {
        let parsed = Arc::new(config.parsed);
        let limits = Arc::new(Limits::new(config.sockets, &parsed));
        let counters = Arc::new(Counters::default());
        let listener = TcpListener::bind(config.listen)
            .await
            .map_err(|e| ConfigError(format!("cannot listen on {}: {e}", config.listen)))?;
        let listen =
            listener.local_addr().map_err(|e| ConfigError(format!("no address to listen on: {e}")))?;
        let clock = Clock::new();
        let (core, inputs) = Handle::new(limits.mailbox, clock);
        let house = House {
            core: core.clone(),
            parsed: parsed.clone(),
            limits: limits.clone(),
            counters: counters.clone(),
        };
        let (stop, stopping) = watch::channel(false);
        let made = Core::new(
            parsed.settings.clone(),
            config.seed,
            Fleet::new(house),
            limits.clone(),
            counters.clone(),
        );
        tokio::spawn(start(made.map_err(|e| ConfigError(e.to_string()))?, inputs, clock));
        let mut last = config.known;
        for event in config.events {
            last = last.max(event.number);
            core.tell(Input::List(event)).await;
        }
        tokio::spawn(list::follow(config.feed, last, core.clone(), limits.clone(), counters.clone()));
        let front = Front { core, parsed, limits: limits.clone(), counters: counters.clone(), stopping };
        tokio::spawn(platform::listen(listener, front));
        Ok(Node { listen, counters, limits, stop })
    }

    /// Ends as planned: goes on accepting and answering until the late arrivals are in and nothing is open.
    pub async fn finish(self) {
        self.stop.send_replace(true);
        let late = Instant::now() + self.limits.late_arrivals;
        loop {
            sleep(Duration::from_millis(20)).await;
            let owed = self.counters.client_conns_owing.get() + self.counters.open.get();
            if Instant::now() >= late && owed == 0 {
                return;
            }
        }
    }
}
