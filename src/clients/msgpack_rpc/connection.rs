//! One connection of a client: its actor reads calls, passes requests to the core and writes the answers.

mod calls;

use super::answers::{AnswerChannel, AnswerQueue};
use super::errors::{CloseReason, ConnectionError};
use super::input::Input;
use super::silence_limits::SilenceLimits;
use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::pending::PendingGuard;
use crate::clients::{Frontend, outcome_counter};
use crate::core::{Answer, CoreMessage};
use crate::decision::RequestId;
use crate::metrics::ClassOutcomes;
use crate::net;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Answers that the channel from the core holds for each request that may be open.
const CHANNEL_CAPACITY_PER_REQUEST: usize = 2;

/// A client's connection and all of its state.
pub(super) struct Connection {
    stream: TcpStream,
    frontend: Frontend,
    answer_channel: Arc<AnswerChannel>,
    answers: mpsc::Receiver<(RequestId, Answer)>,
    input: Input,
    answer_queue: AnswerQueue,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// Message id of the latest call; 0 before the first.
    last_message_id: u64,
    /// When the latest call came or the latest request ended.
    idle_since: Instant,
    slot: ConnectionSlot,
    /// Calls that were answered with an error on arrival, and unknown notifications.
    bad_calls: usize,
    /// Present while shutdown has to wait for this connection.
    pending: Option<PendingGuard>,
    /// It makes room for another connection: closed at once, or once a message that has begun is complete and answered
    /// or does not continue.
    evicted: bool,
}

/// A request that the core has not answered yet.
struct OpenRequest {
    message_id: u64,
    outcomes: Arc<ClassOutcomes>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, slot: ConnectionSlot, frontend: Frontend) -> Connection {
        let channel_capacity =
            frontend.limits.open_requests_per_client * CHANNEL_CAPACITY_PER_REQUEST;
        let (answer_channel, answers) = AnswerChannel::new(channel_capacity);
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            answer_channel,
            answers,
            input: Input::new(&frontend),
            answer_queue: AnswerQueue::new(&frontend),
            open_requests: HashMap::new(),
            last_message_id: 0,
            idle_since: Instant::now(),
            slot,
            bad_calls: 0,
            pending: None,
            evicted: false,
            frontend,
        }
    }

    /// Serves the connection until it is closed, then withdraws the requests still open on it.
    pub(super) async fn run(mut self) {
        let connection = self.slot.connection_id();
        match self.serve().await {
            Ok(reason) => {
                tracing::debug!(connection, ?reason, "client connection is being closed");
                self.close().await;
            }
            Err(error) => {
                let open_requests = self.open_requests.len();
                tracing::debug!(connection, %error, open_requests, "client connection lost");
            }
        }
        self.answers.close();
        self.set_pending(false);
        for id in std::mem::take(&mut self.open_requests).into_keys() {
            let message = CoreMessage::ClientDisconnected(id);
            self.frontend.core.send(message).await;
        }
    }

    /// Closes the connection in order, so that answers on their way reach the client.
    async fn close(&mut self) {
        // Shutdown of the process waits for the close as well.
        self.set_pending(true);
        let _ = self.stream.shutdown().await;
        // A client sends a call that crosses the close again. Without lingering, such a call would reset the
        // connection and with it an answer on its way.
        net::linger(&self.stream, self.silence_limits().linger).await;
    }

    /// Serves until the connection is to be closed with nothing pending.
    ///
    /// # Errors
    ///
    /// If the client has gone or is given up.
    async fn serve(&mut self) -> Result<CloseReason, ConnectionError> {
        loop {
            self.answer_queue.flush(&self.stream)?;
            self.update_accounting();
            let idle = self.is_idle();
            let draining = self.is_draining();
            if idle && self.input.is_discarding() {
                return Ok(CloseReason::UnreadableInput);
            }
            if idle && self.evicted && self.input.is_empty() {
                return Ok(CloseReason::Evicted);
            }
            let idle_deadline = self.idle_deadline();
            let write_deadline = self.answer_queue.write_deadline();
            tokio::select! {
                biased;
                Some((id, answer)) = self.answers.recv() => self.handle_answer(id, &answer),
                ready = self.stream.writable(), if !self.answer_queue.is_empty() => ready?,
                ready = self.stream.readable(), if !self.answer_queue.is_full() => {
                    ready?;
                    self.receive().await?;
                }
                () = sleep_until(idle_deadline), if idle => {
                    if self.is_still_silent().await? {
                        return Ok(CloseReason::Silent);
                    }
                }
                () = sleep_until(write_deadline), if !self.answer_queue.is_empty() => {
                    self.frontend.metrics.client_read_timeouts.increment();
                    return Err(ConnectionError::WriteTimeout);
                }
                // While draining, a message that has begun is waited for, within its own time limit.
                () = self.slot.asked_to_leave(), if idle && (self.input.is_empty() || !draining) => {
                    if self.handle_leave_request(draining).await? {
                        return Ok(if draining { CloseReason::Draining } else { CloseReason::Evicted });
                    }
                }
            }
        }
    }

    /// Checks, at the idle deadline, whether the client has still sent nothing.
    async fn is_still_silent(&mut self) -> Result<bool, ConnectionError> {
        self.receive_before_close().await?;
        let silent = self.is_idle() && self.idle_deadline() <= Instant::now();
        if silent && self.input.incomplete_since().is_some() {
            self.frontend.metrics.client_read_timeouts.increment();
        }
        Ok(silent)
    }

    /// Handles the request to leave; returns whether the connection can be closed at once. An evicted connection with
    /// part of a message stays open until the rest arrives or its time is over.
    async fn handle_leave_request(&mut self, draining: bool) -> Result<bool, ConnectionError> {
        self.receive_before_close().await?;
        let idle = self.is_idle();
        self.evicted = !draining && idle;
        if idle && self.input.is_empty() {
            return Ok(true);
        }
        if !self.evicted {
            self.slot.withdraw_leave_request();
        }
        Ok(false)
    }

    /// Whether no request is open and no answer is unread.
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.answer_queue.is_empty()
    }

    fn is_draining(&self) -> bool {
        self.frontend.lifecycle.current().is_draining()
    }

    /// When the connection is closed if it stays idle. A client that sends nothing, or only part of a message, holds a
    /// slot and bytes, so its time is shorter than that of one that was answered.
    fn idle_deadline(&self) -> Instant {
        let idle = self.idle_since + self.frontend.limits.client_idle_timeout;
        match self.input.incomplete_since() {
            Some(since) => idle.min(since + self.silence_limits().read_timeout),
            None => idle,
        }
    }

    fn silence_limits(&self) -> SilenceLimits {
        if self.evicted {
            SilenceLimits::evicted(&self.frontend.limits, self.is_draining())
        } else {
            SilenceLimits::not_evicted(&self.frontend.limits)
        }
    }

    /// Brings slot, memory and the gauge of pending connections up to date.
    fn update_accounting(&mut self) {
        let queued_bytes = self.answer_queue.update_reservation();
        let open_requests = self.open_requests.len() + usize::from(queued_bytes > 0);
        self.slot.set_open_requests(open_requests);
        // Part of a message may be completed, and a draining client gets an orderly close: shutdown waits for both.
        let leaving = self.last_message_id > 0 && self.is_draining();
        self.set_pending(!self.is_idle() || !self.input.is_empty() || leaving);
    }

    fn set_pending(&mut self, pending: bool) {
        if pending {
            self.pending
                .get_or_insert_with(|| PendingGuard::new(&self.frontend.metrics));
        } else {
            self.pending = None;
        }
    }

    /// Reads what has arrived before a close. The runtime gets a turn first: what it has not polled from the socket yet
    /// would count as not arrived.
    async fn receive_before_close(&mut self) -> Result<(), ConnectionError> {
        tokio::task::yield_now().await;
        self.receive().await
    }

    /// Reads what has arrived and handles the complete messages in it.
    ///
    /// # Errors
    ///
    /// If the client has closed its side, whatever it sent before: a full close cannot be distinguished from a half
    /// close, and an answer might have no reader.
    async fn receive(&mut self) -> Result<(), ConnectionError> {
        if !self.input.receive(&self.stream)? {
            return Err(ConnectionError::ClosedByClient);
        }
        if self.input.is_discarding() {
            return self.input.discard();
        }
        let handled = self.handle_messages().await;
        let within_memory = self.input.update_reservation();
        if handled.is_err() || !within_memory {
            let (connection, error) = (self.slot.connection_id(), handled.err());
            tracing::debug!(
                connection,
                ?error,
                within_memory,
                "client connection is read no further"
            );
            // Earlier calls are answered before the close. Closing at once, with bytes unread, would reset the
            // connection and lose answers on their way.
            self.frontend.metrics.client_malformed.increment();
            self.input.start_discarding();
        }
        Ok(())
    }

    /// Queues the core's answer to a request, unless the client has cancelled it.
    fn handle_answer(&mut self, id: RequestId, answer: &Answer) {
        let Some(request) = self.open_requests.remove(&id) else {
            return;
        };
        self.idle_since = Instant::now();
        let outcomes = &request.outcomes;
        let counter = if self.queue_answer(request.message_id, answer) {
            outcome_counter(outcomes, answer)
        } else {
            &outcomes.failed
        };
        counter.increment();
    }

    /// Returns false if the client gets an error in place of its result.
    fn queue_answer(&mut self, message_id: u64, answer: &Answer) -> bool {
        match answer {
            Answer::Served(body) => {
                self.slot.mark_served();
                return self.answer_queue.push_result(message_id, body).is_ok();
            }
            Answer::Rejected { retry_after_ms } => self
                .answer_queue
                .push_rejection(message_id, *retry_after_ms),
            Answer::Failed(reason) => self.answer_queue.push_error(message_id, (*reason).into()),
        }
        true
    }
}
