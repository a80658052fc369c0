//! Retries: whether a request may have another attempt. Its class's idempotency, its maximum number
//! of attempts and the retry budget decide.

use super::admission::END_MARGIN_MS;
use super::outlier_ejection::MAX_FAILING_ENGINES;
use super::{Dispatcher, Idempotency, Millis, QueuedRequest, RequestId, RetryBudget};
use std::collections::VecDeque;

/// Time in ms for which entries are kept after they have left the budget's window.
const WINDOW_MARGIN_MS: Millis = 10.0;
/// Rounding error of the clock in ms. Time windows are widened or narrowed by it to the safe side.
const CLOCK_MARGIN_MS: Millis = 1.0;

/// Times of the requests and retries within the budget's window.
#[derive(Default)]
pub(super) struct RetryWindow {
    accepted_at_ms: VecDeque<Millis>,
    retried_at_ms: VecDeque<Millis>,
}

impl RetryWindow {
    /// Records a request, and removes the entries that are older than the window.
    pub(super) fn record_request(&mut self, now_ms: Millis, budget: Option<RetryBudget>) {
        let retention_ms = budget.map_or(0.0, |budget| budget.window_ms + WINDOW_MARGIN_MS);
        for times in [&mut self.accepted_at_ms, &mut self.retried_at_ms] {
            let expired = times.partition_point(|at| now_ms - at > retention_ms);
            times.drain(..expired);
        }
        self.accepted_at_ms.push_back(now_ms);
    }

    /// Records a retry.
    pub(super) fn record_retry(&mut self, now_ms: Millis) {
        self.retried_at_ms.push_back(now_ms);
    }

    /// Whether one more retry is within the budget.
    fn allows_retry(&self, now_ms: Millis, budget: RetryBudget) -> bool {
        let window_start_ms = now_ms - budget.window_ms;
        // The window's edge excludes requests and includes retries, so that rounding never allows a
        // retry too many.
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
    /// Whether one more retry is within the retry budget.
    pub(super) fn within_retry_budget(&self) -> bool {
        self.settings
            .retry_budget
            .is_none_or(|budget| self.retry_window.allows_retry(self.now_ms, budget))
    }

    /// Whether a repeat is safe now: always for an idempotent class, and for one with an
    /// idempotency key while the engines still drop repeats.
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

    /// Whether an attempt in flight may be cancelled to retry its request.
    pub(super) fn may_retry(&self, request: &QueuedRequest) -> bool {
        self.is_repeatable_now(request)
            && request.attempts < request.max_attempts
            && self.within_retry_budget()
    }

    /// Whether a request whose attempt has ended may be sent again. The retry budget is not
    /// considered.
    pub(super) fn may_resend(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_harmless = request.first_execution.is_none() || self.is_repeatable_now(request);
        is_harmless
            && request.failed_on.len() < MAX_FAILING_ENGINES
            && request.attempts < request.max_attempts
            && self.now_ms + END_MARGIN_MS < request.deadline_ms
    }
}
