//! The actor of one engine. It assigns attempts to connections, opens connections, and ends after
//! the last connection has closed.

use super::connection::Connection;
use super::connection_event_sender::{ConnectionEvent, ConnectionEventSender};
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::{EngineId, Outcome};
use crate::engines::admission::AttemptAdmission;
use crate::engines::carried_references::CarriedReferences;
use crate::engines::connection_choice::{ConnectionChoice, ConnectionEntry, choose_connection};
use crate::engines::connection_load::{ConnectionLoad, ConnectionUse};
use crate::engines::connection_slots::ConnectionSlot;
use crate::engines::context::{EngineContext, EngineMessage};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Runs the actor of one engine as long as the engine has connections, or until the engine is
/// removed from the list and its attempts have ended.
pub(crate) async fn run(
    id: EngineId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<EngineMessage>,
    context: EngineContext,
    admission: Arc<AttemptAdmission>,
) {
    let (event_sender, mut connection_events) = ConnectionEventSender::new();
    let mut engine = Engine {
        id,
        address,
        context,
        admission,
        event_sender,
        connections: Vec::new(),
    };
    loop {
        let message = tokio::select! {
            biased;
            // Polled first, so that an unsent attempt is assigned before a message that may cancel
            // it.
            Some(event) = connection_events.recv() => match event {
                ConnectionEvent::Unsent(attempt) => Some(EngineMessage::StartAttempt(attempt)),
                ConnectionEvent::Closed => None,
            },
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => return,
            },
        };
        engine.remove_unusable_connections();
        match message {
            Some(EngineMessage::StartAttempt(attempt)) => engine.start_attempt(attempt).await,
            Some(message) => engine.send_to_connections(&message),
            None if engine.connections.is_empty()
                && connection_events.is_empty()
                && messages.is_empty() =>
            {
                return engine.stop(messages).await;
            }
            None => {}
        }
    }
}

/// The state of the actor.
struct Engine {
    id: EngineId,
    address: SocketAddr,
    context: EngineContext,
    admission: Arc<AttemptAdmission>,
    event_sender: ConnectionEventSender,
    connections: Vec<ConnectionEntry>,
}

impl Engine {
    /// Removes the entries of connections that are closed, and of idle ones that may carry no
    /// further attempts. Removing the entry of an idle connection closes it.
    fn remove_unusable_connections(&mut self) {
        self.connections
            .retain(|connection| !connection.mailbox.is_closed() && !connection.should_close());
    }

    /// Closes an idle connection: its actor ends once its mailbox is closed. Returns false if no
    /// connection is idle.
    fn close_idle_connection(&mut self) -> bool {
        let idle = self
            .connections
            .iter()
            .position(|entry| entry.load.is_idle());
        idle.map(|index| self.connections.swap_remove(index))
            .is_some()
    }

    /// Sends a message to all connections, because each connection keeps its own list of attempts.
    fn send_to_connections(&self, message: &EngineMessage) {
        for connection in &self.connections {
            let _ = connection.mailbox.try_send(message.clone());
        }
    }

    /// Assigns an attempt to an existing connection or to a new one.
    async fn start_attempt(&mut self, attempt: Box<AttemptRequest>) {
        // An attempt that a failed connection returned must not open another connection to an
        // engine that is draining or ejected by now.
        if self.admission.is_closed() {
            return self
                .end_without_connection(&attempt, Outcome::NoConnection)
                .await;
        }
        let usage = ConnectionUse::of(&attempt);
        let mut choice = choose_connection(&self.connections, &attempt, &self.context);
        // Every connection that the engine may have has carried this reference before. An idle one
        // is closed to make room for a new one.
        if matches!(choice, ConnectionChoice::NoSlot) && self.close_idle_connection() {
            choice = choose_connection(&self.connections, &attempt, &self.context);
        }
        let index = match choice {
            ConnectionChoice::Existing(index) => index,
            ConnectionChoice::New { slot, load } => self.open_connection(slot, load),
            ConnectionChoice::NoSlot => {
                return self
                    .end_without_connection(&attempt, Outcome::NoConnectionSlot)
                    .await;
            }
        };
        let connection = &mut self.connections[index];
        connection.carried.record(&attempt.client_reference);
        connection
            .load
            .begin_attempt(usage, self.context.core.now());
        let start_message = EngineMessage::StartAttempt(attempt);
        if let Err(refused) = connection.mailbox.try_send(start_message) {
            connection.load.end_attempt(usage);
            if let EngineMessage::StartAttempt(attempt) = refused.into_inner() {
                self.report_unsent(&attempt, Outcome::NoConnection).await;
            }
        }
    }

    /// Starts the actor of a new connection, and returns the index of the connection.
    fn open_connection(&mut self, slot: ConnectionSlot, load: Arc<ConnectionLoad>) -> usize {
        let (mailbox, messages) = mpsc::channel(self.context.limits.mailbox_messages);
        let connection = Connection::new(
            self.id,
            slot.number(),
            messages,
            self.event_sender.clone(),
            load.clone(),
            self.context.clone(),
            self.admission.clone(),
        );
        tokio::spawn(connection.run(self.address, slot));
        self.connections.push(ConnectionEntry {
            mailbox,
            load,
            carried: CarriedReferences::new(self.context.limits.references_per_connection),
        });
        self.connections.len() - 1
    }

    /// Reports the end of an attempt that no connection can carry. The actor may have no
    /// connections left and is woken to check whether it ends.
    async fn end_without_connection(&self, attempt: &AttemptRequest, outcome: Outcome) {
        self.report_unsent(attempt, outcome).await;
        self.event_sender.report_closed();
    }

    async fn report_unsent(&self, attempt: &AttemptRequest, outcome: Outcome) {
        self.context
            .send_event_without_report(self.id, attempt.into(), AttemptEvent::end(outcome))
            .await;
    }

    /// Ends the actor after its last connection has closed. An attempt that is sent later finds the
    /// mailbox closed and starts a new actor. An attempt that arrived just before is reported as
    /// unsent.
    async fn stop(&self, mut messages: mpsc::Receiver<EngineMessage>) {
        messages.close();
        while let Ok(message) = messages.try_recv() {
            if let EngineMessage::StartAttempt(attempt) = message {
                self.report_unsent(&attempt, Outcome::NoConnectionSlot)
                    .await;
            }
        }
    }
}
