//! Engines, by the protocol that they speak: one actor an engine, which owns its connections and lives as long as it
//! has any. Without one an engine costs its entry in the list alone.

mod admission;
mod context;
pub(crate) mod flight;
pub(crate) mod lines;
mod load;
#[cfg(test)]
mod many;
mod place;
mod reply;
mod slots;
#[cfg(test)]
mod tests;

use crate::core::{AttemptRequest, EnginePort};
use crate::decision::{EngineId, EngineState, RequestId};
use crate::node_config::EngineRecord;
use admission::Admission;
pub(crate) use context::EngineContext;
use context::Order;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, error::TrySendError};

struct Peer {
    address: SocketAddr,
    /// Its actor's mailbox, once it has had one: it ends with its last connection, and comes back with the next attempt.
    orders: Option<mpsc::Sender<Order>>,
    admission: Arc<Admission>,
}

/// All engines that the list has named.
pub(crate) struct Fleet {
    context: EngineContext,
    peers: HashMap<EngineId, Peer>,
}

impl Fleet {
    pub(crate) fn new(context: EngineContext) -> Fleet {
        Fleet {
            context,
            peers: HashMap::new(),
        }
    }

    /// Tells its actor, if there is one.
    fn tell(&self, engine: EngineId, order: Order) {
        if let Some(orders) = self.peers.get(&engine).and_then(|p| p.orders.as_ref()) {
            let _ = orders.try_send(order);
        }
    }
}

impl EnginePort for Fleet {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        let Some(peer) = self.peers.get_mut(&engine) else {
            return false;
        };
        let mut order = Order::Ask(Box::new(ask));
        if let Some(orders) = &peer.orders {
            match orders.try_send(order) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                Err(TrySendError::Closed(unread)) => order = unread,
            }
        }
        let (orders, mailbox) = mpsc::channel(self.context.limits.mailbox_messages);
        let (context, admission) = (self.context.clone(), peer.admission.clone());
        match context.flight {
            true => tokio::spawn(flight::run(
                engine,
                peer.address,
                mailbox,
                context,
                admission,
            )),
            false => tokio::spawn(lines::run(
                engine,
                peer.address,
                mailbox,
                context,
                admission,
            )),
        };
        peer.orders.insert(orders).try_send(order).is_ok()
    }

    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool) {
        self.tell(engine, Order::Quit(id, attempt, again));
    }

    fn set_priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8) {
        self.tell(engine, Order::Priority(id, attempt, priority));
    }

    fn engine_listed(&mut self, line: &EngineRecord) {
        let (engine, state) = (line.entry.engine, line.entry.state);
        let moved = self
            .peers
            .get(&engine)
            .is_none_or(|p| p.address != line.address);
        if moved && state == EngineState::Ready {
            // Guard: what is on its way to the old address would reach whoever has it now, if anybody.
            self.engine_removed(engine);
            let peer = Peer {
                address: line.address,
                orders: None,
                admission: Arc::default(),
            };
            self.peers.insert(engine, peer);
        }
        if let Some(peer) = self.peers.get(&engine) {
            peer.admission.drain(state != EngineState::Ready);
        }
        self.tell(engine, Order::Listed(state));
        if state == EngineState::Removed {
            self.engine_removed(engine);
        }
    }

    fn set_manually_ejected(&mut self, engine: EngineId, out: bool) {
        if let Some(peer) = self.peers.get(&engine) {
            peer.admission.ban(out);
        }
        self.tell(engine, Order::Banned);
    }

    /// Its actor ends with its mailbox, once its attempts are over.
    fn engine_removed(&mut self, engine: EngineId) {
        if let Some(peer) = self.peers.remove(&engine) {
            peer.admission.drain(true);
        }
    }
}
