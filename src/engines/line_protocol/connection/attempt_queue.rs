//! Handles messages of the engine's actor, and the queue in which attempts wait until they are
//! written, one at a time.

use super::{Connection, PartlyWrittenAttempt, SentAttempt};
use crate::attempt::AttemptState;
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::{EngineState, Outcome};
use crate::engines::context::{AttemptId, EngineMessage};
use crate::engines::line_protocol::command::{Command, LINE_END, attempt_line};

impl Connection {
    /// Handles a message of the engine's actor.
    pub(super) fn handle_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::StartAttempt(attempt) => self.queue_attempt(attempt),
            EngineMessage::CancelAttempt {
                attempt,
                after_cancellation,
            } => {
                self.cancel_queued(attempt, after_cancellation);
                self.cancel_sent(attempt, after_cancellation);
            }
            EngineMessage::SetPriority { attempt, priority } => {
                self.set_priority(attempt, priority);
            }
            EngineMessage::ManualEjectionChanged => {
                if self.admission.is_closed() {
                    self.end_queued_attempts();
                }
            }
            EngineMessage::StateChanged(EngineState::Ready) => self.close_at = None,
            EngineMessage::StateChanged(state) => {
                // A draining engine must not be sent an attempt of which nothing has been written
                // yet.
                self.end_queued_attempts();
                if state == EngineState::Removed {
                    self.close_after_grace();
                }
            }
        }
    }

    fn queue_attempt(&mut self, attempt: Box<AttemptRequest>) {
        if self.admission.is_closed() {
            self.end_attempt(attempt, AttemptEvent::end(Outcome::NoConnection));
        } else {
            self.queued_attempts.push_back(attempt);
        }
    }

    fn set_priority(&mut self, attempt: AttemptId, priority: u8) {
        let mut queued = self.queued_attempts.iter_mut();
        if let Some(request) = queued.find(|request| AttemptId::from(&***request) == attempt) {
            request.priority = priority;
        } else if let Some(reference) = self.reference_of(attempt) {
            self.send_command(Command::SetPriority(priority), &reference);
        }
    }

    /// Moves the next attempt to the output queue once that queue is empty. Only one attempt is
    /// written at a time, so at most one can be partly written when the engine starts to drain.
    pub(super) fn write_next_attempt(&mut self) {
        if self.admission.is_closed() {
            self.end_queued_attempts();
        }
        while self.output.is_empty() {
            let Some(request) = self.queued_attempts.pop_front() else {
                return;
            };
            let now_ms = self.context.core.now();
            // The attempt may have expired in the queue: connecting may take long, and the engine
            // may accept no output for long.
            match request.end_if_expired_or_cancelled(now_ms) {
                Some(event) => self.end_attempt(request, event),
                None => self.write_attempt(request, now_ms),
            }
        }
    }

    fn write_attempt(&mut self, request: Box<AttemptRequest>, now_ms: f64) {
        self.log_attempt_queued_for_writing(&request);
        self.output.push(attempt_line(&request, now_ms));
        self.output.push(request.statement.clone());
        let end_mark = self.output.push(LINE_END);
        let reference = request.client_reference.clone();
        self.partly_written = Some(PartlyWrittenAttempt {
            end_mark,
            reference: reference.clone(),
        });
        let mut state = AttemptState::default();
        state.begin_writing(end_mark);
        let sent = SentAttempt {
            request,
            state,
            pages: None,
        };
        self.sent_attempts.insert(reference, sent);
    }
}
