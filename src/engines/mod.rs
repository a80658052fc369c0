//! Engines, by the protocol that they speak: one actor an engine, which owns its connections and lives as long as it
//! has any. Without one an engine costs its entry in the list alone.

pub(crate) mod flight;
mod gate;
pub(crate) mod lines;
#[cfg(test)]
mod many;
mod place;
mod reply;
mod slots;
#[cfg(test)]
mod tests;

use crate::config::Listed;
use crate::core::{Ask, EngineNews, EnginePort, Handle, Input};
use crate::counters::Counters;
use crate::interface::{EngineId, ListState, LoadReport, RequestId};
use crate::limits::{Limits, Stock};
use gate::Gate;
use slots::Slots;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, error::TrySendError};

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
    /// Descriptors of connections to engines.
    pub(crate) slots: Arc<Slots>,
}

impl House {
    pub(crate) fn new(core: Handle, limits: Arc<Limits>, counters: Arc<Counters>, flight: bool) -> House {
        let slots = Slots::new(limits.clone(), counters.clone());
        House { core, limits, counters, flight, held: Arc::default(), slots }
    }

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
    /// One for tests of engines' actors.
    pub(crate) fn for_tests(core: Handle) -> House {
        House::with_sockets(core, 256)
    }

    /// The same with so many descriptors.
    pub(crate) fn with_sockets(core: Handle, sockets: usize) -> House {
        let limits = Arc::new(Limits::new(sockets, 32, true, &House::settings_for_tests()));
        House::new(core, limits, Arc::default(), false)
    }

    /// Settings with one class.
    pub(crate) fn settings_for_tests() -> crate::settings::Parsed {
        let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":5000,"giveUpMs":15000}],
            "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
            "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
        crate::settings::parse(text.as_bytes()).expect("settings")
    }
}

/// What an engine's actor is told.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    /// Boxed, as a mailbox has room for some orders from the start.
    Ask(Box<Ask>),
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
    /// Its actor's mailbox, once it has had one: it ends with its last connection, and comes back with the next attempt.
    orders: Option<mpsc::Sender<Order>>,
    gate: Arc<Gate>,
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

    /// Tells its actor, if there is one.
    fn tell(&self, engine: EngineId, order: Order) {
        if let Some(orders) = self.peers.get(&engine).and_then(|p| p.orders.as_ref()) {
            let _ = orders.try_send(order);
        }
    }
}

impl EnginePort for Fleet {
    fn ask(&mut self, engine: EngineId, ask: Ask) -> bool {
        let Some(peer) = self.peers.get_mut(&engine) else { return false };
        let mut order = Order::Ask(Box::new(ask));
        if let Some(orders) = &peer.orders {
            match orders.try_send(order) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                Err(TrySendError::Closed(unread)) => order = unread,
            }
        }
        let (orders, mailbox) = mpsc::channel(self.house.limits.mailbox);
        let (house, gate) = (self.house.clone(), peer.gate.clone());
        match house.flight {
            true => tokio::spawn(flight::run(engine, peer.address, mailbox, house, gate)),
            false => tokio::spawn(lines::run(engine, peer.address, mailbox, house, gate)),
        };
        peer.orders.insert(orders).try_send(order).is_ok()
    }

    fn quit(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool) {
        self.tell(engine, Order::Quit(id, attempt, again));
    }

    fn priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8) {
        self.tell(engine, Order::Priority(id, attempt, priority));
    }

    fn listed(&mut self, line: &Listed) {
        let (engine, state) = (line.entry.engine, line.entry.state);
        let moved = self.peers.get(&engine).is_none_or(|p| p.address != line.address);
        if moved && state == ListState::Ready {
            // Guard: what is on its way to the old address would reach whoever has it now, if anybody.
            self.dropped(engine);
            let peer = Peer { address: line.address, orders: None, gate: Arc::default() };
            self.peers.insert(engine, peer);
        }
        if let Some(peer) = self.peers.get(&engine) {
            peer.gate.drain(state != ListState::Ready);
        }
        self.tell(engine, Order::Listed(state));
        if state == ListState::Gone {
            self.dropped(engine);
        }
    }

    fn banned(&mut self, engine: EngineId, out: bool) {
        if let Some(peer) = self.peers.get(&engine) {
            peer.gate.ban(out);
        }
        self.tell(engine, Order::Banned);
    }

    /// Its actor ends with its mailbox, once its attempts are over.
    fn dropped(&mut self, engine: EngineId) {
        if let Some(peer) = self.peers.remove(&engine) {
            peer.gate.drain(true);
        }
    }
}
