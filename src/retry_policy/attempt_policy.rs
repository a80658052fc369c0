//! The attempt policy: the keys that one table of the operators' file sets, and the retries that
//! they allow after the end of an attempt.

use super::budget::Budget;
use crate::attempt::never_ran;
use crate::decision::{Millis, Outcome};
use std::sync::Arc;

/// Largest number of times that the base delay is doubled.
const MAX_DOUBLINGS: u16 = 30;

/// Largest number of attempts whose delays are added up.
const MAX_SUMMED_ATTEMPTS: u32 = 64;

/// A set of outcomes after which an attempt may be retried, with one bit for each of
/// [`RETRYABLE_OUTCOMES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeSet(u8);

/// The outcomes after which a policy can allow a retry, with their names in the operators' file.
pub const RETRYABLE_OUTCOMES: [(&str, Outcome); 6] = [
    ("no-connection", Outcome::NoConnection),
    ("full", Outcome::Rejected),
    ("never-sent", Outcome::NotSent),
    ("reset", Outcome::Reset),
    ("error", Outcome::Error),
    ("timed-out", Outcome::TimedOut),
];

impl OutcomeSet {
    /// Returns the set of all retryable outcomes.
    pub fn all() -> OutcomeSet {
        RETRYABLE_OUTCOMES
            .iter()
            .fold(OutcomeSet::default(), |set, (_, outcome)| {
                set.with(*outcome)
            })
    }

    /// Returns this set with one more outcome. A cancelled attempt counts as timed out, because it
    /// took too long.
    #[must_use]
    pub fn with(self, outcome: Outcome) -> OutcomeSet {
        OutcomeSet(self.0 | OutcomeSet::bit(outcome))
    }

    /// Returns this set without the outcomes after which the attempt may have run.
    #[must_use]
    pub fn without_outcomes_that_may_have_run(self) -> OutcomeSet {
        RETRYABLE_OUTCOMES
            .iter()
            .filter(|(_, outcome)| never_ran(*outcome) && self.contains(*outcome))
            .fold(OutcomeSet::default(), |set, (_, outcome)| {
                set.with(*outcome)
            })
    }

    /// Whether an outcome is in the set.
    pub fn contains(self, outcome: Outcome) -> bool {
        self.0 & OutcomeSet::bit(outcome) != 0
    }

    /// Returns the names of the outcomes in the set.
    pub fn names(self) -> impl Iterator<Item = &'static str> {
        RETRYABLE_OUTCOMES
            .iter()
            .filter(move |(_, outcome)| self.contains(*outcome))
            .map(|(name, _)| *name)
    }

    /// Returns the names of the outcomes in the set after which the attempt may have run.
    pub fn names_that_may_have_run(self) -> impl Iterator<Item = &'static str> {
        RETRYABLE_OUTCOMES
            .iter()
            .filter(move |(_, outcome)| self.contains(*outcome) && !never_ran(*outcome))
            .map(|(name, _)| *name)
    }

    /// Returns the bit of an outcome, or 0 if the outcome is not retryable.
    fn bit(outcome: Outcome) -> u8 {
        let counted_as = if outcome == Outcome::Cancelled {
            Outcome::TimedOut
        } else {
            outcome
        };
        RETRYABLE_OUTCOMES
            .iter()
            .position(|(_, retryable)| *retryable == counted_as)
            .map_or(0, |position| 1 << position)
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// Delay before the second attempt, in ms. It doubles for each further attempt.
    pub base_ms: Millis,
    /// Longest delay, in ms.
    pub max_ms: Millis,
    /// Largest fraction of a delay, from 0 to 1, by which jitter shortens it.
    pub jitter: f64,
}

impl Backoff {
    /// Returns the delay before the next attempt, in ms. `attempts_made` is at least 1; `random` is
    /// from 0 to 1.
    pub fn delay_before_retry_ms(&self, attempts_made: u16, random: f64) -> Millis {
        let doublings = i32::from(attempts_made.saturating_sub(1).min(MAX_DOUBLINGS));
        let delay_ms = (self.base_ms * 2f64.powi(doublings)).min(self.max_ms);
        delay_ms * (1.0 - self.jitter * random.clamp(0.0, 1.0))
    }

    /// Returns the sum of the delays between this number of attempts without jitter, in ms.
    pub fn total_delay_ms(&self, attempts: u32) -> Millis {
        (1..attempts.min(MAX_SUMMED_ATTEMPTS))
            .map(|attempts_made| self.delay_before_retry_ms(attempts_made as u16, 0.0))
            .sum()
    }
}

/// When a hedged request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgingDelay {
    /// Once the attempt has been in flight for this time, in ms.
    Ms(Millis),
    /// Once the attempt has been in flight for longer than this quantile of the latency of its
    /// class, such as 0.95.
    Quantile(f64),
}

/// When and how often hedged requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingPolicy {
    /// When a hedged request is sent.
    pub after: HedgingDelay,
    /// Number of hedged requests allowed for each first attempt.
    pub ratio: f64,
}

/// The values of the keys in a table of the operators' file. A key that the table does not set is
/// `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptPolicy {
    /// Timeout of the whole request, in ms.
    pub timeout_ms: Option<Millis>,
    /// Timeout of one attempt, in ms.
    pub attempt_timeout_ms: Option<Millis>,
    /// Limit on attempts, including the first.
    pub max_attempts: Option<u32>,
    /// The outcomes after which an attempt may be retried.
    pub retry_on: Option<OutcomeSet>,
    /// Delays before retries.
    pub backoff: Option<Backoff>,
    /// The retry budget. All requests whose budget comes from the same table share it.
    pub budget: Option<Arc<Budget>>,
    /// When and how often hedged requests are sent.
    pub hedging: Option<HedgingPolicy>,
}

/// A key of a table and its value, in the notation of the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key's name.
    pub key: &'static str,
    /// The value, or `None` if the table does not set the key.
    pub value: Option<String>,
}

/// Whether and when an attempt may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// A retry may start after this delay in ms.
    RetryAfter(Millis),
    /// No retry: the limit on attempts is reached, or the outcome is not in `retry_on`.
    NotRetryable,
    /// No retry at this time: the budget is exhausted.
    BudgetExhausted,
}

impl AttemptPolicy {
    /// Replaces the value of each key that `other` sets by the value in `other`.
    pub fn override_with(&mut self, other: &AttemptPolicy) {
        fn override_key<T: Clone>(value: &mut Option<T>, override_value: &Option<T>) {
            if override_value.is_some() {
                value.clone_from(override_value);
            }
        }
        override_key(&mut self.timeout_ms, &other.timeout_ms);
        override_key(&mut self.attempt_timeout_ms, &other.attempt_timeout_ms);
        override_key(&mut self.max_attempts, &other.max_attempts);
        override_key(&mut self.retry_on, &other.retry_on);
        override_key(&mut self.backoff, &other.backoff);
        override_key(&mut self.budget, &other.budget);
        override_key(&mut self.hedging, &other.hedging);
    }

    /// Returns a copy of this policy, overridden by `other` if there is one.
    pub(super) fn overridden_by(&self, other: Option<&AttemptPolicy>) -> AttemptPolicy {
        let mut policy = self.clone();
        if let Some(other) = other {
            policy.override_with(other);
        }
        policy
    }

    /// Returns this policy as it applies to a class of non-idempotent requests: without hedging,
    /// and without the outcomes in `retry_on` after which the attempt may have run.
    #[must_use]
    pub fn for_non_idempotent(&self) -> AttemptPolicy {
        AttemptPolicy {
            hedging: None,
            retry_on: self
                .retry_on
                .map(OutcomeSet::without_outcomes_that_may_have_run),
            ..self.clone()
        }
    }

    /// Returns the names of the keys that both policies set to different values.
    pub fn conflicting_keys(&self, other: &AttemptPolicy) -> Vec<&'static str> {
        let both_set =
            |left: &KeyValue, right: &KeyValue| left.value.is_some() && right.value.is_some();
        self.key_values()
            .into_iter()
            .zip(other.key_values())
            .filter(|(left, right)| both_set(left, right) && left.value != right.value)
            .map(|(left, _)| left.key)
            .collect()
    }

    /// Returns each key with its value, in the order in which `POLICY` and `explain` print them.
    pub fn key_values(&self) -> [KeyValue; 7] {
        let key_value = |key: &'static str, value: Option<String>| KeyValue { key, value };
        let number = |ms: Millis| ms.to_string();
        [
            key_value("timeout_ms", self.timeout_ms.map(number)),
            key_value("attempt_timeout_ms", self.attempt_timeout_ms.map(number)),
            key_value("max_attempts", self.max_attempts.map(|n| n.to_string())),
            key_value("retry_on", self.retry_on.map(format_outcomes)),
            key_value("backoff", self.backoff.as_ref().map(format_backoff)),
            key_value("budget", self.budget.as_deref().map(format_budget)),
            key_value("second_copy", self.hedging.as_ref().map(format_hedging)),
        ]
    }

    /// Whether `max_attempts` and `retry_on` allow a retry after this number of attempts and this
    /// outcome. The budget is not considered.
    pub fn allows_retry_after(&self, attempts_made: u16, outcome: Outcome) -> bool {
        self.max_attempts
            .is_none_or(|max_attempts| u32::from(attempts_made) < max_attempts)
            && self
                .retry_on
                .is_none_or(|outcomes| outcomes.contains(outcome))
    }

    /// Decides whether a retry may follow after this number of attempts and this outcome, and
    /// counts an allowed retry against the budget. `random` is from 0 to 1. A key that is not set
    /// limits nothing.
    #[must_use]
    pub fn retry_decision(
        &self,
        attempts_made: u16,
        outcome: Outcome,
        now: Millis,
        random: f64,
    ) -> RetryDecision {
        if !self.allows_retry_after(attempts_made, outcome) {
            return RetryDecision::NotRetryable;
        }
        let budget = self.budget.as_ref();
        if budget.is_some_and(|budget| !budget.try_record_retry(now)) {
            return RetryDecision::BudgetExhausted;
        }
        let delay_ms = self.backoff.map_or(0.0, |backoff| {
            backoff.delay_before_retry_ms(attempts_made, random)
        });
        RetryDecision::RetryAfter(delay_ms)
    }
}

fn format_outcomes(outcomes: OutcomeSet) -> String {
    let names: Vec<String> = outcomes.names().map(|name| format!("{name:?}")).collect();
    format!("[{}]", names.join(", "))
}

fn format_backoff(backoff: &Backoff) -> String {
    format!(
        "{{ base_ms = {}, max_ms = {}, jitter = {} }}",
        backoff.base_ms, backoff.max_ms, backoff.jitter
    )
}

fn format_budget(budget: &Budget) -> String {
    let window_s = budget.window_ms / 1000.0;
    format!(
        "{{ ratio = {}, min_per_s = {}, window_s = {window_s} }}",
        budget.ratio, budget.min_per_s
    )
}

fn format_hedging(hedging: &HedgingPolicy) -> String {
    let ratio = hedging.ratio;
    match hedging.after {
        HedgingDelay::Ms(ms) => format!("{{ after_ms = {ms}, ratio = {ratio} }}"),
        HedgingDelay::Quantile(quantile) => {
            let percentile = quantile * 100.0;
            format!("{{ after = \"p{percentile}\", ratio = {ratio} }}")
        }
    }
}
