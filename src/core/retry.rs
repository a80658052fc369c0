//! Enforcement of the operators' retry policy: which retries may be sent, after which backoff and
//! within which budget, how long an attempt may take, and which attempts may be cancelled. The
//! policy itself is in [`retry_policy`](crate::retry_policy); this module applies it to requests,
//! timers and metrics.

use super::requests::PlannedAttempt;
use super::timers::Timer;
use super::{Arc, Core, EnginePort, Millis, Outcome, Policy, RequestAttributes, RequestId};
use crate::attempt::never_ran;
use crate::decision::EngineId;
use crate::retry_policy::RetryDecision;

/// Whether and when the retry policy allows an attempt to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RetryCheck {
    /// At once.
    SendNow,
    /// After this backoff, in ms.
    SendAfter(Millis),
    /// Not at all: the limit on attempts is reached, no retry may follow the last outcome, or the
    /// budget is exhausted.
    Denied,
}

impl<E: EnginePort> Core<E> {
    /// Checks an attempt against the policy of its request. A retry is counted against the budget.
    pub(super) fn check_retry_policy(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        engine: EngineId,
    ) -> RetryCheck {
        let Some(request) = self.requests.get_mut(id) else {
            return RetryCheck::Denied;
        };
        let attempts_before = request.history.attempts_counted().saturating_sub(1);
        if attempts_before == 0 {
            if let Some(budget) = &request.policy.budget {
                budget.record_first_attempt(now);
            }
            return RetryCheck::SendNow;
        }
        let (last_outcome, last_engine) = request
            .last_end
            .map_or((Outcome::NotSent, engine), |end| (end.outcome, end.engine));
        let jitter = jitter_fraction(id, attempt);
        let decision = request
            .policy
            .retry_decision(attempts_before, last_outcome, now, jitter);
        match decision {
            RetryDecision::NotRetryable => {
                tracing::debug!(id, attempt, outcome = ?last_outcome, "retry denied by the policy");
                self.metrics.retries_denied_by_policy.increment();
                RetryCheck::Denied
            }
            RetryDecision::BudgetExhausted => {
                tracing::debug!(id, attempt, "retry denied: the retry budget is exhausted");
                self.metrics.retries_denied_by_budget.increment();
                RetryCheck::Denied
            }
            RetryDecision::RetryAfter(wait_ms) => {
                // An attempt that never ran caused no load, so another engine may be tried at once.
                let skip_backoff = never_ran(last_outcome) && last_engine != engine;
                if wait_ms > 0.0 && !skip_backoff {
                    RetryCheck::SendAfter(wait_ms)
                } else {
                    RetryCheck::SendNow
                }
            }
        }
    }

    /// Delays an attempt by its backoff. The dispatcher counts it as in flight during that time.
    pub(super) fn start_backoff(
        &mut self,
        now: Millis,
        id: RequestId,
        delayed: PlannedAttempt,
        wait_ms: Millis,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.backoff = Some(delayed);
        let attempt = delayed.number;
        tracing::debug!(id, attempt, wait_ms, "attempt delayed by backoff");
        self.metrics.retries_delayed_by_backoff.increment();
        self.set_timer(now + wait_ms, Timer::BackoffElapsed { id, attempt });
    }

    /// The backoff is over: the attempt is sent if its engine still accepts it.
    pub(super) fn backoff_elapsed(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(delayed) = request.backoff.take_if(|delayed| delayed.number == attempt) else {
            return;
        };
        // The engine may have started to drain, or been ejected, during the backoff.
        let sent = if self.accepts_attempts(delayed.engine) {
            self.send_attempt(now, id, delayed)
        } else {
            Err(Outcome::NoConnection)
        };
        if let Err(outcome) = sent {
            self.report_not_sent(now, id, attempt, delayed.engine, outcome);
        }
    }

    /// An attempt has run for as long as its policy allows: it is cancelled and ends as timed out.
    pub(super) fn attempt_timed_out(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(request) = self
            .requests
            .get_mut(id)
            .filter(|request| !request.streaming && !request.answered)
        else {
            return;
        };
        let running = request
            .history
            .in_flight_matching(attempt, None)
            .is_some_and(|in_flight| in_flight.cancellation.is_none());
        if running {
            self.metrics.attempt_timeouts.increment();
            self.cancel_in_flight(now, id, Outcome::TimedOut);
        }
    }

    /// Cancels an attempt for the dispatcher, which cancels one in order to send another. If the
    /// policy allows no further attempt, this one is not cancelled, as it may still succeed.
    pub(super) fn cancel_attempt(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_not_streaming_mut(id) else {
            return;
        };
        if request.history.in_flight_matching(attempt, None).is_none() {
            return;
        }
        let attempts = request.history.attempts_counted();
        if request
            .policy
            .allows_retry_after(attempts, Outcome::Cancelled)
        {
            self.cancel_in_flight(now, id, Outcome::Cancelled);
        } else {
            self.metrics.cancellations_denied_by_policy.increment();
        }
    }

    /// Applies a new retry policy. Open requests keep the attempt policy that they were admitted
    /// with, but get no more attempts than the new one allows.
    pub(super) fn apply_policy(&mut self, policy: Arc<Policy>) {
        policy.carry_over_budgets(&self.policy);
        for request in self.requests.values_mut() {
            let accepted = &request.accepted;
            let attributes = RequestAttributes {
                class: self
                    .dispatcher
                    .settings()
                    .class_position(&accepted.class.name, &accepted.class.class)
                    .unwrap_or(usize::MAX),
                member: policy.member_position(&accepted.member),
                frontend: accepted.frontend,
                data_set: accepted.data_set,
            };
            if let Some(new_limit) = policy.resolve(&attributes).max_attempts {
                let max_attempts = &mut request.policy.max_attempts;
                *max_attempts = Some(
                    max_attempts.map_or(new_limit, |current_limit| current_limit.min(new_limit)),
                );
            }
        }
        self.policy = policy;
    }
}

/// A number from 0 to 1 that depends only on the request and the attempt (a SplitMix64 hash), so
/// that runs are reproducible.
fn jitter_fraction(id: RequestId, attempt: u16) -> f64 {
    let seed = u64::from(id) << 16 | u64::from(attempt);
    let mut hash = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
