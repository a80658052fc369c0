//! Engines, by the protocol that they speak: one actor an engine, which owns its connections.

pub(crate) mod flight;
pub(crate) mod lines;
mod place;
mod reply;
#[cfg(test)]
mod tests;

use crate::config::Listed;
use crate::core::{Ask, EngineNews, EnginePort, Handle, Input};
use crate::counters::Counters;
use crate::interface::{EngineId, ListState, LoadReport, RequestId};
use crate::limits::{Limits, Stock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;

/// What every engine's actor holds.
#[derive(Clone)]
pub(crate) struct House {
    pub(crate) core: Handle,
    pub(crate) limits: Arc<Limits>,
    pub(crate) counters: Arc<Counters>,
    /// Whether the engines speak Flight SQL and not lines.
    pub(crate) flight: bool,
    /// Bytes of results that are not whole yet.
    pub(crate) held: Arc<Stock>,
}

impl House {
    /// Tells the core news of an attempt.
    pub(crate) async fn tell(
        &self,
        engine: EngineId,
        (id, attempt): (RequestId, u16),
        report: LoadReport,
        news: EngineNews,
    ) {
        self.core.tell(Input::Engine { engine, id, attempt, report, news }).await;
    }
}

#[cfg(test)]
impl House {
    /// One for tests of a single engine's actor.
    pub(crate) fn for_tests(core: Handle) -> House {
        let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":1,"giveUpMs":9}],
            "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
            "limits":{"attemptsCap":6}}"#;
        let parsed = crate::settings::parse(text.as_bytes()).expect("settings");
        let limits = Arc::new(Limits::new(256, 32, true, &parsed));
        House { core, limits, counters: Arc::default(), flight: false, held: Arc::default() }
    }
}

/// What an engine's actor is told.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Ask(Ask),
    /// Given up; and whether another attempt may follow.
    Quit(RequestId, u16, bool),
    Priority(RequestId, u16, u8),
    /// The list's word on it.
    Listed(ListState),
    /// Staff took it out, or gave it back.
    Banned,
}

struct Peer {
    address: SocketAddr,
    orders: mpsc::Sender<Order>,
    /// Whether staff took it out. Read before anything new is written, so that no queue of orders delays it.
    banned: Arc<AtomicBool>,
}

/// All engines that the list has named.
pub(crate) struct Fleet {
    house: House,
    peers: HashMap<EngineId, Peer>,
}

impl Fleet {
    pub(crate) fn new(house: House) -> Fleet {
        Fleet { house, peers: HashMap::new() }
    }

    fn tell(&self, engine: EngineId, order: Order) -> bool {
        self.peers.get(&engine).is_some_and(|p| p.orders.try_send(order).is_ok())
    }
}

impl EnginePort for Fleet {
    fn ask(&mut self, engine: EngineId, ask: Ask) -> bool {
        self.tell(engine, Order::Ask(ask))
    }

    fn quit(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool) {
        self.tell(engine, Order::Quit(id, attempt, again));
    }

    fn priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8) {
        self.tell(engine, Order::Priority(id, attempt, priority));
    }

    fn listed(&mut self, line: &Listed) {
        let (engine, state) = (line.entry.engine, line.entry.state);
        let moved = self.peers.get(&engine).is_none_or(|p| p.address != line.address || p.orders.is_closed());
        if moved && state == ListState::Ready && self.peers.len() < self.house.limits.engines {
            let (orders, mailbox) = mpsc::channel(self.house.limits.mailbox);
            let (house, banned) = (self.house.clone(), Arc::<AtomicBool>::default());
            let shut = banned.clone();
            match house.flight {
                true => tokio::spawn(flight::run(engine, line.address, mailbox, house, shut)),
                false => tokio::spawn(lines::run(engine, line.address, mailbox, house, shut)),
            };
            self.peers.insert(engine, Peer { address: line.address, orders, banned });
        }
        self.tell(engine, Order::Listed(state));
        if state == ListState::Gone {
            self.dropped(engine);
        }
    }

    fn banned(&mut self, engine: EngineId, out: bool) {
        if let Some(peer) = self.peers.get(&engine) {
            peer.banned.store(out, Ordering::Relaxed);
        }
        self.tell(engine, Order::Banned);
    }

    /// Its actor ends with its mailbox, once its attempts are over.
    fn dropped(&mut self, engine: EngineId) {
        self.peers.remove(&engine);
    }
}
