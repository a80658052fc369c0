//! How attempts and requests come to their ends: results, failures, deadlines, silence, and what is given up.

use super::{
    Alarm, Answer, Arc, AttemptEnded, ClientPort, Core, EnginePort, Event, FailureReason,
    LoadReport, Millis, Outcome, RequestId, ResultBody, ResultFormat,
};
use crate::attempt::InFlight;
use crate::metrics::Counter;

impl<E: EnginePort> Core<E> {
    pub(super) fn streaming(&mut self, now: Millis, id: RequestId, attempt: u16, body: ResultBody) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.streaming) else {
            return;
        };
        open.streaming = true;
        open.history.streams();
        self.metrics.requests_served.increment();
        open.taken.client.answer(id, Answer::Served(body));
        self.tell(now, Event::ResultStreaming { id, attempt });
    }

    pub(super) fn served(
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
            return self.ended(now, id, attempt, (Outcome::Error, true), report, billed);
        };
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.ended(attempt, true) else {
            return;
        };
        if !open.over && !open.streaming {
            self.metrics.requests_served.increment();
            open.taken.client.answer(id, Answer::Served(body));
        }
        self.remove(now, id);
        self.tell_ended(now, id, &out, Outcome::Ok, true, report, billed);
    }

    /// An attempt is proven over without a result, and may have run or not; the module decides what follows.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        (outcome, ran): (Outcome, bool),
        report: LoadReport,
        billed: (Option<f64>, Option<f64>),
    ) {
        self.rest_key(now, id, outcome);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.ended(attempt, ran) else {
            return;
        };
        match outcome {
            Outcome::NoConnectionSlot => open.history.uncount(),
            _ => open.last = Some((outcome, out.engine)),
        }
        // The client of a stream was told by the break in it.
        let finished = open.streaming || open.over;
        if finished {
            self.remove(now, id);
        }
        self.tell_ended(now, id, &out, outcome, finished, report, billed);
    }

    #[allow(clippy::too_many_arguments)]
    #[expect(clippy::similar_names, reason = "not split yet")]
    fn tell_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        out: &InFlight,
        outcome: Outcome,
        finished: bool,
        report: LoadReport,
        (billed_ms, billed_mb): (Option<f64>, Option<f64>),
    ) {
        self.count_end(outcome).increment();
        let (attempt, engine, took_ms) = (out.number, out.engine, now - out.sent.at_ms);
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
        self.tell(now, Event::AttemptEnded(ended));
    }

    pub(super) fn count_end(&self, outcome: Outcome) -> &Counter {
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
    pub(super) fn deadline(&mut self, now: Millis, id: RequestId) {
        if self.requests.get(&id).is_some_and(|o| !o.streaming) {
            self.answer(
                now,
                id,
                Answer::Failed(FailureReason::DeadlineExceeded),
                Outcome::TimedOut,
            );
            self.tell(now, Event::ClientDisconnected { id });
        }
    }

    /// An attempt on a machine that vanished says nothing and is not reset. What may be repeated is given up;
    /// what may run once only waits on, as no other attempt is allowed anyway.
    pub(super) fn silence(&mut self, now: Millis, id: RequestId, attempt: u16, armed: Millis) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.streaming) else {
            return;
        };
        let Some(heard) = open.history.out_as(attempt, None).map(|o| o.last_heard_ms) else {
            return;
        };
        let due = heard + self.limits.attempt_silence_ms;
        if due > armed {
            self.arm(due, Alarm::Silence(id, attempt));
        } else if self.repeatable(id) {
            self.give_up(now, id, Outcome::TimedOut);
        }
    }

    /// Gives up what is out for a request. It stays out, and the module hears nothing, until its engine's actor has
    /// proven it over: a further attempt before that would be out beside it.
    pub(super) fn give_up(&mut self, now: Millis, id: RequestId, as_what: Outcome) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.history.give_up(now, as_what) else {
            return;
        };
        open.cancellation.cancel();
        self.engines
            .cancel_attempt(out.engine, id, out.number, !open.over);
        self.arm(
            now + self.limits.cancellation_resend_ms,
            Alarm::Quit(id, out.number),
        );
    }

    /// No proof so far. Guard: an order that found its mailbox full is given again. Guard: without a proof in its time
    /// nothing may follow, so the request ends.
    pub(super) fn unproven(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let (over, streaming) = (open.over, open.streaming);
        let Some(out) = open.history.out_as(attempt, None) else {
            return;
        };
        let (engine, Some((since, _))) = (out.engine, out.cancelling) else {
            return;
        };
        if now - since < self.limits.cancellation_timeout_ms {
            self.engines.cancel_attempt(engine, id, attempt, !over);
            return self.arm(
                now + self.limits.cancellation_resend_ms,
                Alarm::Quit(id, attempt),
            );
        }
        self.metrics.cancellations_timed_out.increment();
        if !over && !streaming {
            self.answer(
                now,
                id,
                Answer::Failed(FailureReason::AttemptFailed),
                Outcome::TimedOut,
            );
            self.tell(now, Event::ClientDisconnected { id });
        }
        self.ended(
            now,
            id,
            attempt,
            (Outcome::TimedOut, true),
            LoadReport::default(),
            (None, None),
        );
    }

    /// The one final answer: whoever comes second finds the request over.
    pub(super) fn answer(&mut self, now: Millis, id: RequestId, answer: Answer, as_what: Outcome) {
        let Some(client) = self.close(now, id, as_what) else {
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
    pub(super) fn close(
        &mut self,
        now: Millis,
        id: RequestId,
        as_what: Outcome,
    ) -> Option<Arc<dyn ClientPort>> {
        let open = self.requests.get_mut(&id).filter(|o| !o.over)?;
        open.over = true;
        let (client, out, waiting) = (
            open.taken.client.clone(),
            open.history.out().is_some(),
            open.waiting.take(),
        );
        self.metrics.requests_open.decrement();
        match out {
            true => self.give_up(now, id, as_what),
            false => self.remove(now, id),
        }
        // Guard: the module holds a request until it hears how its attempt ended, and this one never went out.
        if let Some((number, engine, _)) = waiting {
            self.unsent(now, id, number, engine, Outcome::NotSent);
        }
        Some(client)
    }

    fn remove(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        self.names.remove(&open.taken.client_reference);
        self.held_bytes -= open.taken.statement.len();
        if let Some(key) = open.taken.order_key {
            self.leave_lease(now, key, id);
        }
        if !open.over {
            self.metrics.requests_open.decrement();
        }
    }
}
