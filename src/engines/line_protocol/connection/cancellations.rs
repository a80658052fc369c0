//! Cancellations on a connection, from the command to the proof that the attempt has ended.
//!
//! If no retry may follow, a cancelled attempt has ended once its cancellation is written. If a
//! retry may follow, the engine has to confirm that it has read the cancellation. An engine reads
//! its connections in any order, so a retry on another connection could be read before a
//! cancellation that is only written. The commands of one connection are read in order, so the
//! answer to a command sent after the cancellation is the confirmation.

use super::log_events::IgnoredAnswerReason;
use super::{Connection, SentAttempt};
use crate::attempt::{AttemptEnd, AttemptState};
use crate::core::AttemptEvent;
use crate::engines::context::{AfterCancellation, AttemptId};
use crate::engines::line_protocol::answer::Answer;
use crate::engines::line_protocol::command::Command;
use crate::limits::Limits;
use crate::net::Outbox;
use bytes::Bytes;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A cancellation that is not written or not confirmed yet.
struct Cancellation {
    /// Count of bytes written at which the cancellation is complete.
    end_mark: u64,
    /// Client reference of the cancelled attempt.
    reference: Bytes,
    /// Tag with which the engine confirms the cancellation, if that is needed.
    tag: Option<Bytes>,
    /// When the cancellation must have been written and, if it has a tag, confirmed.
    due_at: Instant,
}

/// Cancellations that are not written or not confirmed yet, in the order in which they are written.
#[derive(Default)]
pub(super) struct Cancellations {
    pending: VecDeque<Cancellation>,
    last_tag: u64,
}

impl Cancellations {
    /// Queues a cancellation for the engine. Returns the count of bytes written at which it is
    /// complete.
    fn queue(
        &mut self,
        command: Command,
        reference: &Bytes,
        after_cancellation: AfterCancellation,
        output: &mut Outbox,
        limits: &Limits,
    ) -> u64 {
        let end_mark = output.push(command.encode(reference));
        let (tag, timeout) = match after_cancellation {
            AfterCancellation::RetryMayFollow => {
                let tag = self.next_tag();
                output.push(Command::Confirm.encode(&tag));
                (Some(tag), limits.cancellation_confirm_timeout)
            }
            AfterCancellation::NoRetry => (None, limits.cancellation_write_timeout),
        };
        self.pending.push_back(Cancellation {
            end_mark,
            reference: reference.clone(),
            tag,
            due_at: Instant::now() + timeout,
        });
        end_mark
    }

    fn next_tag(&mut self) -> Bytes {
        self.last_tag += 1;
        Bytes::from(format!("{:016x}", self.last_tag))
    }

    /// When the cancellation that is due first must have been written and, if it has a tag,
    /// confirmed.
    pub(super) fn first_due(&self) -> Option<Instant> {
        self.pending
            .iter()
            .map(|cancellation| cancellation.due_at)
            .min()
    }

    /// Removes the cancellations of an attempt that has ended.
    fn remove_attempt(&mut self, reference: &Bytes) {
        self.pending
            .retain(|cancellation| cancellation.reference != *reference);
    }

    /// Removes all cancellations up to the one with this tag. Returns `None` if no cancellation has
    /// it.
    fn take_confirmed(&mut self, tag: &Bytes) -> Option<Vec<Cancellation>> {
        let mut pending = self.pending.iter();
        let last = pending.position(|cancellation| cancellation.tag.as_ref() == Some(tag))?;
        Some(self.pending.drain(..=last).collect())
    }

    /// Removes the cancellations that are complete once `written_bytes` bytes are written.
    fn take_written(&mut self, written_bytes: u64) -> Vec<Cancellation> {
        let is_written = |cancellation: &mut Cancellation| cancellation.end_mark <= written_bytes;
        std::iter::from_fn(|| self.pending.pop_front_if(is_written)).collect()
    }

    /// Puts cancellations that wait for a confirmation back at the front.
    fn requeue_unconfirmed(&mut self, mut unconfirmed: VecDeque<Cancellation>) {
        unconfirmed.append(&mut self.pending);
        self.pending = unconfirmed;
    }
}

impl Connection {
    /// Cancels a queued attempt, of which nothing has been written yet.
    pub(super) fn cancel_queued(
        &mut self,
        attempt: AttemptId,
        after_cancellation: AfterCancellation,
    ) {
        let mut queued = self.queued_attempts.iter();
        let Some(index) = queued.position(|request| AttemptId::from(&**request) == attempt) else {
            return;
        };
        let nothing_to_send = || 0;
        let end =
            AttemptState::default().cancel(after_cancellation.retry_may_follow(), nothing_to_send);
        if let (Some(end), Some(request)) = (end, self.queued_attempts.remove(index)) {
            self.end_attempt(request, AttemptEvent::Cancelled(end));
        }
    }

    /// Cancels an attempt that was written at least in part.
    pub(super) fn cancel_sent(
        &mut self,
        attempt: AttemptId,
        after_cancellation: AfterCancellation,
    ) {
        let Some(reference) = self.reference_of(attempt) else {
            return;
        };
        let Some(sent) = self.sent_attempts.get_mut(&reference) else {
            return;
        };
        // If the statement has ended, the engine holds pages of its result. Otherwise it is
        // running.
        let command = if sent.state.has_result() {
            Command::Release
        } else {
            Command::Cancel
        };
        let end = sent
            .state
            .cancel(after_cancellation.retry_may_follow(), || {
                self.cancellations.queue(
                    command,
                    &reference,
                    after_cancellation,
                    &mut self.output,
                    &self.context.limits,
                )
            });
        if let Some(end) = end {
            self.end_cancelled(&reference, end);
        }
    }

    fn end_cancelled(&mut self, reference: &Bytes, end: AttemptEnd) {
        if let Some(sent) = self.sent_attempts.remove(reference) {
            self.idle_since = Instant::now();
            self.end_attempt(sent.request, AttemptEvent::Cancelled(end));
        }
    }

    /// Removes an attempt that an answer has ended, with its cancellations. They are no longer
    /// needed, so the connection must not be closed because they are overdue.
    pub(super) fn remove_answered_attempt(&mut self, reference: &Bytes) -> Option<SentAttempt> {
        self.answers_since_attempt_end = 0;
        self.cancellations.remove_attempt(reference);
        self.sent_attempts.remove(reference)
    }

    /// Handles the engine's confirmation that it has read all commands up to a tag.
    pub(super) fn confirm_cancellations(&mut self, confirmation: &Answer) {
        let tag = &confirmation.reference;
        let Some(confirmed) = self.cancellations.take_confirmed(tag) else {
            return self.ignore_answer(confirmation, IgnoredAnswerReason::UnknownTag);
        };
        for cancellation in confirmed {
            let sent = self.sent_attempts.get_mut(&cancellation.reference);
            if let Some(end) = sent.and_then(|sent| sent.state.cancellation_confirmed()) {
                self.end_cancelled(&cancellation.reference, end);
            }
        }
    }

    /// Updates the attempts for the output written so far: marks completely written attempts as
    /// sent, and ends attempts whose written cancellation needs no confirmation.
    pub(super) fn process_written_bytes(&mut self) {
        let written_bytes = self.output.written_bytes();
        let mut unconfirmed = VecDeque::new();
        for cancellation in self.cancellations.take_written(written_bytes) {
            let sent = self.sent_attempts.get_mut(&cancellation.reference);
            match sent.and_then(|sent| sent.state.wrote(written_bytes)) {
                Some(end) => self.end_cancelled(&cancellation.reference, end),
                None if cancellation.tag.is_some() => unconfirmed.push_back(cancellation),
                None => {}
            }
        }
        self.cancellations.requeue_unconfirmed(unconfirmed);
        let completed = self
            .partly_written
            .take_if(|partly| partly.end_mark <= written_bytes);
        if let Some(completed) = completed {
            self.context.metrics.attempts_written.increment();
            if let Some(sent) = self.sent_attempts.get_mut(&completed.reference) {
                sent.state.wrote(written_bytes);
            }
        }
    }
}
