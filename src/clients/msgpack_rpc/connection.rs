//! The actor of one client connection: it reads calls, passes requests to the core and writes the
//! answers.

mod calls;

use super::answers::AnswerQueue;
use super::errors::{CloseReason, ConnectionError, ProtocolError};
use super::input::Input;
use super::input_buffer::ReadEnd;
use super::open_requests::{OpenRequest, OpenRequests};
use super::silence_limits::SilenceLimits;
use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::pending::PendingGuard;
use crate::clients::{Frontend, outcome_counter};
use crate::core::Answer;
use crate::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Maximum number of times that the buffer of a connection is filled before other connections are
/// served.
const MAX_READS_PER_TURN: usize = 4;

/// A client connection with all of its state.
pub(super) struct Connection {
    stream: TcpStream,
    frontend: Frontend,
    input: Input,
    answer_queue: AnswerQueue,
    open_requests: Arc<OpenRequests>,
    /// Message id of the latest call; 0 before the first.
    last_message_id: u64,
    /// When the latest call arrived or the latest request was answered.
    idle_since: Instant,
    slot: ConnectionSlot,
    /// Number of calls that were refused with an error at once, and of unknown notifications.
    bad_calls: usize,
    /// When the socket may be read again.
    next_read: Instant,
    /// Present while a graceful shutdown has to wait for this connection.
    pending: Option<PendingGuard>,
    /// Whether the connection was evicted for another one. It is closed at once, or, if a message
    /// is incomplete, when the rest does not arrive in time. A complete call withdraws the
    /// eviction.
    evicted: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, slot: ConnectionSlot, frontend: Frontend) -> Connection {
        Connection {
            stream,
            input: Input::new(&frontend),
            answer_queue: AnswerQueue::new(&frontend),
            open_requests: Arc::default(),
            last_message_id: 0,
            idle_since: Instant::now(),
            slot,
            bad_calls: 0,
            next_read: Instant::now(),
            pending: None,
            evicted: false,
            frontend,
        }
    }

    /// Serves the connection until it ends. Its drop cancels the requests that are still open on it.
    pub(super) async fn run(mut self) {
        let connection = self.slot.connection_id();
        match self.serve().await {
            Ok(reason) => {
                tracing::debug!(connection, ?reason, "client connection is being closed");
                self.close().await;
            }
            Err(error) => {
                let open_requests = self.open_requests.len();
                tracing::debug!(
                    connection,
                    %error,
                    open_requests,
                    "client connection lost; its open requests are cancelled"
                );
            }
        }
    }

    /// Closes the connection in an orderly way, so that answers on their way still reach the
    /// client.
    async fn close(&mut self) {
        // A graceful shutdown of the process also waits for this close.
        self.set_pending(true);
        let _ = self.stream.shutdown().await;
        // A client sends a call again if the connection is closed while the call is on its way.
        // Without lingering, such a call would reset the connection, and answers on their way would
        // be lost.
        net::linger(&self.stream, self.linger_timeout()).await;
    }

    /// How long to wait until the client closes its side too. An evicted connection waits for a
    /// short time only, because another one needs its slot.
    fn linger_timeout(&self) -> Duration {
        let unread_timeout = self.frontend.limits.unread_answer_linger_timeout;
        if !self.evicted && self.answer_queue.was_written_within(unread_timeout) {
            unread_timeout
        } else {
            self.silence_limits().linger
        }
    }

    /// Serves the connection until it can be closed with no request open and no answer unread.
    ///
    /// # Errors
    ///
    /// If the connection is lost, or is dropped because the client does not read its answers or
    /// sends too many bytes after an invalid message.
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
            if idle && self.has_too_many_bad_calls() {
                return Ok(CloseReason::TooManyBadCalls);
            }
            let idle_deadline = self.idle_deadline();
            let read_is_due = self.next_read <= Instant::now();
            let next_read = self.next_read;
            let write_deadline = self.answer_queue.write_deadline();
            tokio::select! {
                biased;
                (request, answer) = self.open_requests.next_answer() => self.handle_answer(&request, &answer),
                ready = self.stream.writable(), if !self.answer_queue.is_empty() => ready?,
                ready = self.stream.readable(), if read_is_due && !self.answer_queue.is_full() => {
                    ready?;
                    self.receive().await?;
                }
                () = sleep_until(next_read), if !read_is_due => {}
                () = sleep_until(idle_deadline), if idle => {
                    if self.is_still_silent().await? {
                        return Ok(CloseReason::Silent);
                    }
                }
                () = sleep_until(write_deadline), if !self.answer_queue.is_empty() => {
                    self.frontend.metrics.client_read_timeouts.increment();
                    return Err(ConnectionError::WriteTimeout);
                }
                // While draining, the rest of an incomplete message is awaited up to the idle
                // deadline.
                () = self.slot.asked_to_close(), if idle && (self.input.is_empty() || !draining) => {
                    // The drain may have begun during the wait.
                    let draining = self.is_draining();
                    if self.handle_close_request(draining).await? {
                        return Ok(if draining { CloseReason::Draining } else { CloseReason::Evicted });
                    }
                }
            }
        }
    }

    /// Checks at the idle deadline whether the client has sent nothing until now.
    async fn is_still_silent(&mut self) -> Result<bool, ConnectionError> {
        self.receive_before_close().await?;
        let silent = self.is_idle() && self.idle_deadline() <= Instant::now();
        if silent && self.input.incomplete_since().is_some() {
            self.frontend.metrics.client_read_timeouts.increment();
        }
        Ok(silent)
    }

    /// Handles the request to close. Returns whether the connection can be closed at once. An
    /// evicted connection with an incomplete message stays open until the rest arrives or the time
    /// limit for it is over.
    async fn handle_close_request(&mut self, draining: bool) -> Result<bool, ConnectionError> {
        self.receive_before_close().await?;
        let idle = self.is_idle();
        self.evicted = !draining && idle;
        if idle && self.input.is_empty() {
            return Ok(true);
        }
        if !self.evicted {
            self.slot.withdraw_close_request();
        }
        Ok(false)
    }

    /// Whether no request is open and all answers have been written.
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.answer_queue.is_empty()
    }

    fn is_draining(&self) -> bool {
        self.frontend.lifecycle.current().is_draining()
    }

    /// When the connection is closed if it stays idle. A client that has sent no call yet, or only
    /// part of a message, uses a slot and memory, so its time is shorter than that of a client that
    /// was answered.
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

    /// Updates the connection's slot, its memory reservation and the gauge of pending connections.
    fn update_accounting(&mut self) {
        let queued_bytes = self.answer_queue.update_reservation();
        let open_requests = self.open_requests.len() + usize::from(queued_bytes > 0);
        self.slot.set_open_requests(open_requests);
        // A graceful shutdown waits for the rest of an incomplete message, and for the orderly
        // close of a connection that is drained.
        let being_drained = self.last_message_id > 0 && self.is_draining();
        self.set_pending(!self.is_idle() || !self.input.is_empty() || being_drained);
    }

    fn set_pending(&mut self, pending: bool) {
        if pending {
            self.pending
                .get_or_insert_with(|| PendingGuard::new(&self.frontend.metrics));
        } else {
            self.pending = None;
        }
    }

    /// Reads the bytes that arrived before a close. It yields to the runtime first, because bytes
    /// that the runtime has not polled from the socket yet would count as not arrived.
    async fn receive_before_close(&mut self) -> Result<(), ConnectionError> {
        tokio::task::yield_now().await;
        self.receive().await
    }

    /// Reads the bytes that have arrived, up to [`MAX_READS_PER_TURN`] times, and handles the complete
    /// messages in them.
    ///
    /// # Errors
    ///
    /// If the client has closed its side of the connection, even if it sent calls before. A full
    /// close cannot be distinguished from a half close, and after a full close nobody would read an
    /// answer.
    async fn receive(&mut self) -> Result<(), ConnectionError> {
        if self.has_too_many_bad_calls() {
            self.next_read = Instant::now() + self.frontend.limits.bad_client_read_interval;
            return self.receive_buffer().await.map(|_| ());
        }
        for _ in 0..MAX_READS_PER_TURN {
            if self.receive_buffer().await? == ReadEnd::AllRead {
                return Ok(());
            }
        }
        // More has arrived. The other connections are served first.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// Reads once into the buffer, and handles the complete messages in it. Returns whether more
    /// bytes may have arrived.
    async fn receive_buffer(&mut self) -> Result<ReadEnd, ConnectionError> {
        if net::is_closed_by_peer(&self.stream) {
            return Err(ConnectionError::ClosedByClient);
        }
        let read_end = self.input.receive(&self.stream)?;
        if read_end == ReadEnd::EndOfStream {
            return Err(ConnectionError::ClosedByClient);
        }
        if self.input.is_discarding() {
            self.input.discard()?;
        } else if let Err(error) = self.handle_messages().await {
            self.stop_reading(&error);
        }
        Ok(read_end)
    }

    /// Reads no more messages. Earlier calls are answered before the close. An immediate close with
    /// unread bytes would reset the connection, and answers on their way would be lost.
    fn stop_reading(&mut self, error: &ProtocolError) {
        let connection = self.slot.connection_id();
        tracing::debug!(
            connection,
            %error,
            "reading from the client connection stopped; open requests are still answered"
        );
        self.frontend.metrics.client_malformed.increment();
        self.input.start_discarding();
    }

    /// Queues the core's answer to a request.
    fn handle_answer(&mut self, request: &OpenRequest, answer: &Answer) {
        self.idle_since = Instant::now();
        let outcomes = &request.outcomes;
        let counter = if self.queue_answer(request.message_id, answer) {
            outcome_counter(outcomes, answer)
        } else {
            &outcomes.failed
        };
        counter.increment();
    }

    /// Queues an answer. Returns false if the client gets an error in place of a result.
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

impl Drop for Connection {
    /// Cancels the open requests, also if the task of the connection ends by a panic.
    fn drop(&mut self) {
        let open_requests = self.open_requests.cancel_all();
        self.frontend.core.notify_disconnects(open_requests);
    }
}
