//! How a connection handles the answers of its engine: ends of attempts, pages of results and
//! progress reports.

use super::log_events::IgnoredAnswerReason;
use super::result_pages::{PageInsertion, ResultPages};
use super::{Connection, ConnectionError, SentAttempt};
use crate::attempt::{AttemptEnd, never_ran};
use crate::core::AttemptEvent;
use crate::decision::{LoadReport, Outcome, Progress};
use crate::engines::connection_load::ConnectionUse;
use crate::engines::context::AttemptId;
use crate::engines::line_protocol::answer::{Answer, AnswerError, AnswerStatus, take_answer};
use crate::engines::line_protocol::command::Command;
use bytes::Bytes;
use tokio::time::Instant;

/// Value of `num` in a `queued` progress report while the attempt waits for a bulk load. With any
/// other value it waits for memory.
const WAITING_FOR_BULK_LOAD: f64 = 2.0;

impl Connection {
    /// Handles all complete answers in the input.
    pub(super) async fn handle_input(&mut self) -> Result<(), ConnectionError> {
        loop {
            let limits = &self.context.limits;
            let answer = take_answer(&mut self.input, limits.line_bytes, limits.page_bytes)?;
            let Some(answer) = answer else {
                break;
            };
            self.partial_answer_since = None;
            self.handle_answer(answer).await?;
            // An engine that sends answers without ending any attempt would keep the attempts in
            // flight and the core busy.
            let count = self.answers_since_attempt_end;
            if count > self.context.limits.answers_since_attempt_end {
                return Err(AnswerError::TooManyAnswersSinceAttemptEnd { count }.into());
            }
        }
        if self.input.is_empty() {
            self.partial_answer_since = None;
        } else {
            self.partial_answer_since.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    async fn handle_answer(&mut self, answer: Answer) -> Result<(), ConnectionError> {
        self.idle_since = Instant::now();
        self.event_sender.reset_failures();
        self.load.record_answer(self.context.core.now());
        if answer.status == AnswerStatus::Confirmed {
            self.confirm_cancellations(&answer);
            return Ok(());
        }
        let Some(sent) = self.sent_attempts.get(&answer.reference) else {
            // The attempt was cancelled in the meantime or was never sent. The connection is still
            // usable.
            self.ignore_answer(&answer, IgnoredAnswerReason::NoSuchAttempt);
            return Ok(());
        };
        let has_pages = sent.pages.is_some();
        match answer.status {
            // An engine may repeat its answer. The repetition has no effect.
            AnswerStatus::Served if has_pages => {
                self.ignore_answer(&answer, IgnoredAnswerReason::RepeatedResult);
            }
            AnswerStatus::Served => self.handle_first_page(&answer).await?,
            AnswerStatus::Page => self.handle_further_page(&answer).await?,
            AnswerStatus::Progress => self.handle_progress(&answer).await,
            // Any other answer after the first page means that the statement has run and that the
            // remaining pages are lost.
            _ if has_pages => self.end_without_result(&answer, Outcome::Error).await,
            AnswerStatus::Overloaded => self.end_without_result(&answer, Outcome::Rejected).await,
            AnswerStatus::Failed => self.end_without_result(&answer, Outcome::Error).await,
            AnswerStatus::NotFound => self.end_without_result(&answer, Outcome::NotSent).await,
            AnswerStatus::Confirmed | AnswerStatus::Unknown => {
                return Err(AnswerError::UnknownStatus.into());
            }
        }
        Ok(())
    }

    /// Handles an answer with the first page of a result, and requests the other pages.
    async fn handle_first_page(&mut self, answer: &Answer) -> Result<(), ConnectionError> {
        let limit_pages = self.context.limits.pages_per_result;
        let page_count = answer.whole_number("batches").unwrap_or(0);
        if !(1..=limit_pages).contains(&page_count) {
            return Err(AnswerError::PageCount { limit_pages }.into());
        }
        answer.check_page()?;
        let Some(sent) = self.sent_attempts.get_mut(&answer.reference) else {
            return Ok(());
        };
        // The engine has dropped the other pages of an attempt that is being cancelled.
        if !sent.state.begin_result() && page_count > 1 {
            let event = AttemptEvent::Cancelled(AttemptEnd::Answered);
            self.end_answered_attempt(&answer.reference, answer.load_report(), event)
                .await;
            return Ok(());
        }
        sent.pages = Some(ResultPages::new(answer, page_count, &self.context));
        for number in 1..page_count {
            self.context.metrics.result_pages.increment();
            self.send_command(Command::NextPage(number), &answer.reference);
        }
        self.end_if_result_complete(&answer.reference).await;
        Ok(())
    }

    /// Handles a further page, which is ignored if it was not requested.
    async fn handle_further_page(&mut self, answer: &Answer) -> Result<(), ConnectionError> {
        let sent = self.sent_attempts.get_mut(&answer.reference);
        let pages = sent.and_then(|sent| sent.pages.as_mut());
        let number = answer.whole_number("batch");
        let requested_page = pages
            .zip(number)
            .filter(|(pages, number)| pages.is_missing(*number));
        let Some((pages, number)) = requested_page else {
            self.ignore_answer(answer, IgnoredAnswerReason::UnexpectedPage);
            return Ok(());
        };
        answer.check_page()?;
        match pages.insert(number, answer.body.clone(), &self.context.limits) {
            PageInsertion::TooLarge => self.release_result(&answer.reference, Outcome::Error),
            PageInsertion::Inserted => self.end_if_result_complete(&answer.reference).await,
        }
        Ok(())
    }

    async fn handle_progress(&mut self, answer: &Answer) {
        let Some(sent) = self.sent_attempts.get(&answer.reference) else {
            return;
        };
        let attempt = AttemptId::from(&*sent.request);
        self.context.metrics.progress_notes.increment();
        self.answers_since_attempt_end += 1;
        let event = AttemptEvent::Progress(parse_progress(answer));
        self.context
            .send_event(self.engine, attempt, answer.load_report(), event)
            .await;
    }

    /// Ends an attempt after an answer without a result.
    async fn end_without_result(&mut self, answer: &Answer, outcome: Outcome) {
        let Some(sent) = self.sent_attempts.get_mut(&answer.reference) else {
            return;
        };
        let was_cancelled = sent.state.is_cancelling();
        let end = sent.state.answered(!never_ran(outcome));
        if let Some(sent) = self.sent_attempts.get(&answer.reference) {
            self.log_final_answer(answer, sent);
        }
        let event = if was_cancelled {
            AttemptEvent::Cancelled(end)
        } else {
            AttemptEvent::end(outcome)
        };
        self.end_answered_attempt(&answer.reference, answer.load_report(), event)
            .await;
    }

    /// Ends an attempt that the engine has answered.
    async fn end_answered_attempt(
        &mut self,
        reference: &Bytes,
        report: LoadReport,
        event: AttemptEvent,
    ) {
        let Some(SentAttempt { request, .. }) = self.remove_answered_attempt(reference) else {
            return;
        };
        self.load.end_attempt(ConnectionUse::of(&request));
        self.log_attempt_end(&request, &event);
        self.context
            .send_event(self.engine, (&*request).into(), report, event)
            .await;
    }

    /// Ends an attempt with its result once all pages have arrived.
    async fn end_if_result_complete(&mut self, reference: &Bytes) {
        let Some(sent) = self.sent_attempts.get_mut(reference) else {
            return;
        };
        if let Some(pages) = sent.pages.take_if(|pages| pages.is_complete()) {
            let (report, event) = pages.finish(&self.context.limits);
            self.end_answered_attempt(reference, report, event).await;
        }
    }

    /// Ignores an answer that was not requested or repeats an earlier one. It is logged and counted
    /// as unexpected.
    pub(super) fn ignore_answer(&mut self, answer: &Answer, reason: IgnoredAnswerReason) {
        self.log_ignored_answer(answer, reason);
        self.context.metrics.engine_unexpected_answers.increment();
        self.answers_since_attempt_end += self.context.limits.unexpected_answer_weight;
    }

    /// Releases results whose next page did not arrive in time.
    pub(super) fn release_overdue_results(&mut self, now: Instant) {
        let is_overdue = |sent: &SentAttempt| {
            let pages = sent.pages.as_ref();
            pages.is_some_and(|pages| pages.next_page_due() <= now)
        };
        let overdue = self
            .sent_attempts
            .iter()
            .filter(|(_, sent)| is_overdue(sent));
        let references: Vec<Bytes> = overdue.map(|(reference, _)| reference.clone()).collect();
        for reference in references {
            self.release_result(&reference, Outcome::TimedOut);
        }
    }
}

/// The progress that an answer reports. `None` if it only shows that the attempt has not ended.
fn parse_progress(answer: &Answer) -> Option<Progress> {
    let value = answer.number("num")?;
    match answer.field("n")? {
        b"pct" => Some(Progress::ShareDone(value)),
        b"overflow" => Some(Progress::SpillingMb(value)),
        b"queued" if value == WAITING_FOR_BULK_LOAD => Some(Progress::WaitingForBulkLoad),
        b"queued" => Some(Progress::WaitingForMemory),
        _ => None,
    }
}
