//! The actor of one connection to an engine. It connects, writes attempts and commands, reads
//! answers, and reports the end of each attempt that was assigned to it.
//!
//! The actor owns its socket, its attempts and the pages of their results. It receives messages
//! from its engine's actor, returns unsent attempts to that actor, and sends events of attempts to
//! the core.

mod answers;
mod attempt_ends;
mod attempt_queue;
mod cancellations;
mod log_events;
mod result_pages;
mod timers;

use super::answer::AnswerError;
use super::command::Command;
use super::connection_event_sender::ConnectionEventSender;
use crate::attempt::AttemptState;
use crate::core::AttemptRequest;
use crate::decision::EngineId;
use crate::engines::admission::AttemptAdmission;
use crate::engines::connection_load::ConnectionLoad;
use crate::engines::connection_slots::ConnectionSlot;
use crate::engines::context::{AttemptId, EngineContext, EngineMessage};
use crate::net::{self, Outbox};
use crate::node_config::format_engine_id;
use attempt_ends::EndedAttempt;
use bytes::{Bytes, BytesMut};
use cancellations::Cancellations;
use result_pages::ResultPages;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use timers::{Timers, is_due};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Number of pages of the largest size that are read at once, before the input is parsed.
const PAGES_PER_READ: usize = 2;

/// Why a connection failed.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error("the socket failed: {0}")]
    Socket(#[from] std::io::Error),
    #[error("the engine sent a malformed answer: {0}")]
    Answer(#[from] AnswerError),
    #[error("a cancellation was not written or confirmed in time")]
    CancellationTimeout,
}

/// Why a connection is closed without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    ClosedByEngine,
    /// The engine was removed from the list, and the attempts did not end within the grace period.
    EngineRemoved,
    /// The engine accepts no attempts, and the connection carries none.
    AdmissionClosed,
    /// The file descriptor is needed for another connection.
    Evicted,
    /// The engine's actor has closed the mailbox, and the connection carries no attempts.
    MailboxClosed,
    Idle,
}

/// Whether a connection continues to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    /// The connection is to be closed without an error.
    Close(CloseReason),
}

/// An attempt that has been written to this connection, or is being written.
struct SentAttempt {
    request: Box<AttemptRequest>,
    /// The state of the attempt. Its marks are counts of bytes written to this connection.
    state: AttemptState,
    /// Pages of the result, once the first page has arrived.
    pages: Option<ResultPages>,
}

/// The attempt whose last bytes are still in the output queue.
struct PartlyWrittenAttempt {
    /// Count of bytes written at which the attempt is complete.
    end_mark: u64,
    reference: Bytes,
}

/// The state of the actor.
pub(super) struct Connection {
    engine: EngineId,
    /// Identifies the connection in the log.
    number: u64,
    context: EngineContext,
    admission: Arc<AttemptAdmission>,
    load: Arc<ConnectionLoad>,
    /// Sends events to the engine's actor, such as the return of an unsent attempt.
    event_sender: ConnectionEventSender,
    mailbox: mpsc::Receiver<EngineMessage>,
    /// Whether the engine's actor has closed the mailbox, so that no more messages arrive.
    mailbox_closed: bool,
    /// Attempts of which nothing has been written yet.
    queued_attempts: VecDeque<Box<AttemptRequest>>,
    /// Attempts that have been written at least in part, by their client reference.
    sent_attempts: HashMap<Bytes, SentAttempt>,
    partly_written: Option<PartlyWrittenAttempt>,
    cancellations: Cancellations,
    /// Attempts whose ends are still to be reported to the core.
    ended_attempts: Vec<EndedAttempt>,
    input: BytesMut,
    output: Outbox,
    idle_since: Instant,
    /// Since when the input has held an incomplete answer.
    partial_answer_since: Option<Instant>,
    /// Progress reports and unexpected answers since the last answer that ended an attempt. An
    /// unexpected answer counts as `Limits::unexpected_answer_weight` answers.
    answers_since_attempt_end: usize,
    /// When the connection is closed even with open attempts, because its engine was removed from
    /// the list or its mailbox was closed.
    close_at: Option<Instant>,
}

impl Connection {
    pub(super) fn new(
        engine: EngineId,
        number: u64,
        mailbox: mpsc::Receiver<EngineMessage>,
        event_sender: ConnectionEventSender,
        load: Arc<ConnectionLoad>,
        context: EngineContext,
        admission: Arc<AttemptAdmission>,
    ) -> Connection {
        Connection {
            engine,
            number,
            context,
            admission,
            load,
            event_sender,
            mailbox,
            mailbox_closed: false,
            queued_attempts: VecDeque::new(),
            sent_attempts: HashMap::new(),
            partly_written: None,
            cancellations: Cancellations::default(),
            ended_attempts: Vec::new(),
            input: BytesMut::new(),
            output: Outbox::default(),
            idle_since: Instant::now(),
            partial_answer_since: None,
            answers_since_attempt_end: 0,
            close_at: None,
        }
    }

    /// Connects, serves until the connection closes, and reports the ends of all remaining
    /// attempts.
    pub(super) async fn run(mut self, address: SocketAddr, mut slot: ConnectionSlot) {
        let stream = self.connect(address, &mut slot).await;
        let was_connected = stream.is_some();
        if let Some(stream) = stream {
            self.serve_and_close(stream, &slot).await;
        }
        self.log_remaining_attempts();
        self.mailbox.close();
        self.receive_waiting_messages();
        self.return_queued_attempts(was_connected);
        drop(slot);
        self.end_queued_attempts();
        self.end_sent_attempts();
        self.report_ended_attempts().await;
        self.event_sender.report_closed();
    }

    /// Connects. Returns `None` if connecting fails or takes too long, or if the connection is
    /// evicted. Messages are handled meanwhile, so that an attempt is not sent if it is cancelled
    /// or its engine starts to drain.
    async fn connect(
        &mut self,
        address: SocketAddr,
        slot: &mut ConnectionSlot,
    ) -> Option<TcpStream> {
        let connect_timeout = self.context.limits.engine_connect_timeout;
        let connect_deadline = Instant::now() + connect_timeout;
        let descriptor_ready = slot.descriptor_ready();
        let connect = async move {
            descriptor_ready.await;
            TcpStream::connect(address).await
        };
        // Boxed to be dropped on return: a socket that is still connecting holds a file descriptor.
        let mut connecting = Box::pin(timeout(connect_timeout, connect));
        loop {
            tokio::select! {
                connected = &mut connecting => return self.log_connected(connected),
                () = slot.evicted() => return None,
                Some(message) = self.mailbox.recv() => self.handle_message(message),
            }
            self.report_ended_attempts().await;
            if self.queued_attempts.is_empty() && Instant::now() > connect_deadline {
                return None;
            }
        }
    }

    async fn serve_and_close(&mut self, stream: TcpStream, slot: &ConnectionSlot) {
        let _ = stream.set_nodelay(true);
        self.context.metrics.engine_connections.increment();
        let (engine, connection) = (self.engine, self.number);
        match self.serve(&stream, slot).await {
            Ok(reason) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, ?reason, "connection to an engine closed");
            }
            Err(error) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, %error, "connection to an engine failed");
                self.count_error(&error);
            }
        }
        // The ends that are reported next assume that the engine receives no more of the output
        // than it has now. A reset discards the bytes that the kernel still holds.
        if !self.output.is_empty() {
            let _ = stream.set_zero_linger();
        }
    }

    fn count_error(&self, error: &ConnectionError) {
        let metrics = &self.context.metrics;
        match error {
            ConnectionError::Socket(_) => {}
            ConnectionError::Answer(_) => metrics.engine_malformed.increment(),
            ConnectionError::CancellationTimeout => metrics.cancellations_unconfirmed.increment(),
        }
    }

    /// Serves until the connection is to be closed, and returns the reason.
    async fn serve(
        &mut self,
        stream: &TcpStream,
        slot: &ConnectionSlot,
    ) -> Result<CloseReason, ConnectionError> {
        loop {
            if let Flow::Close(reason) = self.check_idle_connection(stream).await? {
                return Ok(reason);
            }
            self.receive_waiting_messages();
            self.write_next_attempt();
            self.output.flush(stream)?;
            self.process_written_bytes();
            self.report_ended_attempts().await;
            if self.output.is_empty() && !self.queued_attempts.is_empty() {
                continue;
            }
            if self.is_idle() && self.admission.is_closed() {
                return Ok(CloseReason::AdmissionClosed);
            }
            if self.is_idle() && self.mailbox_closed {
                return Ok(CloseReason::MailboxClosed);
            }
            if let Flow::Close(reason) = self.wait_for_event(stream, slot).await? {
                return Ok(reason);
            }
            self.report_ended_attempts().await;
        }
    }

    /// Waits for the next event on the connection and handles it.
    async fn wait_for_event(
        &mut self,
        stream: &TcpStream,
        slot: &ConnectionSlot,
    ) -> Result<Flow, ConnectionError> {
        let timers = self.timers();
        let wake_at = timers
            .first()
            .unwrap_or_else(|| Instant::now() + self.context.limits.engine_idle_timeout);
        tokio::select! {
            biased;
            // Polled first, so that the failure of an idle connection is noticed before a write.
            ready = stream.readable() => {
                ready?;
                return self.receive(stream).await;
            }
            // A closed mailbox is always ready at once, so it is not polled any more.
            message = self.mailbox.recv(), if !self.mailbox_closed => match message {
                Some(message) => self.handle_message(message),
                None => {
                    self.mailbox_closed = true;
                    self.close_after_grace();
                }
            },
            ready = stream.writable(), if !self.output.is_empty() => ready?,
            () = slot.evicted() => return Ok(Flow::Close(CloseReason::Evicted)),
            () = sleep_until(wake_at) => return self.handle_timers(&timers, Instant::now()),
        }
        Ok(Flow::Continue)
    }

    /// Reads the available input before the first attempt is written to an idle connection. The
    /// engine may have closed the connection while it was idle, or a message may wait in the
    /// mailbox, and the runtime may not have polled either yet. An attempt written after that could
    /// be lost, or run needlessly.
    async fn check_idle_connection(&mut self, stream: &TcpStream) -> Result<Flow, ConnectionError> {
        if !self.sent_attempts.is_empty() || self.queued_attempts.is_empty() {
            return Ok(Flow::Continue);
        }
        tokio::task::yield_now().await;
        self.receive(stream).await
    }

    /// Reads the available input and handles its answers. Closes at the end of the stream.
    async fn receive(&mut self, stream: &TcpStream) -> Result<Flow, ConnectionError> {
        let max_bytes = self.context.limits.page_bytes * PAGES_PER_READ;
        let is_open = net::read_available(stream, &mut self.input, max_bytes);
        // Answers that arrived completely before the connection failed are still handled.
        self.handle_input().await?;
        match is_open? {
            true => Ok(Flow::Continue),
            false => Ok(Flow::Close(CloseReason::ClosedByEngine)),
        }
    }

    fn receive_waiting_messages(&mut self) {
        while let Ok(message) = self.mailbox.try_recv() {
            self.handle_message(message);
        }
    }

    /// Whether the connection carries no attempt and has nothing left to write.
    fn is_idle(&self) -> bool {
        self.sent_attempts.is_empty() && self.queued_attempts.is_empty() && self.output.is_empty()
    }

    fn timers(&self) -> Timers {
        let limits = &self.context.limits;
        let idle_until = self.idle_since + limits.engine_idle_timeout;
        let pages = self
            .sent_attempts
            .values()
            .filter_map(|sent| sent.pages.as_ref());
        Timers {
            idle: self.is_idle().then_some(idle_until),
            grace_period: self.close_at,
            partial_answer: self
                .partial_answer_since
                .map(|since| since + limits.partial_answer_timeout),
            cancellation: self.cancellations.first_due(),
            page: pages.map(ResultPages::next_page_due).min(),
        }
    }

    /// Handles the timers that are due.
    fn handle_timers(&mut self, timers: &Timers, now: Instant) -> Result<Flow, ConnectionError> {
        if is_due(timers.grace_period, now) {
            return Ok(Flow::Close(CloseReason::EngineRemoved));
        }
        if is_due(timers.idle, now) {
            return Ok(Flow::Close(CloseReason::Idle));
        }
        // Otherwise an engine that reads or answers nothing would keep the attempt in flight
        // forever.
        if is_due(timers.cancellation, now) {
            return Err(ConnectionError::CancellationTimeout);
        }
        // The next answer cannot be found until the incomplete one has arrived.
        if is_due(timers.partial_answer, now) {
            return Err(AnswerError::Incomplete.into());
        }
        self.release_overdue_results(now);
        Ok(Flow::Continue)
    }

    /// Schedules the closing of the connection after a grace period, in which its attempts may end.
    /// Called if the engine was removed from the list or the mailbox was closed.
    fn close_after_grace(&mut self) {
        let grace = self.context.limits.removed_engine_grace;
        self.close_at.get_or_insert_with(|| Instant::now() + grace);
    }

    /// Queues a command for the engine.
    fn send_command(&mut self, command: Command, reference: &Bytes) {
        self.output.push(command.encode(reference));
    }

    /// Returns the client reference under which an attempt was sent.
    fn reference_of(&self, attempt: AttemptId) -> Option<Bytes> {
        let mut sent = self.sent_attempts.iter();
        sent.find(|(_, sent)| AttemptId::from(&*sent.request) == attempt)
            .map(|(reference, _)| reference.clone())
    }
}
