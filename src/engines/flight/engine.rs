//! The actor of one engine. It starts and cancels the tasks of attempts, and ends once it is idle
//! and has no connection.

use super::attempt::run_attempt;
use super::cancellation::report_aborted;
use super::engine_link::EngineLink;
use super::http2_connection::Http2Connection;
use crate::core::AttemptRequest;
use crate::decision::{EngineId, EngineState};
use crate::engines::admission::AttemptAdmission;
use crate::engines::context::{AfterCancellation, AttemptId, EngineContext, EngineMessage};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

/// Runs the actor of one engine. It ends once the engine has been idle without a connection for the
/// idle timeout, or once the engine has been removed from the endpoint list and its attempts have
/// ended.
pub(crate) async fn run(
    engine: EngineId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<EngineMessage>,
    context: EngineContext,
    admission: Arc<AttemptAdmission>,
) {
    let link = EngineLink::new(engine, address, context, admission);
    let mut engine = Engine::new(link);
    while engine.is_listed || !engine.tasks.is_empty() {
        let wake_at = engine.wake_at();
        tokio::select! {
            message = messages.recv(), if engine.is_listed => match message {
                Some(message) => engine.handle_message(message),
                None => engine.handle_removal(),
            },
            Some(finished) = engine.tasks.join_next_with_id(), if !engine.tasks.is_empty() => {
                engine.handle_finished_task(finished);
            }
            () = sleep_until(wake_at) => if engine.close_at.take().is_some() {
                engine.close_connections().await;
            } else if engine.is_idle() && messages.is_empty() {
                // No message can be lost: there is no await point between this check and the
                // closing of the mailbox.
                return;
            }
        }
    }
}

/// The running task of an attempt.
struct AttemptTask {
    attempt: AttemptId,
    handle: AbortHandle,
    /// The connection of the attempt, set once it has one.
    connection: Arc<OnceLock<Http2Connection>>,
    /// Set once the core has cancelled the attempt.
    cancelled: Option<AfterCancellation>,
}

/// The state of the actor.
struct Engine {
    link: Arc<EngineLink>,
    tasks: JoinSet<()>,
    attempts: HashMap<Id, AttemptTask>,
    /// The engine is still in the endpoint list, so its mailbox may receive messages.
    is_listed: bool,
    /// When the connections of a removed engine are closed.
    close_at: Option<Instant>,
}

impl Engine {
    fn new(link: EngineLink) -> Engine {
        Engine {
            link: Arc::new(link),
            tasks: JoinSet::new(),
            attempts: HashMap::new(),
            is_listed: true,
            close_at: None,
        }
    }

    /// When the actor wakes if no message arrives and no task finishes.
    fn wake_at(&self) -> Instant {
        let idle_timeout = self.link.context().limits.engine_idle_timeout;
        self.close_at
            .unwrap_or_else(|| Instant::now() + idle_timeout)
    }

    fn handle_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::StartAttempt(request) => self.start_attempt(*request),
            EngineMessage::CancelAttempt {
                attempt,
                after_cancellation,
            } => self.cancel_attempt(attempt, after_cancellation),
            // Flight SQL has no message that changes a priority. Each attempt checks the admission
            // itself.
            EngineMessage::SetPriority { .. } | EngineMessage::ManualEjectionChanged => {}
            EngineMessage::StateChanged(EngineState::Removed) => self.close_after_grace(),
            EngineMessage::StateChanged(_) => self.close_at = None,
        }
    }

    fn start_attempt(&mut self, request: AttemptRequest) {
        let attempt = AttemptId::from(&request);
        let connection = Arc::<OnceLock<Http2Connection>>::default();
        let task = run_attempt(self.link.clone(), request, connection.clone());
        let handle = self.tasks.spawn(task);
        let task = AttemptTask {
            attempt,
            handle,
            connection,
            cancelled: None,
        };
        self.attempts.insert(task.handle.id(), task);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId, after_cancellation: AfterCancellation) {
        let tasks = self.attempts.values_mut();
        for task in tasks.filter(|task| task.attempt == attempt) {
            task.cancelled = task.cancelled.or(Some(after_cancellation));
            task.handle.abort();
        }
    }

    /// Called once the mailbox is closed and will receive no more messages.
    fn handle_removal(&mut self) {
        self.is_listed = false;
        self.close_after_grace();
    }

    /// Schedules the closing of a removed engine's connections after a grace period, in which its
    /// attempts may end.
    fn close_after_grace(&mut self) {
        let grace = self.link.context().limits.removed_engine_grace;
        self.close_at.get_or_insert_with(|| Instant::now() + grace);
    }

    /// A task that ran to completion has reported the end of its attempt. For an aborted task,
    /// starts another task that reports the end.
    fn handle_finished_task(&mut self, finished: Result<(Id, ()), JoinError>) {
        let (id, was_aborted) = match &finished {
            Ok((id, ())) => (*id, false),
            Err(error) => (error.id(), true),
        };
        let Some(task) = self.attempts.remove(&id) else {
            return;
        };
        if was_aborted {
            self.tasks.spawn(report_aborted(
                self.link.clone(),
                task.attempt,
                task.connection,
                task.cancelled,
            ));
        }
    }

    fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.link.is_unconnected()
    }

    /// Closes the connections of a removed engine that has not closed them itself, and aborts the
    /// tasks of the remaining attempts, which may have run.
    async fn close_connections(&mut self) {
        self.link.close_connection().await;
        for task in self.attempts.values() {
            if let Some(connection) = task.connection.get() {
                connection.close();
            }
            task.handle.abort();
        }
    }
}
