//! Admission and load shedding: which requests enter the queue, and which get their final answer
//! before an attempt has served them.

use super::requests::QueuedRequest;
use super::{Action, DedupScope, Dispatcher, EndReason, Idempotency, Request, RequestId};
use super::{health_checks::AwaitedHealthChecks, outlier_ejection::MAX_FAILING_ENGINES};

/// Time in ms before the deadline of a waiting request at which it gets its final answer.
pub(super) const END_MARGIN_MS: f64 = 60.0;
/// Longest time to serve the backlog, as a share of the slack of the most urgent class; the rest of
/// the slack is left for execution.
const MAX_BACKLOG_SLACK_SHARE: f64 = 0.5;
/// Shortest `Retry-After` in ms.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// `Retry-After` in multiples of the time that it takes to serve the backlog.
const RETRY_AFTER_BACKLOG_MULTIPLE: f64 = 2.0;
/// Clients' estimates of work from this value on, in ms, are ignored as implausible.
const MAX_ESTIMATED_WORK_MS: f64 = 1e9;
/// Upper bound on the run time of a very large request where its deadline is checked, in multiples
/// of its class's mean work.
const MAX_DEADLINE_WORK_MULTIPLE: f64 = 4.0;

/// The total work of the queue, and the request to reject first.
struct Backlog {
    work_ms: f64,
    /// Shortest time in ms that the latency objective of a queued request's class leaves for
    /// waiting.
    slack_ms: f64,
    /// The request with the lowest priority weight per ms of work, of those that may be rejected.
    lowest_density: Option<SheddingCandidate>,
}

/// A request that may be rejected.
#[derive(Clone, Copy)]
struct SheddingCandidate {
    /// Priority weight per ms of work.
    weight_density: f64,
    id: RequestId,
}

impl Dispatcher {
    /// Handles a client's request.
    pub(super) fn on_request(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let budget = self.settings.retry_budget;
        self.retry_window.record_request(self.now_ms, budget);
        self.traffic.record_request();
        let Some(queued) = self.admit(request) else {
            let reason = EndReason::UnknownClass;
            return actions.push(Action::Fail { id, reason });
        };
        self.queue.insert(queued.arrival_number, id);
        self.requests.insert(id, queued);
        self.health_check_budget.add_check();
        self.shed_load(actions);
        self.send_health_checks(id, actions);
        self.dispatch_queue(actions);
        // A short deadline may pass before the next tick, and the client would then get its answer
        // too late (18f1f014).
        if self.is_too_late(id) {
            self.reject_or_fail(id, EndReason::TooLate, actions);
        }
    }

    /// Builds the request that enters the queue; returns `None` if its class is unknown.
    fn admit(&mut self, request: &Request) -> Option<QueuedRequest> {
        let class = self.settings.classes.get(request.class)?;
        let deadline_ms = if request.deadline_ms.is_finite() {
            request.deadline_ms
        } else {
            self.now_ms + class.client_timeout_ms
        };
        let arrival_number = self.last_arrival_number.take_next();
        if class.ordered_by_key && request.order_key != 0 {
            self.order_keys
                .insert(request.order_key, arrival_number, request.id);
        }
        // A request that arrives with less time to its deadline than the longest such time of its
        // class has already waited: its client sent it before, or this manager paused (id20f69).
        // Its latency objective starts that much earlier. This does harm in a class whose clients
        // have different timeouts.
        let time_to_deadline_ms = (deadline_ms - self.now_ms).min(class.client_timeout_ms);
        let statistics = &mut self.class_statistics[request.class];
        let longest_time_to_deadline_ms = statistics.record_time_to_deadline(time_to_deadline_ms);
        Some(QueuedRequest {
            arrival_number,
            class: request.class,
            order_key: request.order_key,
            objective_start_ms: self.now_ms.min(deadline_ms - longest_time_to_deadline_ms),
            deadline_ms,
            estimated_work_ms: request
                .estimated_work_ms
                .filter(|work| *work > 0.0 && *work < MAX_ESTIMATED_WORK_MS),
            data_set: request.data_set,
            estimated_memory_mb: request
                .estimated_memory_mb
                .filter(|memory| memory.is_finite() && *memory > 0.0),
            attempts: 0,
            max_attempts: request.max_attempts.unwrap_or(self.settings.max_attempts),
            next_attempt_number: 0,
            in_flight: None,
            is_finished: false,
            first_execution: None,
            is_blocked: false,
            failed_on: Vec::new(),
            awaited_checks: AwaitedHealthChecks::default(),
        })
    }

    /// Whether a waiting request has to be ended: it would miss its deadline, may not be sent
    /// again, or would miss its latency objective. A blocked request that would only miss its
    /// latency objective is kept.
    pub(super) fn is_too_late(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.in_flight.is_some() {
            return false;
        }
        let class = &self.settings.classes[request.class];
        let run_ms = self.expected_work_ms(request) / f64::from(class.threads);
        let remaining_ms = request.deadline_ms - END_MARGIN_MS - self.now_ms;
        let mean_work_ms = self.class_statistics[request.class].mean_work_ms();
        if remaining_ms <= run_ms.min(mean_work_ms * MAX_DEADLINE_WORK_MULTIPLE) {
            return true;
        }
        if request.attempts > 0 && !self.may_resend(id) {
            return true;
        }
        let objective_ms = class.latency_objective_ms + class.objective_work_factor * run_ms;
        let expected_end_ms = self.now_ms + run_ms * self.slowdown.bounded_mean();
        !request.is_blocked && expected_end_ms > request.objective_start_ms + objective_ms
    }

    /// Rejects the requests with the lowest priority weight per ms of work, until the backlog is
    /// short enough for the slack of the most urgent class.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        loop {
            let backlog = self.backlog();
            let wait_ms = backlog.work_ms / self.service_rate();
            let is_too_long =
                wait_ms > backlog.slack_ms * MAX_BACKLOG_SLACK_SHARE && self.queue.len() > 1;
            let Some(candidate) = backlog.lowest_density.filter(|_| is_too_long) else {
                return;
            };
            self.reject_or_fail(candidate.id, EndReason::LoadShed, actions);
        }
    }

    /// Sums up the queued requests. Blocked ones do not count.
    fn backlog(&self) -> Backlog {
        let mut backlog = Backlog {
            work_ms: 0.0,
            slack_ms: f64::INFINITY,
            lowest_density: None,
        };
        let mean_slowdown = self.slowdown.bounded_mean();
        for id in self.queue.values().copied() {
            let request = &self.requests[&id];
            if request.is_blocked {
                continue;
            }
            let class = &self.settings.classes[request.class];
            let work_ms = self.expected_work_ms(request);
            backlog.work_ms += work_ms;
            let mean_work_ms = self.class_statistics[request.class].mean_work_ms();
            let run_ms = mean_work_ms / self.threads(request.class);
            let slack_work_factor = class.objective_work_factor - mean_slowdown;
            let slack_ms = class.latency_objective_ms + slack_work_factor * run_ms;
            backlog.slack_ms = backlog.slack_ms.min(slack_ms);
            let weight_density = class.priority_weight / work_ms;
            let is_lowest_density = backlog
                .lowest_density
                .is_none_or(|lowest_density| weight_density <= lowest_density.weight_density);
            if is_lowest_density && self.may_reject(request) {
                backlog.lowest_density = Some(SheddingCandidate { weight_density, id });
            }
        }
        backlog
    }

    /// Whether the request may be rejected, which allows the client to try again: the request has
    /// not run, or a repeat is harmless on all engines.
    fn may_reject(&self, request: &QueuedRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let is_repeatable_anywhere = matches!(
            class.idempotency,
            Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All)
        );
        request.first_execution.is_none() || is_repeatable_anywhere
    }

    /// Sends the final answer: a rejection with a `Retry-After` where the rules allow it, else a
    /// failure.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        reason: EndReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let client_is_waiting = self.now_ms < request.deadline_ms;
        // A request that failed on several engines would only fail again if its client repeated it.
        let request_is_at_fault = request.failed_on.len() >= MAX_FAILING_ENGINES;
        if self.may_reject(request) && client_is_waiting && !request_is_at_fault {
            let retry_after_ms = self.retry_after_ms();
            actions.push(Action::Reject {
                id,
                retry_after_ms,
                reason,
            });
        } else {
            actions.push(Action::Fail { id, reason });
        }
        self.finish(id);
    }

    /// `Retry-After` in ms: twice the time that it takes to serve the queue, within the bounds.
    fn retry_after_ms(&self) -> f64 {
        let queued_work_ms: f64 = self
            .queue
            .values()
            .map(|id| self.expected_work_ms(&self.requests[id]))
            .sum();
        (RETRY_AFTER_BACKLOG_MULTIPLE * queued_work_ms / self.service_rate())
            .max(MIN_RETRY_AFTER_MS)
            .min(self.settings.max_retry_after_ms)
    }
}
