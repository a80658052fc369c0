//! The rules that every attempt and every answer has to keep, checked as the engines and the clients see them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The deadline passed to an engine may exceed what the client has left by this much, and by the delay of this process.
const PATIENCE_SLACK: Duration = Duration::from_millis(500);

/// An engine gets nothing later than this after it began to drain: 250 ms, the time in which a broken connection to the
/// feed is resumed, and the delay of this process.
const MAX_START_AFTER_DRAIN: Duration = Duration::from_millis(250 + 1000);

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The engine answered, so that it may have run.
    Ran,
    /// The engine said that it never ran.
    NeverRan,
    /// The manager cancelled it.
    Cancelled,
    /// Its connection is closed.
    Closed,
}

/// One attempt that an engine has whole.
struct Attempt {
    connection: u64,
    end: Option<AttemptEnd>,
    /// The other attempts that were read while this one had no end, by their index in the order of reading.
    overlaps: Vec<usize>,
}

/// What is known of one request.
struct Request {
    non_idempotent: bool,
    deadline: Instant,
    attempts: Vec<Attempt>,
    /// Results that engines made for it.
    results: Vec<String>,
}

impl Request {
    /// The end, or its lack, of an attempt that was in flight beside this one, which its engine has answered.
    ///
    /// Connections are read in any order, so an attempt may be read beside one that was given up before it. An earlier
    /// one may have been given up in either way. A later one may be read late alone, after its connection was closed
    /// and its retry was sent: a cancellation is waited for before a retry.
    fn concurrent_attempt_end(&self, index: usize) -> Option<Option<AttemptEnd>> {
        let attempt = &self.attempts[index];
        if !matches!(attempt.end, Some(AttemptEnd::Ran | AttemptEnd::NeverRan)) {
            return None;
        }
        let was_given_up = |other: usize| match self.attempts[other].end {
            Some(AttemptEnd::Closed) => true,
            Some(AttemptEnd::Cancelled) => other < index,
            _ => false,
        };
        let mut others = attempt.overlaps.iter().copied();
        let other = others.find(|other| !was_given_up(*other))?;
        Some(self.attempts[other].end)
    }
}

#[derive(Default)]
struct RunRecord {
    requests: HashMap<String, Request>,
    /// Since when engines drain.
    draining: HashMap<usize, Instant>,
    violations: Vec<String>,
    attempts: usize,
    retries: usize,
}

/// The record of one run, shared by its engines and clients.
#[derive(Clone, Default)]
pub(crate) struct Rules(Arc<Mutex<RunRecord>>);

impl Rules {
    fn with_record<T>(&self, change: impl FnOnce(&mut RunRecord) -> T) -> T {
        change(&mut self.0.lock().expect("record"))
    }

    /// A client is about to send a request, which its statement's label names.
    pub(crate) fn add_request(&self, label: &str, non_idempotent: bool, deadline: Instant) {
        let request = Request {
            non_idempotent,
            deadline,
            attempts: Vec::new(),
            results: Vec::new(),
        };
        self.with_record(|record| record.requests.insert(label.to_owned(), request));
    }

    /// The list is about to say that this engine drains, or that it is ready again.
    pub(crate) fn set_draining(&self, engine: usize, draining: bool) {
        self.with_record(|record| {
            record.draining.remove(&engine);
            if draining {
                record.draining.insert(engine, Instant::now());
            }
        });
    }

    /// Checks that an engine which gets an attempt has not drained for long.
    pub(crate) fn check_not_draining(&self, label: &str, engine: usize) {
        self.with_record(|record| {
            let draining_for = record.draining.get(&engine).map(Instant::elapsed);
            if let Some(draining_for) = draining_for.filter(|time| *time > MAX_START_AFTER_DRAIN) {
                let text =
                    format!("{label}: sent to an engine that has drained for {draining_for:?}");
                record.violations.push(text);
            }
        });
    }

    /// An engine has an attempt whole.
    pub(crate) fn attempt_received(&self, label: &str, connection: u64, patience: Duration) {
        self.with_record(|record| {
            let remaining = record.requests[label].deadline
                - Instant::now().min(record.requests[label].deadline);
            if patience > remaining + PATIENCE_SLACK {
                let text = format!(
                    "{label}: the engine is told {patience:?}, the client has {remaining:?}"
                );
                record.violations.push(text);
            }
            record.attempts += 1;
            let request = record.requests.get_mut(label).expect("a request");
            record.retries += usize::from(!request.attempts.is_empty());
            let may_have_run = |attempt: &Attempt| attempt.end != Some(AttemptEnd::NeverRan);
            if request.non_idempotent && request.attempts.iter().any(may_have_run) {
                let ends: Vec<_> = request.attempts.iter().map(|attempt| attempt.end).collect();
                let text =
                    format!("{label}: a non-idempotent request is sent again after {ends:?}");
                record.violations.push(text);
            }
            let index = request.attempts.len();
            let mut overlaps = Vec::new();
            for (other, attempt) in request.attempts.iter_mut().enumerate() {
                if attempt.end.is_some() {
                    continue;
                }
                attempt.overlaps.push(index);
                overlaps.push(other);
                if attempt.connection == connection {
                    let text = format!("{label}: two attempts on one connection at once");
                    record.violations.push(text);
                }
            }
            request.attempts.push(Attempt {
                connection,
                end: None,
                overlaps,
            });
        });
    }

    /// Whether another attempt came before the end of the one on this connection.
    pub(crate) fn is_overlapped(&self, label: &str, connection: u64) -> bool {
        self.with_record(|record| {
            let mut attempts = record.requests[label].attempts.iter();
            attempts.any(|attempt| attempt.connection == connection && !attempt.overlaps.is_empty())
        })
    }

    /// The attempt of this request on this connection ends; false where it had ended before.
    pub(crate) fn attempt_ended(&self, label: &str, connection: u64, end: AttemptEnd) -> bool {
        self.with_record(|record| {
            let Some(request) = record.requests.get_mut(label) else {
                return false;
            };
            let mut attempts = request.attempts.iter();
            let is_open = |attempt: &Attempt| attempt.connection == connection && attempt.end.is_none();
            let Some(index) = attempts.rposition(is_open) else {
                return false;
            };
            request.attempts[index].end = Some(end);
            if let Some(other) = request.concurrent_attempt_end(index) {
                let text = format!(
                    "{label}: two attempts in flight at once, one ended as {end:?}, the other as {other:?}"
                );
                record.violations.push(text);
            }
            true
        })
    }

    /// Whether an attempt of this request has reached an engine.
    pub(crate) fn was_forwarded(&self, label: &str) -> bool {
        self.with_record(|record| !record.requests[label].attempts.is_empty())
    }

    /// An engine made this result for a request.
    pub(crate) fn add_result(&self, label: &str, result: &str) {
        self.with_record(|record| {
            let request = record.requests.get_mut(label).expect("a request");
            request.results.push(result.to_owned());
        });
    }

    /// A client has the answer to its request.
    pub(crate) fn check_answer(&self, label: &str, answer: &str) {
        self.with_record(|record| {
            let request = &record.requests[label];
            let delay = Instant::now().saturating_duration_since(request.deadline);
            let may_have_run = request
                .attempts
                .iter()
                .any(|attempt| attempt.end != Some(AttemptEnd::NeverRan));
            let problem = if let Some(result) = answer.strip_prefix("served ") {
                let was_made = request
                    .results
                    .iter()
                    .any(|made_result| made_result == result);
                (!was_made).then_some("served with what no engine made for it")
            } else if answer.starts_with("Overloaded") && request.non_idempotent && may_have_run {
                Some("refused although it may have run")
            } else {
                None
            };
            let too_late = (delay > MAX_ANSWER_DELAY).then_some("answered too late");
            for problem in problem.into_iter().chain(too_late) {
                record
                    .violations
                    .push(format!("{label}: {problem}: {answer}"));
            }
        });
    }

    pub(crate) fn add_violation(&self, violation: String) {
        self.with_record(|record| record.violations.push(violation));
    }

    /// All violations, and the numbers of attempts and of retries among them.
    pub(crate) fn take_results(&self) -> (Vec<String>, usize, usize) {
        self.with_record(|record| {
            (
                std::mem::take(&mut record.violations),
                record.attempts,
                record.retries,
            )
        })
    }
}

/// An answer may come this late.
pub(crate) const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests {
    use super::{AttemptEnd, Rules};
    use std::time::{Duration, Instant};

    /// The violations of one request, after attempts that are received on these connections and then end.
    fn count_violations(received: [u64; 2], ends: &[(u64, AttemptEnd)]) -> usize {
        let rules = Rules::default();
        let deadline = Instant::now() + Duration::from_secs(9);
        rules.add_request("c1.1", false, deadline);
        for connection in received {
            rules.attempt_received("c1.1", connection, Duration::ZERO);
        }
        for (connection, end) in ends {
            rules.attempt_ended("c1.1", *connection, *end);
        }
        rules.take_results().0.len()
    }

    #[test]
    fn two_answered_attempts_are_a_violation_and_so_is_a_cancelled_second_one() {
        let both = [(1, AttemptEnd::Ran), (2, AttemptEnd::Ran)];
        assert_eq!(count_violations([1, 2], &both), 2);
        assert_eq!(count_violations([1, 2], &[(2, AttemptEnd::Ran)]), 1);
        assert_eq!(
            count_violations([1, 2], &[(2, AttemptEnd::Cancelled), (1, AttemptEnd::Ran)]),
            1
        );
        assert!(count_violations([1, 1], &[]) > 0, "one connection");
    }

    /// Connections are read in any order: the close of the first attempt's connection, or the first attempt itself, may
    /// be read after the second attempt.
    #[test]
    fn an_attempt_that_was_given_up_and_read_late_is_no_violation() {
        assert_eq!(
            count_violations([1, 2], &[(1, AttemptEnd::Closed), (2, AttemptEnd::Ran)]),
            0
        );
        assert_eq!(
            count_violations([1, 2], &[(1, AttemptEnd::Cancelled), (2, AttemptEnd::Ran)]),
            0
        );
        assert_eq!(
            count_violations([1, 2], &[(2, AttemptEnd::Closed), (1, AttemptEnd::Ran)]),
            0
        );
    }
}
