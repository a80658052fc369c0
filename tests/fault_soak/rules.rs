//! The rules for attempts and answers, checked from what the engines and the clients observe.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time by which the timeout passed to an engine may exceed the client's remaining time. It
/// includes the delay of this process.
const PATIENCE_SLACK: Duration = Duration::from_millis(500);

/// Longest time after the beginning of draining at which an engine may still receive an attempt:
/// 250 ms, plus 1000 ms for the resumption of a broken connection to the feed and the delay of this
/// process.
const MAX_START_AFTER_DRAIN: Duration = Duration::from_millis(250 + 1000);

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The engine answered, and the attempt may have run.
    Ran,
    /// The engine rejected the attempt, which never ran.
    NeverRan,
    /// The manager cancelled the attempt.
    Cancelled,
    /// The attempt's connection was closed.
    Closed,
}

/// One attempt that an engine has received completely.
struct Attempt {
    connection: u64,
    end: Option<AttemptEnd>,
    /// Indexes of the other attempts that were in flight at the same time as this one, in the order
    /// in which the engines read them.
    overlaps: Vec<usize>,
}

/// One request, with its attempts.
struct Request {
    non_idempotent: bool,
    deadline: Instant,
    attempts: Vec<Attempt>,
    /// Results that engines produced for the request.
    results: Vec<String>,
}

impl Request {
    /// Looks for an attempt that was really in flight at the same time as this one, if this one was
    /// answered by its engine. Returns how the other attempt ended, or `Some(None)` if it is still
    /// in flight.
    ///
    /// Connections are read in any order, so two attempts may seem to overlap although the manager
    /// had given up the first one before it sent the second. An attempt with a lower index may have
    /// been given up by a closed connection or by a cancellation. An attempt with a higher index
    /// counts as given up only if its connection was closed: it was read late, after its retry had
    /// been sent. It cannot have been cancelled, because the manager waits for the confirmation of
    /// a cancellation before it retries.
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

/// The observations of one run.
#[derive(Default)]
struct RunRecord {
    requests: HashMap<String, Request>,
    /// Draining engines by index, with the time since which each one is draining.
    draining: HashMap<usize, Instant>,
    violations: Vec<String>,
    attempts: usize,
    retries: usize,
}

/// Checks the rules in one run. The engines and clients of the run share it.
#[derive(Clone, Default)]
pub(crate) struct Rules(Arc<Mutex<RunRecord>>);

impl Rules {
    /// Calls the function with the locked record.
    fn with_record<T>(&self, change: impl FnOnce(&mut RunRecord) -> T) -> T {
        change(&mut self.0.lock().expect("lock of the record"))
    }

    /// Records a request that a client is about to send. The label is part of its statement.
    pub(crate) fn add_request(&self, label: &str, non_idempotent: bool, deadline: Instant) {
        let request = Request {
            non_idempotent,
            deadline,
            attempts: Vec::new(),
            results: Vec::new(),
        };
        self.with_record(|record| record.requests.insert(label.to_owned(), request));
    }

    /// Records that the endpoint list is about to report this engine as draining, or as ready
    /// again.
    pub(crate) fn set_draining(&self, engine: usize, draining: bool) {
        self.with_record(|record| {
            record.draining.remove(&engine);
            if draining {
                record.draining.insert(engine, Instant::now());
            }
        });
    }

    /// Checks that an engine that receives an attempt has not been draining for longer than
    /// [`MAX_START_AFTER_DRAIN`].
    pub(crate) fn check_not_draining(&self, label: &str, engine: usize) {
        self.with_record(|record| {
            let draining_for = record.draining.get(&engine).map(Instant::elapsed);
            if let Some(draining_for) = draining_for.filter(|time| *time > MAX_START_AFTER_DRAIN) {
                let text = format!(
                    "{label}: sent to an engine that has been draining for {draining_for:?}"
                );
                record.violations.push(text);
            }
        });
    }

    /// Records and checks an attempt that an engine has received completely.
    pub(crate) fn attempt_received(&self, label: &str, connection: u64, patience: Duration) {
        self.with_record(|record| {
            let remaining = record.requests[label].deadline
                - Instant::now().min(record.requests[label].deadline);
            if patience > remaining + PATIENCE_SLACK {
                let text = format!(
                    "{label}: engine timeout {patience:?}, client's remaining time {remaining:?}"
                );
                record.violations.push(text);
            }
            record.attempts += 1;
            let request = record.requests.get_mut(label).expect("a request");
            record.retries += usize::from(!request.attempts.is_empty());
            let may_have_run = |attempt: &Attempt| attempt.end != Some(AttemptEnd::NeverRan);
            if request.non_idempotent && request.attempts.iter().any(may_have_run) {
                let ends: Vec<_> = request.attempts.iter().map(|attempt| attempt.end).collect();
                let text = format!("{label}: a non-idempotent request is retried after {ends:?}");
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
                    let text = format!("{label}: two attempts in flight at once on one connection");
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

    /// Whether another attempt of the request was received before the one on this connection ended.
    pub(crate) fn is_overlapped(&self, label: &str, connection: u64) -> bool {
        self.with_record(|record| {
            let mut attempts = record.requests[label].attempts.iter();
            attempts.any(|attempt| attempt.connection == connection && !attempt.overlaps.is_empty())
        })
    }

    /// Records the end of the request's attempt on this connection. Returns false if the attempt
    /// had already ended.
    pub(crate) fn attempt_ended(&self, label: &str, connection: u64, end: AttemptEnd) -> bool {
        self.with_record(|record| {
            let Some(request) = record.requests.get_mut(label) else {
                return false;
            };
            let mut attempts = request.attempts.iter();
            let is_open =
                |attempt: &Attempt| attempt.connection == connection && attempt.end.is_none();
            let Some(index) = attempts.rposition(is_open) else {
                return false;
            };
            request.attempts[index].end = Some(end);
            if let Some(other) = request.concurrent_attempt_end(index) {
                let text = format!(
                    "{label}: two attempts in flight at once, ended as {end:?} and {other:?}"
                );
                record.violations.push(text);
            }
            true
        })
    }

    /// Whether an engine has received an attempt of this request.
    pub(crate) fn was_forwarded(&self, label: &str) -> bool {
        self.with_record(|record| !record.requests[label].attempts.is_empty())
    }

    /// Records a result that an engine produced for a request.
    pub(crate) fn add_result(&self, label: &str, result: &str) {
        self.with_record(|record| {
            let request = record.requests.get_mut(label).expect("a request");
            request.results.push(result.to_owned());
        });
    }

    /// Checks the answer that a client has received.
    pub(crate) fn check_answer(&self, label: &str, answer: &str) {
        self.with_record(|record| {
            let request = &record.requests[label];
            let delay = Instant::now().saturating_duration_since(request.deadline);
            let may_have_run = request
                .attempts
                .iter()
                .any(|attempt| attempt.end != Some(AttemptEnd::NeverRan));
            let problem = if let Some(result) = answer.strip_prefix("served ") {
                let was_produced = request.results.iter().any(|produced| produced == result);
                (!was_produced).then_some("served with a result that no engine produced for it")
            } else if answer.starts_with("Overloaded") && request.non_idempotent && may_have_run {
                Some("rejected although it may have run")
            } else {
                None
            };
            let too_late =
                (delay > MAX_ANSWER_DELAY).then_some("answered too late after its deadline");
            for problem in problem.into_iter().chain(too_late) {
                record
                    .violations
                    .push(format!("{label}: {problem}: {answer}"));
            }
        });
    }

    /// Records a violation that was found elsewhere.
    pub(crate) fn add_violation(&self, violation: String) {
        self.with_record(|record| record.violations.push(violation));
    }

    /// Takes all violations. Returns them with the number of attempts, and the number of retries
    /// among the attempts.
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

/// Longest time after the deadline at which an answer may arrive.
pub(crate) const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests {
    use super::{AttemptEnd, Rules};
    use std::time::{Duration, Instant};

    /// Number of violations of one request whose attempts are received on these connections and
    /// then end as given.
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
        assert!(
            count_violations([1, 1], &[]) > 0,
            "both attempts on one connection"
        );
    }

    /// Connections are read in any order. The close of the first attempt's connection, or the first
    /// attempt itself, may be read after the second attempt.
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
