//! The platform's engines: a line protocol over TCP. One actor an engine hands attempts to its connections,
//! each an actor too.

mod answers;
mod connection;

use super::admission::Admission;
use super::context::{EngineContext, Order};
use super::load::Load;
use super::place::{Conn, Place, place};
use super::slots::Slot;
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::{EngineId, Idempotency, Outcome};
use connection::{Connection, ReturnPath};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Runs one engine as long as it has connections, or until the list drops it and its attempts are over.
pub(crate) async fn run(
    id: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<Order>,
    context: EngineContext,
    admission: Arc<Admission>,
) {
    // Holds no more than the core's attempts on this engine.
    let (asks, mut returned) = mpsc::unbounded_channel();
    let back = ReturnPath {
        asks,
        broken: Arc::default(),
    };
    let mut engine = Engine {
        id,
        address,
        context,
        admission,
        back,
        conns: Vec::new(),
    };
    loop {
        let order = tokio::select! {
            biased;
            // First: what a closed connection gave back is placed before an order that could take it back.
            Some(returned) = returned.recv() => returned.map(Order::Ask),
            order = orders.recv() => match order {
                Some(order) => Some(order),
                None => return,
            },
        };
        engine.conns.retain(|c| !c.orders.is_closed());
        match order {
            Some(Order::Ask(ask)) => engine.ask(ask).await,
            Some(order) => engine.tell_connections(&order),
            None if engine.conns.is_empty() && returned.is_empty() && orders.is_empty() => {
                return engine.retire(orders).await;
            }
            None => {}
        }
    }
}

/// One engine, as its actor holds it.
struct Engine {
    id: EngineId,
    address: SocketAddr,
    context: EngineContext,
    admission: Arc<Admission>,
    back: ReturnPath,
    conns: Vec<Conn>,
}

impl Engine {
    /// Each connection knows its own attempts.
    fn tell_connections(&self, order: &Order) {
        for conn in &self.conns {
            let _ = conn.orders.try_send(order.clone());
        }
    }

    /// Hands an attempt to one of the connections, or to a new one.
    async fn ask(&mut self, ask: Box<AttemptRequest>) {
        // Guard: what a broken connection gave back finds no new one to what drains or was taken out meanwhile.
        if self.admission.closed() {
            return self.turn_down(&ask, Outcome::NoConnection).await;
        }
        let once = ask.class.class.idempotency == Idempotency::NonIdempotent;
        let conn = match place(&self.conns, once, &self.context) {
            Place::On(conn) => conn,
            Place::New(slot, load) => self.connect(slot, load),
            Place::Nowhere => return self.turn_down(&ask, Outcome::NoConnectionSlot).await,
        };
        let conn = &self.conns[conn];
        conn.load.add(once, self.context.core.now());
        if let Err(refused) = conn.orders.try_send(Order::Ask(ask)) {
            conn.load.take_off(once);
            if let Order::Ask(ask) = refused.into_inner() {
                self.tell_unsent(&ask, Outcome::NoConnection).await;
            }
        }
    }

    /// Starts a connection; returns its place.
    fn connect(&mut self, slot: Slot, load: Arc<Load>) -> usize {
        let (orders, mailbox) = mpsc::channel(self.context.limits.mailbox_messages);
        let (back, context, admission) = (
            self.back.clone(),
            self.context.clone(),
            self.admission.clone(),
        );
        let connection = Connection::new(self.id, mailbox, back, load.clone(), context, admission);
        tokio::spawn(connection.run(self.address, slot));
        self.conns.push(Conn { orders, load });
        self.conns.len() - 1
    }

    /// Tells the end of an attempt that finds no connection; an engine without any is over then.
    async fn turn_down(&self, ask: &AttemptRequest, outcome: Outcome) {
        self.tell_unsent(ask, outcome).await;
        let _ = self.back.asks.send(None);
    }

    async fn tell_unsent(&self, ask: &AttemptRequest, outcome: Outcome) {
        self.context
            .tell_end(self.id, ask, AttemptEvent::end(outcome))
            .await;
    }

    /// The last connection is over. Guard: what is handed over from now on finds the mailbox closed, and begins a new
    /// actor; what came just before goes back as it was.
    async fn retire(&self, mut orders: mpsc::Receiver<Order>) {
        orders.close();
        while let Ok(order) = orders.try_recv() {
            if let Order::Ask(ask) = order {
                self.tell_unsent(&ask, Outcome::NoConnectionSlot).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
