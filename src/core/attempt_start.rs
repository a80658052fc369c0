//! The start of attempts: the checks that every attempt of the dispatcher has to pass, and the
//! handover to the engine's actor.

use super::requests::{LastEnd, PlannedAttempt};
use super::retry::RetryCheck;
use super::roster::EngineLocation;
use super::timers::Timer;
use super::{
    AttemptRequest, CancellationFlag, Core, EnginePort, Event, Millis, Outcome, RequestId,
};
use crate::attempt::SentTo;
use crate::decision::{AttemptEnded, DedupScope, EngineId, Idempotency, LoadReport};
use crate::log::lossy_text;
use crate::node_config::format_engine_id;

/// A retry with an idempotency key must be written at least this long, in ms, before the
/// deduplication window of the first attempt ends.
const DEDUP_MARGIN_MS: Millis = 1.0;

/// The highest priority of an attempt.
const MAX_PRIORITY: u8 = 3;

impl<E: EnginePort> Core<E> {
    /// Sends an attempt, or delays it by its backoff. The error is the outcome of an attempt that
    /// was not sent and provably never ran.
    pub(super) fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        engine: EngineId,
        timeout_ms: Option<Millis>,
    ) -> Result<(), Outcome> {
        let resend_allowed = self.resend_deadline(now, id, engine).is_some();
        let engine_accepts_attempts = self.accepts_attempts(engine);
        let max_attempts = self.dispatcher.settings().max_attempts;
        let Some(request) = self.requests.get_mut(id) else {
            return Ok(());
        };
        // No attempt is sent if another one is in flight or in backoff, if a non-idempotent request
        // may have run already, if the limit on attempts is reached, or if the request is answered.
        let next_number = request.history.next_attempt(resend_allowed, max_attempts);
        let is_due = !request.answered && request.backoff.is_none();
        let Some(number) = next_number.ok().filter(|_| is_due) else {
            let denied = next_number.err();
            tracing::debug!(
                id, engine = %format_engine_id(engine), ?denied, is_due,
                "attempt blocked: the request may not have another one now"
            );
            self.metrics.sends_blocked_by_guard.increment();
            return Err(Outcome::NotSent);
        };
        if !engine_accepts_attempts {
            tracing::debug!(
                id, engine = %format_engine_id(engine), attempt = number,
                "attempt blocked: its engine is not ready or is manually ejected"
            );
            self.metrics.sends_blocked_by_guard.increment();
            return Err(Outcome::NoConnection);
        }
        let attempt = PlannedAttempt {
            number,
            engine,
            timeout_ms,
        };
        match self.check_retry_policy(now, id, number, engine) {
            RetryCheck::SendNow => self.send_attempt(now, id, attempt),
            RetryCheck::SendAfter(wait_ms) => {
                self.start_backoff(now, id, attempt, wait_ms);
                Ok(())
            }
            RetryCheck::Denied => Err(Outcome::NotSent),
        }
    }

    /// Whether an engine may get attempts: it is ready in the endpoint list and not manually
    /// ejected.
    pub(super) fn accepts_attempts(&self, engine: EngineId) -> bool {
        self.roster.is_ready(engine) && !self.dispatcher.manual_ejections().contains(&engine)
    }

    /// The time before which an attempt must be written to this engine, in Unix ms. Infinite if no
    /// earlier attempt may have run and for idempotent requests; `None` if no further attempt may
    /// be sent. With an idempotency key, engines in the same deduplication scope (all engines, a
    /// zone or a cell) drop a repeat until the deduplication window ends, which starts with the
    /// first attempt that may have run.
    pub(super) fn resend_deadline(
        &self,
        now: Millis,
        id: RequestId,
        engine: EngineId,
    ) -> Option<Millis> {
        let request = self.requests.get(id)?;
        if !request.history.ended_may_have_run() || request.is_idempotent() {
            return Some(Millis::INFINITY);
        }
        let class = &request.accepted.class.class;
        let Idempotency::WithKey(scope) = class.idempotency else {
            return None;
        };
        let first_run = request.history.first_possible_run()?;
        let EngineLocation { zone, cell } = self.roster.location(engine)?;
        let in_dedup_scope = match scope {
            DedupScope::All => true,
            DedupScope::Zone => zone == first_run.zone,
            DedupScope::Cell => cell == first_run.cell,
        };
        let deduplicated = in_dedup_scope && request.accepted.idempotency_key.is_some();
        deduplicated
            .then_some(first_run.sent_at_ms + class.dedup_window_ms - DEDUP_MARGIN_MS)
            .filter(|deadline_ms| now < *deadline_ms)
    }

    /// Passes an attempt to its engine's actor. The error is that of
    /// [`start_attempt`](Core::start_attempt).
    pub(super) fn send_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: PlannedAttempt,
    ) -> Result<(), Outcome> {
        let PlannedAttempt {
            number,
            engine,
            timeout_ms,
        } = attempt;
        // The deduplication window may have ended during the backoff.
        let Some(send_before_ms) = self.resend_deadline(now, id, engine) else {
            return Err(Outcome::NotSent);
        };
        let EngineLocation { zone, cell } = self.roster.location(engine).unwrap_or_default();
        let Some(request) = self.requests.get_mut(id) else {
            return Ok(());
        };
        let policy_timeout_ms = request.policy.attempt_timeout_ms;
        let timeout_ms = timeout_ms.filter(|ms| *ms > 0.0).or(policy_timeout_ms);
        let request_deadline_ms = request.accepted.deadline_ms;
        let deadline_ms = timeout_ms.map_or(request_deadline_ms, |ms| {
            (now + ms).min(request_deadline_ms)
        });
        request.cancellation = CancellationFlag::default();
        let attempt_request = AttemptRequest {
            id,
            attempt: number,
            client_reference: request.accepted.client_reference.clone(),
            class: request.accepted.class.clone(),
            deadline_ms,
            send_before_ms,
            memory_mb: request.memory_mb,
            priority: request.priority,
            idempotency_key: request.accepted.idempotency_key.clone(),
            statement: request.accepted.statement.clone(),
            statement_kind: request.accepted.statement_kind,
            cancellation: request.cancellation.clone(),
        };
        self.spent_references.record_sent(&request.accepted);
        if !self.engines.start_attempt(engine, attempt_request) {
            return Err(Outcome::NoConnection);
        }
        let sent_at_ms = now;
        request.history.record_sent(
            number,
            engine,
            SentTo {
                zone,
                cell,
                sent_at_ms,
            },
        );
        tracing::debug!(
            id,
            r#ref = %lossy_text(&request.accepted.client_reference),
            engine = %format_engine_id(engine),
            attempt = number,
            after = ?request.last_end.map(|end| end.outcome),
            deadline_ms,
            "attempt sent"
        );
        self.metrics.attempts_started.increment();
        self.set_attempt_timers(now, id, number, policy_timeout_ms);
        Ok(())
    }

    fn set_attempt_timers(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        policy_timeout_ms: Option<Millis>,
    ) {
        if self.limits.attempt_silence_timeout_ms.is_finite() {
            self.set_timer(
                now + self.limits.attempt_silence_timeout_ms,
                Timer::AttemptSilenceCheck { id, attempt },
            );
        }
        if let Some(timeout_ms) = policy_timeout_ms {
            self.set_timer(now + timeout_ms, Timer::AttemptTimeout { id, attempt });
        }
    }

    /// Notifies the dispatcher that an attempt was never sent.
    pub(super) fn report_not_sent(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) {
        self.outcome_counter(outcome).increment();
        tracing::debug!(id, engine = %format_engine_id(engine), attempt, ?outcome, "attempt not sent");
        if let Some(request) = self.requests.get_mut(id) {
            request.last_end = Some(LastEnd { outcome, engine });
        }
        let ended = AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms: 0.0,
            answered: self.requests.get(id).is_none_or(|request| request.answered),
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: LoadReport::default(),
        };
        self.notify_dispatcher(now, Event::AttemptEnded(ended));
    }

    /// Sets the memory grant and the priority of a request. A changed priority also applies to the
    /// attempt in flight.
    pub(super) fn set_attempt_terms(&mut self, id: RequestId, memory_mb: f64, priority: u8) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.memory_mb = memory_mb.clamp(0.0, self.limits.memory_grant_mb);
        let priority = priority.min(MAX_PRIORITY);
        let previous = std::mem::replace(&mut request.priority, priority);
        let in_flight = request
            .history
            .in_flight()
            .filter(|in_flight| previous != priority && in_flight.cancellation.is_none());
        if let Some(in_flight) = in_flight {
            self.engines
                .set_priority(in_flight.engine, id, in_flight.number, priority);
        }
    }
}
