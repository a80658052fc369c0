//! The keys that a table of the operators' file sets, with the types of their values, and what they allow after an
//! attempt's end.

use super::budget::Budget;
use crate::attempt::never_ran;
use crate::decision::{Millis, Outcome};
use std::sync::Arc;

/// The ends of an attempt that may be followed by another one, as a set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeSet(u8);

/// Those ends with their names in the operators' file.
pub const RETRYABLE_OUTCOMES: [(&str, Outcome); 6] = [
    ("no-connection", Outcome::NoConnection),
    ("full", Outcome::Rejected),
    ("never-sent", Outcome::NotSent),
    ("reset", Outcome::Reset),
    ("error", Outcome::Error),
    ("timed-out", Outcome::TimedOut),
];

impl OutcomeSet {
    /// All of them.
    pub fn all() -> OutcomeSet {
        RETRYABLE_OUTCOMES
            .iter()
            .fold(OutcomeSet::default(), |all, (_, end)| all.with(*end))
    }

    /// This set and one more. A called-off attempt counts as timed out: it took too long.
    #[must_use]
    pub fn with(self, end: Outcome) -> OutcomeSet {
        OutcomeSet(self.0 | OutcomeSet::bit(end))
    }

    /// Whether it has this end.
    pub fn contains(self, end: Outcome) -> bool {
        self.0 & OutcomeSet::bit(end) != 0
    }

    /// Those among them after which the attempt may have run.
    pub fn names_that_may_have_run(self) -> impl Iterator<Item = &'static str> {
        RETRYABLE_OUTCOMES
            .iter()
            .filter(move |(_, end)| self.contains(*end) && !never_ran(*end))
            .map(|(name, _)| *name)
    }

    fn bit(end: Outcome) -> u8 {
        let end = if end == Outcome::Cancelled {
            Outcome::TimedOut
        } else {
            end
        };
        RETRYABLE_OUTCOMES
            .iter()
            .position(|(_, e)| *e == end)
            .map_or(0, |at| 1 << at)
    }
}

/// Waits before further attempts, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// Before the second attempt; twice as long before each further one.
    pub base_ms: Millis,
    /// At most.
    pub max_ms: Millis,
    /// The share of a wait, from 0 to 1, that chance may take off.
    pub jitter: f64,
}

impl Backoff {
    /// The wait before the next attempt, after so many (from 1); `chance` is from 0 to 1.
    pub fn wait_ms(&self, made: u16, chance: f64) -> Millis {
        let doublings = i32::from(made.saturating_sub(1).min(30));
        let whole = (self.base_ms * 2f64.powi(doublings)).min(self.max_ms);
        whole * (1.0 - self.jitter * chance.clamp(0.0, 1.0))
    }

    /// All waits of so many attempts, without jitter.
    pub fn all_ms(&self, attempts: u32) -> Millis {
        (1..attempts.min(64))
            .map(|made| self.wait_ms(made as u16, 0.0))
            .sum()
    }
}

/// When a second copy of an attempt goes out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgingDelay {
    /// Once the attempt has been out this long, in ms.
    Ms(Millis),
    /// Once it has been out for longer than this share of its class's usual ones, as 0.95.
    Quantile(f64),
}

/// Second copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingPolicy {
    /// When.
    pub after: HedgingDelay,
    /// Copies against first attempts.
    pub ratio: f64,
}

/// The keys that a table of the operators' file sets; none where it leaves one out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptPolicy {
    /// The whole request, in ms.
    pub timeout_ms: Option<Millis>,
    /// One attempt, in ms.
    pub attempt_timeout_ms: Option<Millis>,
    /// Attempts, the first included.
    pub max_attempts: Option<u32>,
    /// The ends that may be followed by another attempt.
    pub retry_on: Option<OutcomeSet>,
    /// Waits before further attempts.
    pub backoff: Option<Backoff>,
    /// Further attempts of all requests that take it from here.
    pub budget: Option<Arc<Budget>>,
    /// Second copies.
    pub hedging: Option<HedgingPolicy>,
}

impl AttemptPolicy {
    /// These, and those of `over` in the place of any that both set.
    pub fn override_with(&mut self, over: &AttemptPolicy) {
        fn one<T: Clone>(under: &mut Option<T>, over: &Option<T>) {
            if over.is_some() {
                under.clone_from(over);
            }
        }
        one(&mut self.timeout_ms, &over.timeout_ms);
        one(&mut self.attempt_timeout_ms, &over.attempt_timeout_ms);
        one(&mut self.max_attempts, &over.max_attempts);
        one(&mut self.retry_on, &over.retry_on);
        one(&mut self.backoff, &over.backoff);
        one(&mut self.budget, &over.budget);
        one(&mut self.hedging, &over.hedging);
    }

    /// The names of the keys that both set, and to different values.
    pub fn conflicting_keys(&self, other: &AttemptPolicy) -> Vec<&'static str> {
        let differ = |((key, a), (_, b)): (Shown, Shown)| {
            matches!((a, b), (Some(a), Some(b)) if a != b).then_some(key)
        };
        self.key_values()
            .into_iter()
            .zip(other.key_values())
            .filter_map(differ)
            .collect()
    }

    /// Each key with its value as the file writes it, none where this table leaves it out.
    pub fn key_values(&self) -> [Shown; 7] {
        let ends = |ends: &OutcomeSet| {
            let names: Vec<String> = RETRYABLE_OUTCOMES
                .iter()
                .filter(|(_, e)| ends.contains(*e))
                .map(|(n, _)| format!("{n:?}"))
                .collect();
            format!("[{}]", names.join(", "))
        };
        let wait = |b: &Backoff| {
            format!(
                "{{ base_ms = {}, max_ms = {}, jitter = {} }}",
                b.base_ms, b.max_ms, b.jitter
            )
        };
        let budget = |b: &Arc<Budget>| {
            let window_s = b.window_ms / 1000.0;
            format!(
                "{{ ratio = {}, min_per_s = {}, window_s = {window_s} }}",
                b.ratio, b.min_per_s
            )
        };
        let copy = |c: &HedgingPolicy| match c.after {
            HedgingDelay::Ms(ms) => format!("{{ after_ms = {ms}, ratio = {} }}", c.ratio),
            HedgingDelay::Quantile(q) => {
                format!("{{ after = \"p{}\", ratio = {} }}", q * 100.0, c.ratio)
            }
        };
        [
            ("timeout_ms", self.timeout_ms.map(|ms| ms.to_string())),
            (
                "attempt_timeout_ms",
                self.attempt_timeout_ms.map(|ms| ms.to_string()),
            ),
            ("max_attempts", self.max_attempts.map(|n| n.to_string())),
            ("retry_on", self.retry_on.as_ref().map(ends)),
            ("backoff", self.backoff.as_ref().map(wait)),
            ("budget", self.budget.as_ref().map(budget)),
            ("second_copy", self.hedging.as_ref().map(copy)),
        ]
    }
}

/// A key with its value as the file writes it, none where a table leaves it out.
pub type Shown = (&'static str, Option<String>);

impl AttemptPolicy {
    /// Whether another attempt may follow this end after so many, budget aside.
    pub fn allows_retry_after(&self, made: u16, end: Outcome) -> bool {
        self.max_attempts.is_none_or(|most| u32::from(made) < most)
            && self.retry_on.is_none_or(|ends| ends.contains(end))
    }
}

/// What may follow an end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// Another attempt, after this wait in ms.
    RetryAfter(Millis),
    /// None: the policy has no attempt left, or none after such an end.
    NotRetryable,
    /// None for now: the budget is spent.
    BudgetExhausted,
}

impl AttemptPolicy {
    /// What may follow this end of an attempt, after so many, at `now`; a further attempt is counted against the
    /// budget. `chance` is from 0 to 1. A key that nothing sets bars nothing.
    pub fn retry_decision(
        &self,
        made: u16,
        end: Outcome,
        now: Millis,
        chance: f64,
    ) -> RetryDecision {
        if !self.allows_retry_after(made, end) {
            return RetryDecision::NotRetryable;
        }
        if self
            .budget
            .as_ref()
            .is_some_and(|budget| !budget.try_take(now))
        {
            return RetryDecision::BudgetExhausted;
        }
        RetryDecision::RetryAfter(self.backoff.map_or(0.0, |wait| wait.wait_ms(made, chance)))
    }
}
