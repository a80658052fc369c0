//! Retries: whether a request may have another attempt, by its class's idempotency, its own limit and the budget.

use super::admission::END_MARGIN_MS;
use super::outlier_ejection::MAX_FAILING_ENGINES;
use super::{Dispatcher, Idempotency, Millis, QueuedRequest, RequestId, RetryBudget};
use std::collections::VecDeque;

/// Time in ms for which entries outlast the budget's window.
const WINDOW_MARGIN_MS: Millis = 10.0;
/// Rounding of the clock in ms, by which windows are drawn the safe way.
const CLOCK_MARGIN_MS: Millis = 1.0;

/// Requests and retries of the budget's window.
#[derive(Default)]
pub(super) struct RetryWindow {
    accepted_at_ms: VecDeque<Millis>,
    retried_at_ms: VecDeque<Millis>,
}

impl RetryWindow {
    /// Takes note of a request, and forgets what is older than the window.
    pub(super) fn record_request(&mut self, now_ms: Millis, budget: Option<RetryBudget>) {
        let retention_ms = budget.map_or(0.0, |budget| budget.window_ms + WINDOW_MARGIN_MS);
        for times in [&mut self.accepted_at_ms, &mut self.retried_at_ms] {
            let expired = times.partition_point(|at| now_ms - at > retention_ms);
            times.drain(..expired);
        }
        self.accepted_at_ms.push_back(now_ms);
    }

    /// Takes note of a retry.
    pub(super) fn record_retry(&mut self, now_ms: Millis) {
        self.retried_at_ms.push_back(now_ms);
    }

    /// Whether one more retry stays within the budget.
    fn allows_retry(&self, now_ms: Millis, budget: RetryBudget) -> bool {
        let window_start_ms = now_ms - budget.window_ms;
        // The window's edge is drawn tight for the requests and wide for the retries.
        let old_requests = self
            .accepted_at_ms
            .partition_point(|at| *at <= window_start_ms);
        let old_retries = self
            .retried_at_ms
            .partition_point(|at| *at < window_start_ms - CLOCK_MARGIN_MS);
        let requests = (self.accepted_at_ms.len() - old_requests) as f64;
        let retries = (self.retried_at_ms.len() - old_retries) as f64;
        let allowed = budget.free_retries + budget.retries_per_request * requests;
        retries + 1.0 <= allowed.floor()
    }
}

impl Dispatcher {
    /// Whether a retry stays within the retry budget.
    pub(super) fn within_retry_budget(&self) -> bool {
        self.settings
            .retry_budget
            .is_none_or(|budget| self.retry_window.allows_retry(self.now_ms, budget))
    }

    /// Whether a repeat does no harm now: always, or while the engines still drop repeats by key.
    pub(super) fn is_repeatable_now(&self, request: &QueuedRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let is_deduplicated = request.first_execution.is_none_or(|execution| {
            self.now_ms < execution.sent_at_ms + class.dedup_window_ms - CLOCK_MARGIN_MS
        });
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey(_) => is_deduplicated,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether an attempt in flight may be cancelled in favour of a retry.
    pub(super) fn may_retry(&self, request: &QueuedRequest) -> bool {
        self.is_repeatable_now(request)
            && request.attempts < request.max_attempts
            && self.within_retry_budget()
    }

    /// Whether a request whose attempt has ended may be sent again, the budget left aside.
    pub(super) fn may_resend(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_harmless = request.first_execution.is_none() || self.is_repeatable_now(request);
        is_harmless
            && request.failed_on.len() < MAX_FAILING_ENGINES
            && request.attempts < request.max_attempts
            && self.now_ms + END_MARGIN_MS < request.deadline_ms
    }
}
