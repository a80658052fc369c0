//! How the operators' policy of attempts narrows what the module may do: which further attempts may go out, after
//! which wait, within which budget, for how long, and which attempts may be called off. The decisions are those of
//! `attempts`; here they meet requests, timers and counters.

use super::{
    Arc, Core, EngineId, EnginePort, Millis, Outcome, Policy, RequestAttributes, RequestId, Timer,
    never_ran,
};
use crate::retry_policy::RetryDecision;

impl<E: EnginePort> Core<E> {
    /// Whether an attempt may go out now: `Some(Ok)`; after a back-off of so many ms: `Some(Err(wait))`; or not at
    /// all, as its policy has no attempt left, none after the last end, or its budget is spent: `None`.
    pub(super) fn check_retry_policy(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u16,
        engine: EngineId,
    ) -> Option<Result<(), Millis>> {
        let open = self.requests.get_mut(&id)?;
        let made = open.history.attempts_counted().saturating_sub(1);
        if made == 0 {
            open.policy
                .budget
                .iter()
                .for_each(|budget| budget.record_first_attempt(now));
            return Some(Ok(()));
        }
        let (end, before) = open.last_end.unwrap_or((Outcome::NotSent, engine));
        match open
            .policy
            .retry_decision(made, end, now, chance(id, number))
        {
            RetryDecision::NotRetryable => {
                tracing::debug!(
                    id,
                    attempt = number,
                    ?end,
                    "no further attempt by the policy"
                );
                self.metrics.retries_denied_by_policy.increment();
                None
            }
            RetryDecision::BudgetExhausted => {
                tracing::debug!(id, attempt = number, "held: the budget is spent");
                self.metrics.retries_denied_by_budget.increment();
                None
            }
            // Guard: what provably never ran loaded nobody; elsewhere it goes at once.
            RetryDecision::RetryAfter(wait)
                if wait > 0.0 && !(never_ran(end) && before != engine) =>
            {
                Some(Err(wait))
            }
            RetryDecision::RetryAfter(_) => Some(Ok(())),
        }
    }

    /// Holds an attempt back until its back-off is over; the module takes it as out meanwhile.
    pub(super) fn start_backoff(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: (u16, EngineId, Option<Millis>),
        wait: Millis,
    ) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.backoff = Some(attempt);
        tracing::debug!(id, attempt = attempt.0, wait_ms = wait, "backs off");
        self.metrics.retries_delayed_by_backoff.increment();
        self.set_timer(now + wait, Timer::BackoffElapsed(id, attempt.0));
    }

    /// The back-off is over: the attempt goes out where its engine still takes it, else the module hears why not.
    pub(super) fn backoff_elapsed(&mut self, now: Millis, id: RequestId, number: u16) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((_, engine, timeout_ms)) = open.backoff.take_if(|w| w.0 == number) else {
            return;
        };
        let ready =
            self.roster.is_ready(engine) && !self.gateway.manual_ejections().contains(&engine);
        // Guard: an engine that drains, or was taken out, meanwhile gets nothing.
        let unsent = if ready {
            self.send_attempt(now, id, number, engine, timeout_ms)
        } else {
            Some(Outcome::NoConnection)
        };
        if let Some(outcome) = unsent {
            self.report_not_sent(now, id, number, engine, outcome);
        }
    }

    /// An attempt has had its time: it is given up as timed out, and its end proven as for any other.
    pub(super) fn attempt_timed_out(&mut self, now: Millis, id: RequestId, number: u16) {
        let Some(open) = self
            .requests
            .get_mut(&id)
            .filter(|o| !o.streaming && !o.answered)
        else {
            return;
        };
        if open
            .history
            .in_flight_as(number, None)
            .is_some_and(|out| out.cancelling.is_none())
        {
            self.metrics.attempt_timeouts.increment();
            self.cancel_in_flight(now, id, Outcome::TimedOut);
        }
    }

    /// The module calls an attempt off to send another. Guard: where the policy allows none after it, the attempt goes
    /// on, as it may still answer.
    pub(super) fn cancel_attempt(&mut self, now: Millis, id: RequestId, attempt: u16) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.streaming) else {
            return;
        };
        if open.history.in_flight_as(attempt, None).is_none() {
            return;
        }
        if open
            .policy
            .allows_retry_after(open.history.attempts_counted(), Outcome::Cancelled)
        {
            self.cancel_in_flight(now, id, Outcome::Cancelled);
        } else {
            self.metrics.cancellations_denied_by_policy.increment();
        }
    }

    /// A new policy: requests keep the one they were taken under, but none has more attempts than the new one allows.
    pub(super) fn apply_policy(&mut self, policy: Arc<Policy>) {
        policy.carry_over_budgets(&self.policy);
        for open in self.requests.values_mut() {
            let at = RequestAttributes {
                class: self
                    .gateway
                    .settings()
                    .class_position(&open.request.class.name, &open.request.class.class)
                    .unwrap_or(usize::MAX),
                member: policy.member_position(&open.request.member),
                frontend: open.request.frontend,
                data_set: open.request.data_set,
            };
            if let Some(lower) = policy.resolve(&at).max_attempts {
                open.policy.max_attempts = Some(
                    open.policy
                        .max_attempts
                        .map_or(lower, |held| held.min(lower)),
                );
            }
        }
        self.policy = policy;
    }
}

/// A number from 0 to 1 that follows from the request and attempt alone, so that plays can be repeated.
fn chance(id: RequestId, number: u16) -> f64 {
    let mut x = (u64::from(id) << 16 | u64::from(number)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
