//! The platform's engines: a line protocol over TCP. One actor an engine hands attempts to its connections,
//! each an actor too.

mod answers;
mod connection;
mod timers;

use super::admission::Admission;
use super::connection_choice::{ConnectionChoice, ConnectionEntry, choose_connection};
use super::connection_load::{ConnectionLoad, ConnectionUse};
use super::connection_slots::ConnectionSlot;
use super::context::{EngineContext, EngineMessage};
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::{EngineId, Outcome};
use connection::{Connection, ReturnPath};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Runs one engine as long as it has connections, or until the list drops it and its attempts are over.
pub(crate) async fn run(
    id: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<EngineMessage>,
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
            Some(returned) = returned.recv() => returned.map(EngineMessage::StartAttempt),
            order = orders.recv() => match order {
                Some(order) => Some(order),
                None => return,
            },
        };
        engine.conns.retain(|c| !c.mailbox.is_closed());
        match order {
            Some(EngineMessage::StartAttempt(ask)) => engine.ask(ask).await,
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
    conns: Vec<ConnectionEntry>,
}

impl Engine {
    /// Each connection knows its own attempts.
    fn tell_connections(&self, order: &EngineMessage) {
        for conn in &self.conns {
            let _ = conn.mailbox.try_send(order.clone());
        }
    }

    /// Hands an attempt to one of the connections, or to a new one.
    async fn ask(&mut self, ask: Box<AttemptRequest>) {
        // Guard: what a broken connection gave back finds no new one to what drains or was taken out meanwhile.
        if self.admission.is_closed() {
            return self.turn_down(&ask, Outcome::NoConnection).await;
        }
        let once = ConnectionUse::of(&ask);
        let conn = match choose_connection(&self.conns, once, &self.context) {
            ConnectionChoice::Existing(conn) => conn,
            ConnectionChoice::New { slot, load } => self.connect(slot, load),
            ConnectionChoice::NoSlot => {
                return self.turn_down(&ask, Outcome::NoConnectionSlot).await;
            }
        };
        let conn = &self.conns[conn];
        conn.load.begin_attempt(once, self.context.core.now());
        if let Err(refused) = conn.mailbox.try_send(EngineMessage::StartAttempt(ask)) {
            conn.load.end_attempt(once);
            if let EngineMessage::StartAttempt(ask) = refused.into_inner() {
                self.tell_unsent(&ask, Outcome::NoConnection).await;
            }
        }
    }

    /// Starts a connection; returns its place.
    fn connect(&mut self, slot: ConnectionSlot, load: Arc<ConnectionLoad>) -> usize {
        let (mailbox, messages) = mpsc::channel(self.context.limits.mailbox_messages);
        let (back, context, admission) = (
            self.back.clone(),
            self.context.clone(),
            self.admission.clone(),
        );
        let connection = Connection::new(self.id, messages, back, load.clone(), context, admission);
        tokio::spawn(connection.run(self.address, slot));
        self.conns.push(ConnectionEntry { mailbox, load });
        self.conns.len() - 1
    }

    /// Tells the end of an attempt that finds no connection; an engine without any is over then.
    async fn turn_down(&self, ask: &AttemptRequest, outcome: Outcome) {
        self.tell_unsent(ask, outcome).await;
        let _ = self.back.asks.send(None);
    }

    async fn tell_unsent(&self, ask: &AttemptRequest, outcome: Outcome) {
        self.context
            .send_event_without_report(self.id, ask.into(), AttemptEvent::end(outcome))
            .await;
    }

    /// The last connection is over. Guard: what is handed over from now on finds the mailbox closed, and begins a new
    /// actor; what came just before goes back as it was.
    async fn retire(&self, mut orders: mpsc::Receiver<EngineMessage>) {
        orders.close();
        while let Ok(order) = orders.try_recv() {
            if let EngineMessage::StartAttempt(ask) = order {
                self.tell_unsent(&ask, Outcome::NoConnectionSlot).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
