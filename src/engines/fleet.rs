//! All engines of the endpoint list, with an actor for each engine in use.

use super::admission::AttemptAdmission;
use super::context::{AttemptId, EngineContext, EngineMessage};
use super::{flight, line_protocol};
use crate::core::{AttemptRequest, EnginePort};
use crate::decision::{EngineId, EngineState, RequestId};
use crate::node_config::{EngineProtocol, EngineRecord};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, error::TrySendError};

/// One engine of the endpoint list.
struct FleetEntry {
    address: SocketAddr,
    /// The mailbox of the engine's actor; `None` before the first attempt. The actor ends when its
    /// last connection closes, and its mailbox closes too; the next attempt starts a new actor.
    mailbox: Option<mpsc::Sender<EngineMessage>>,
    admission: Arc<AttemptAdmission>,
}

impl FleetEntry {
    fn new(address: SocketAddr) -> FleetEntry {
        FleetEntry {
            address,
            mailbox: None,
            admission: Arc::default(),
        }
    }
}

/// All engines of the endpoint list. An engine that is not in use needs only an entry: no actor and
/// no connection.
pub(crate) struct Fleet {
    context: EngineContext,
    entries: HashMap<EngineId, FleetEntry>,
}

impl Fleet {
    pub(crate) fn new(context: EngineContext) -> Fleet {
        Fleet {
            context,
            entries: HashMap::new(),
        }
    }

    /// The number of engines in the fleet.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Sends a message to the engine's actor, if there is one. If the mailbox is full, the message
    /// is dropped: the core repeats a cancellation, and a new state or a manual ejection takes
    /// effect through [`AttemptAdmission`].
    fn send_to_actor(&self, engine: EngineId, message: EngineMessage) {
        let entry = self.entries.get(&engine);
        if let Some(mailbox) = entry.and_then(|entry| entry.mailbox.as_ref()) {
            let _ = mailbox.try_send(message);
        }
    }
}

/// Starts the actor of an engine and returns the actor's mailbox.
fn spawn_actor(
    engine: EngineId,
    entry: &FleetEntry,
    context: &EngineContext,
) -> mpsc::Sender<EngineMessage> {
    let (mailbox, messages) = mpsc::channel(context.limits.mailbox_messages);
    let admission = entry.admission.clone();
    let address = entry.address;
    let context = context.clone();
    match context.protocol {
        EngineProtocol::Flight => {
            tokio::spawn(flight::run(engine, address, messages, context, admission))
        }
        EngineProtocol::Lines => tokio::spawn(line_protocol::run(
            engine, address, messages, context, admission,
        )),
    };
    mailbox
}

impl EnginePort for Fleet {
    fn start_attempt(&mut self, engine: EngineId, attempt: AttemptRequest) -> bool {
        let Some(entry) = self.entries.get_mut(&engine) else {
            return false;
        };
        let mut message = EngineMessage::StartAttempt(Box::new(attempt));
        if let Some(mailbox) = &entry.mailbox {
            match mailbox.try_send(message) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                Err(TrySendError::Closed(unsent)) => message = unsent,
            }
        }
        let mailbox = spawn_actor(engine, entry, &self.context);
        entry.mailbox.insert(mailbox).try_send(message).is_ok()
    }

    fn cancel_attempt(
        &mut self,
        engine: EngineId,
        request: RequestId,
        number: u16,
        retry_may_follow: bool,
    ) {
        let cancellation = EngineMessage::CancelAttempt {
            attempt: AttemptId { request, number },
            after_cancellation: retry_may_follow.into(),
        };
        self.send_to_actor(engine, cancellation);
    }

    fn set_priority(&mut self, engine: EngineId, request: RequestId, number: u16, priority: u8) {
        let attempt = AttemptId { request, number };
        self.send_to_actor(engine, EngineMessage::SetPriority { attempt, priority });
    }

    fn engine_listed(&mut self, record: &EngineRecord) {
        let engine = record.entry.engine;
        let state = record.entry.state;
        let listed_address = self.entries.get(&engine).map(|entry| entry.address);
        if listed_address != Some(record.address) && state == EngineState::Ready {
            // Unsent attempts for the old address could reach another process that uses it now.
            self.engine_removed(engine);
            self.entries.insert(engine, FleetEntry::new(record.address));
        }
        if let Some(entry) = self.entries.get(&engine) {
            entry.admission.set_not_ready(state != EngineState::Ready);
        }
        self.send_to_actor(engine, EngineMessage::StateChanged(state));
        if state == EngineState::Removed {
            self.engine_removed(engine);
        }
    }

    fn set_manually_ejected(&mut self, engine: EngineId, ejected: bool) {
        if let Some(entry) = self.entries.get(&engine) {
            entry.admission.set_manually_ejected(ejected);
        }
        self.send_to_actor(engine, EngineMessage::ManualEjectionChanged);
    }

    /// Dropping the mailbox ends the actor once its attempts have ended.
    fn engine_removed(&mut self, engine: EngineId) {
        if let Some(entry) = self.entries.remove(&engine) {
            entry.admission.set_not_ready(true);
        }
    }
}
