//! How attempts and requests come to their ends: results, failures, deadlines, silence, and what is given up.

use super::{
    Answer, Arc, AttemptEnded, ClientPort, Core, EnginePort, Event, FailureReason, LoadReport,
    Millis, Outcome, RequestId, ResultBody, ResultFormat, Timer,
};
use crate::attempt::InFlight;
use crate::metrics::Counter;

impl<E: EnginePort> Core<E> {
    pub(super) fn result_streaming(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        body: ResultBody,
    ) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.streaming) else {
            return;
        };
        open.streaming = true;
        open.history.record_streaming();
        self.metrics.requests_served.increment();
        open.request.client.answer(id, Answer::Served(body));
        self.notify_dispatcher(now, Event::ResultStreaming { id, attempt });
    }

    pub(super) fn attempt_succeeded(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        report: LoadReport,
        billed: (Option<f64>, Option<f64>),
        body: Option<ResultBody>,
    ) {
        let streaming = self.requests.get(&id).is_some_and(|o| o.streaming);
        let Some(body) = body
            .or_else(|| streaming.then(|| ResultBody::complete(ResultFormat::Text, Vec::new())))
        else {
            // A good end without a result has run, and there is nothing to pass on.
            return self.attempt_ended(now, id, attempt, (Outcome::Error, true), report, billed);
        };
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.record_end(attempt, true) else {
            return;
        };
        if !open.answered && !open.streaming {
            self.metrics.requests_served.increment();
            open.request.client.answer(id, Answer::Served(body));
        }
        self.remove_request(now, id);
        self.report_attempt_end(now, id, &out, Outcome::Ok, true, report, billed);
    }

    /// An attempt is proven over without a result, and may have run or not; the module decides what follows.
    pub(super) fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        (outcome, ran): (Outcome, bool),
        report: LoadReport,
        billed: (Option<f64>, Option<f64>),
    ) {
        self.pause_order_key(now, id, outcome);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.record_end(attempt, ran) else {
            return;
        };
        match outcome {
            Outcome::NoConnectionSlot => open.history.discount_last(),
            _ => open.last_end = Some((outcome, out.engine)),
        }
        // The client of a stream was told by the break in it.
        let finished = open.streaming || open.answered;
        if finished {
            self.remove_request(now, id);
        }
        self.report_attempt_end(now, id, &out, outcome, finished, report, billed);
    }

    #[allow(clippy::too_many_arguments)]
    #[expect(clippy::similar_names, reason = "not split yet")]
    fn report_attempt_end(
        &mut self,
        now: Millis,
        id: RequestId,
        out: &InFlight,
        outcome: Outcome,
        finished: bool,
        report: LoadReport,
        (billed_ms, billed_mb): (Option<f64>, Option<f64>),
    ) {
        self.outcome_counter(outcome).increment();
        let (attempt, engine, took_ms) = (out.number, out.engine, now - out.sent_to.at_ms);
        tracing::debug!(id, %engine, attempt, ?outcome, took_ms, finished, billed_ms, inflight = report.inflight, "ended");
        let ended = AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms: took_ms,
            answered: finished,
            measured_work_ms: billed_ms,
            measured_memory_mb: billed_mb,
            load_report: report,
        };
        self.notify_dispatcher(now, Event::AttemptEnded(ended));
    }

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

    /// The client's deadline: whatever the module leaves open is answered, and what is out is given up. Guard: a
    /// module that still holds the request, or would send it once more, gets no further say.
    pub(super) fn deadline_reached(&mut self, now: Millis, id: RequestId) {
        if self.requests.get(&id).is_some_and(|o| !o.streaming) {
            self.answer_client(
                now,
                id,
                Answer::Failed(FailureReason::DeadlineExceeded),
                Outcome::TimedOut,
            );
            self.notify_dispatcher(now, Event::ClientDisconnected { id });
        }
    }

    /// An attempt on a machine that vanished says nothing and is not reset. What may be repeated is given up;
    /// what may run once only waits on, as no other attempt is allowed anyway.
    pub(super) fn check_attempt_silence(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        armed: Millis,
    ) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.streaming) else {
            return;
        };
        let Some(heard) = open
            .history
            .in_flight_as(attempt, None)
            .map(|o| o.last_heard_ms)
        else {
            return;
        };
        let due = heard + self.limits.attempt_silence_ms;
        if due > armed {
            self.set_timer(due, Timer::SilenceCheck(id, attempt));
        } else if self.is_idempotent(id) {
            self.cancel_in_flight(now, id, Outcome::TimedOut);
        }
    }

    /// Gives up what is out for a request. It stays out, and the module hears nothing, until its engine's actor has
    /// proven it over: a further attempt before that would be out beside it.
    pub(super) fn cancel_in_flight(&mut self, now: Millis, id: RequestId, as_what: Outcome) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.begin_cancellation(now, as_what) else {
            return;
        };
        open.cancellation.cancel();
        self.engines
            .cancel_attempt(out.engine, id, out.number, !open.answered);
        self.set_timer(
            now + self.limits.cancellation_resend_ms,
            Timer::CancellationCheck(id, out.number),
        );
    }

    /// No proof so far. Guard: an order that found its mailbox full is given again. Guard: without a proof in its time
    /// nothing may follow, so the request ends.
    pub(super) fn check_cancellation(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let (over, streaming) = (open.answered, open.streaming);
        let Some(out) = open.history.in_flight_as(attempt, None) else {
            return;
        };
        let (engine, Some((since, _))) = (out.engine, out.cancelling) else {
            return;
        };
        if now - since < self.limits.cancellation_timeout_ms {
            self.engines.cancel_attempt(engine, id, attempt, !over);
            return self.set_timer(
                now + self.limits.cancellation_resend_ms,
                Timer::CancellationCheck(id, attempt),
            );
        }
        self.metrics.cancellations_timed_out.increment();
        if !over && !streaming {
            self.answer_client(
                now,
                id,
                Answer::Failed(FailureReason::AttemptFailed),
                Outcome::TimedOut,
            );
            self.notify_dispatcher(now, Event::ClientDisconnected { id });
        }
        self.attempt_ended(
            now,
            id,
            attempt,
            (Outcome::TimedOut, true),
            LoadReport::default(),
            (None, None),
        );
    }

    /// The one final answer: whoever comes second finds the request over.
    pub(super) fn answer_client(
        &mut self,
        now: Millis,
        id: RequestId,
        answer: Answer,
        as_what: Outcome,
    ) {
        let Some(client) = self.close_request(now, id, as_what) else {
            return;
        };
        match answer {
            Answer::Rejected { .. } => self.metrics.requests_rejected.increment(),
            _ => self.metrics.requests_failed.increment(),
        }
        tracing::debug!(
            id,
            ?as_what,
            refused = matches!(answer, Answer::Rejected { .. }),
            "answered"
        );
        client.answer(id, answer);
    }

    /// Nothing is owed to the client any more: that is for the caller, and for now. What is out is given up, and the
    /// request is held until that is proven, as its name may not come again before.
    pub(super) fn close_request(
        &mut self,
        now: Millis,
        id: RequestId,
        as_what: Outcome,
    ) -> Option<Arc<dyn ClientPort>> {
        let open = self.requests.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        let (client, out, waiting) = (
            open.request.client.clone(),
            open.history.in_flight().is_some(),
            open.backoff.take(),
        );
        self.metrics.requests_open.decrement();
        match out {
            true => self.cancel_in_flight(now, id, as_what),
            false => self.remove_request(now, id),
        }
        // Guard: the module holds a request until it hears how its attempt ended, and this one never went out.
        if let Some((number, engine, _)) = waiting {
            self.report_not_sent(now, id, number, engine, Outcome::NotSent);
        }
        Some(client)
    }

    fn remove_request(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        self.client_references
            .remove(&open.request.client_reference);
        self.statement_bytes -= open.request.statement.len();
        if let Some(key) = open.request.order_key {
            self.leave_order_lease(now, key, id);
        }
        if !open.answered {
            self.metrics.requests_open.decrement();
        }
    }
}
