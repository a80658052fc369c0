//! The end of attempts and requests: results, failures, deadlines, engines that stop reporting, and
//! cancellations.
//!
//! An attempt stays in flight until its engine's actor has reported its end, even if it was
//! cancelled: a further attempt before that could run at the same time.

use super::requests::LastEnd;
use super::timers::Timer;
use super::{
    Answer, Arc, ClientPort, Core, EnginePort, Event, FailureReason, Millis, Outcome, RequestId,
    ResultBody, ResultFormat,
};
use crate::attempt::InFlight;
use crate::decision::{AttemptEnded, EngineId, LoadReport};
use crate::metrics::Counter;
use crate::node_config::format_engine_id;

/// The resources that an attempt used, as measured by its engine; `None` if the engine does not
/// report them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ResourceUse {
    /// Work over all threads, in ms.
    pub(super) work_ms: Option<f64>,
    /// Memory in MB.
    pub(super) memory_mb: Option<f64>,
}

/// The confirmed end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptCompletion {
    pub(super) outcome: Outcome,
    pub(super) may_have_run: bool,
    pub(super) load_report: LoadReport,
    pub(super) measured: ResourceUse,
}

impl<E: EnginePort> Core<E> {
    /// The result of an attempt starts to stream to the client.
    pub(super) fn result_streaming(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        body: ResultBody,
    ) {
        let Some(request) = self.requests.get_not_streaming_mut(id) else {
            return;
        };
        request.streaming = true;
        request.history.record_partial_result();
        self.metrics.requests_served.increment();
        request.accepted.client.answer(id, Answer::Served(body));
        self.notify_dispatcher(now, Event::ResultStreaming { id, attempt });
    }

    /// An attempt succeeded: the client gets the result, unless the request is answered already.
    pub(super) fn attempt_succeeded(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        completion: AttemptCompletion,
        body: Option<ResultBody>,
    ) {
        let streaming = self
            .requests
            .get(id)
            .is_some_and(|request| request.streaming);
        let empty_body = || ResultBody::complete(ResultFormat::Text, Vec::new());
        let Some(body) = body.or_else(|| streaming.then(empty_body)) else {
            // The attempt has run, but there is no result to answer with: its outcome is an error.
            let failed = AttemptCompletion {
                outcome: Outcome::Error,
                may_have_run: true,
                ..completion
            };
            return self.attempt_ended(now, id, attempt, failed);
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(ended) = request.history.record_end(attempt, true) else {
            return;
        };
        if !request.answered && !request.streaming {
            self.metrics.requests_served.increment();
            request.accepted.client.answer(id, Answer::Served(body));
        }
        self.remove_request(now, id);
        self.report_attempt_end(now, id, &ended, completion, true);
    }

    /// An attempt ended without a result; the dispatcher decides what follows.
    pub(super) fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        completion: AttemptCompletion,
    ) {
        self.pause_order_key(now, id, completion.outcome);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(ended) = request.history.record_end(attempt, completion.may_have_run) else {
            return;
        };
        if completion.outcome == Outcome::NoConnectionSlot {
            request.history.exclude_last_from_count();
        } else {
            request.last_end = Some(LastEnd {
                outcome: completion.outcome,
                engine: ended.engine,
            });
        }
        // A client that receives a stream detects that the stream has ended, so it needs no further
        // answer.
        let answered = request.streaming || request.answered;
        if answered {
            self.remove_request(now, id);
        }
        self.report_attempt_end(now, id, &ended, completion, answered);
    }

    /// Notifies the dispatcher of the end of an attempt.
    fn report_attempt_end(
        &mut self,
        now: Millis,
        id: RequestId,
        ended: &InFlight,
        completion: AttemptCompletion,
        answered: bool,
    ) {
        let AttemptCompletion {
            outcome,
            load_report,
            measured,
            ..
        } = completion;
        self.outcome_counter(outcome).increment();
        let (attempt, engine) = (ended.number, ended.engine);
        let elapsed_ms = now - ended.sent_to.sent_at_ms;
        tracing::debug!(
            id,
            engine = %format_engine_id(engine),
            attempt,
            ?outcome,
            elapsed_ms,
            answered,
            measured_work_ms = measured.work_ms,
            inflight = load_report.inflight,
            "attempt ended"
        );
        let event = AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms,
            answered,
            measured_work_ms: measured.work_ms,
            measured_memory_mb: measured.memory_mb,
            load_report,
        };
        self.notify_dispatcher(now, Event::AttemptEnded(event));
    }

    /// The counter of attempts with this outcome.
    pub(super) fn outcome_counter(&self, outcome: Outcome) -> &Counter {
        match outcome {
            Outcome::Ok => &self.metrics.attempts_succeeded,
            Outcome::Error => &self.metrics.attempts_failed,
            Outcome::Rejected => &self.metrics.attempts_rejected,
            Outcome::TimedOut => &self.metrics.attempts_timed_out,
            Outcome::NoConnection => &self.metrics.attempts_no_connection,
            Outcome::Reset => &self.metrics.attempts_reset,
            Outcome::Cancelled => &self.metrics.attempts_cancelled,
            Outcome::NotSent => &self.metrics.attempts_not_sent,
            Outcome::NoConnectionSlot => &self.metrics.attempts_no_connection_slot,
        }
    }

    /// The deadline of a request is reached: unless its result is streaming, the request fails, its
    /// attempt is cancelled, and the dispatcher drops it.
    pub(super) fn deadline_reached(&mut self, now: Millis, id: RequestId) {
        if self
            .requests
            .get(id)
            .is_some_and(|request| !request.streaming)
        {
            self.fail_and_drop(now, id, FailureReason::DeadlineExceeded);
        }
    }

    /// Answers a request as failed and makes the dispatcher drop it, which might otherwise send it
    /// again.
    fn fail_and_drop(&mut self, now: Millis, id: RequestId, reason: FailureReason) {
        self.answer_client(now, id, Answer::Failed(reason), Outcome::TimedOut);
        self.notify_dispatcher(now, Event::ClientDisconnected { id });
    }

    /// Cancels an attempt of an idempotent request if its engine has reported nothing about it for
    /// `attempt_silence_timeout_ms`, for example because the engine's machine failed without
    /// resetting its connections. Attempts of other requests are not cancelled, because no further
    /// attempt may follow them.
    pub(super) fn check_attempt_silence(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        timer_due: Millis,
    ) {
        let Some(request) = self.requests.get_not_streaming_mut(id) else {
            return;
        };
        let Some(in_flight) = request.history.in_flight_matching(attempt, None) else {
            return;
        };
        let due = in_flight.last_report_ms + self.limits.attempt_silence_timeout_ms;
        if due > timer_due {
            self.set_timer(due, Timer::AttemptSilenceCheck { id, attempt });
        } else if request.is_idempotent() {
            self.cancel_in_flight(now, id, Outcome::TimedOut);
        }
    }

    /// Cancels the attempt in flight. It ends with this outcome once its engine's actor has
    /// confirmed the cancellation.
    pub(super) fn cancel_in_flight(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(in_flight) = request.history.begin_cancellation(now, outcome) else {
            return;
        };
        let (engine, attempt) = (in_flight.engine, in_flight.number);
        tracing::debug!(id, engine = %format_engine_id(engine), attempt, ?outcome, "attempt is being cancelled");
        request.cancellation.cancel();
        let retry_may_follow = !request.answered;
        self.send_cancellation(now, engine, id, attempt, retry_may_follow);
    }

    /// Sends a cancellation to the engine's actor, and sets a timer to check whether it is
    /// confirmed.
    fn send_cancellation(
        &mut self,
        now: Millis,
        engine: EngineId,
        id: RequestId,
        attempt: u16,
        retry_may_follow: bool,
    ) {
        self.engines
            .cancel_attempt(engine, id, attempt, retry_may_follow);
        self.set_timer(
            now + self.limits.cancellation_resend_ms,
            Timer::CancellationCheck { id, attempt },
        );
    }

    /// Sends an unconfirmed cancellation again, because the mailbox of the engine's actor may have
    /// been full. After the cancellation timeout the request fails, as no further attempt may
    /// follow.
    pub(super) fn check_cancellation(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let (answered, streaming) = (request.answered, request.streaming);
        let Some(in_flight) = request.history.in_flight_matching(attempt, None) else {
            return;
        };
        let (engine, Some(cancellation)) = (in_flight.engine, in_flight.cancellation) else {
            return;
        };
        if now - cancellation.since_ms < self.limits.cancellation_timeout_ms {
            return self.send_cancellation(now, engine, id, attempt, !answered);
        }
        tracing::debug!(
            id,
            engine = %format_engine_id(engine),
            attempt,
            "cancellation not confirmed in time; the attempt ends as timed out"
        );
        self.metrics.cancellations_timed_out.increment();
        if !answered && !streaming {
            self.fail_and_drop(now, id, FailureReason::AttemptFailed);
        }
        let unconfirmed = AttemptCompletion {
            outcome: Outcome::TimedOut,
            may_have_run: true,
            load_report: LoadReport::default(),
            measured: ResourceUse::default(),
        };
        self.attempt_ended(now, id, attempt, unconfirmed);
    }

    /// Sends the one final answer, unless the request has one. An attempt in flight is cancelled
    /// with this outcome.
    pub(super) fn answer_client(
        &mut self,
        now: Millis,
        id: RequestId,
        answer: Answer,
        outcome: Outcome,
    ) {
        let Some(client) = self.close_request(now, id, outcome) else {
            return;
        };
        let rejected = matches!(answer, Answer::Rejected { .. });
        if rejected {
            self.metrics.requests_rejected.increment();
        } else {
            self.metrics.requests_failed.increment();
        }
        tracing::debug!(id, ?answer, attempt_outcome = ?outcome, "request answered");
        client.answer(id, answer);
    }

    /// Marks a request as answered and returns its client, which the caller has to answer; `None`
    /// if the request was answered before. An attempt in flight is cancelled, and the request stays
    /// in the table until that is confirmed, because its client reference must not be reused
    /// before.
    pub(super) fn close_request(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<Arc<dyn ClientPort>> {
        let request = self
            .requests
            .get_mut(id)
            .filter(|request| !request.answered)?;
        request.answered = true;
        let client = request.accepted.client.clone();
        let has_attempt = request.history.in_flight().is_some();
        let delayed = request.backoff.take();
        self.metrics.requests_open.decrement();
        if has_attempt {
            self.cancel_in_flight(now, id, outcome);
        } else {
            self.remove_request(now, id);
        }
        // The dispatcher keeps a request until it is notified of the end of its attempt. An attempt
        // in backoff was never sent, so no engine reports its end.
        if let Some(delayed) = delayed {
            self.report_not_sent(now, id, delayed.number, delayed.engine, Outcome::NotSent);
        }
        Some(client)
    }

    fn remove_request(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.spent_references
            .record_end(&request.accepted, request.history.may_have_run());
        if let Some(key) = request.accepted.order_key {
            self.remove_from_order_lease(now, key, id);
        }
        if !request.answered {
            self.metrics.requests_open.decrement();
        }
    }
}
