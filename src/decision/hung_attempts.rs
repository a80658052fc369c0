//! Hung attempts and bad query plans: cancels attempts in flight whose answers are lost or far too
//! late.

use super::TICK_MS;
use super::requests::{InFlightAttempt, QueuedRequest};
use super::{Action, Dispatcher, Engine, EngineId, LoadReportMode, Millis, Progress, RequestId};

/// Minimum age in ms at which an attempt counts as hung.
const MIN_OVERDUE_MS: Millis = 500.0;
/// Multiple of its expected time beyond which an attempt counts as hung if its engine is down.
const HUNG_MULTIPLE_ON_DOWN_ENGINE: f64 = 2.0;
/// Multiple of its expected time beyond which an attempt counts as hung on any other engine.
const HUNG_MULTIPLE: f64 = 10.0;
/// Number of median absolute deviations of the estimates' log error, above its median, beyond which
/// an attempt counts as having a bad plan.
const BAD_PLAN_DEVIATIONS: f64 = 2.5;
/// Lower bound on the multiple of its expected time beyond which an attempt has a bad plan.
const MIN_BAD_PLAN_MULTIPLE: f64 = 1.5;
/// Bad-plan multiple from which elapsed time is not used to detect bad plans, because the estimates
/// are too inaccurate.
const MAX_BAD_PLAN_MULTIPLE: f64 = 4.0;
/// Minimum age in ms of an attempt at which its reported progress is used.
const MIN_PROGRESS_AGE_MS: Millis = 400.0;
/// Lower bound on the reported share done, by which an attempt's age is divided.
const MIN_SHARE_DONE: f64 = 1e-3;
/// Multiple of a new attempt's time that an attempt's remaining time has to exceed for a retry to
/// be worthwhile.
const MIN_RETRY_GAIN: f64 = 1.5;
/// Share of an attempt's remaining time, estimated from progress, that has to fit before the
/// deadline.
const REMAINING_TIME_SHARE: f64 = 0.7;
/// Time constant in ms with which the measured slowness of a silent engine decays.
const SILENT_DECAY_MS: Millis = 5000.0;

impl Dispatcher {
    /// Cancels hung attempts and sends health checks: to engines with hung attempts, to engines
    /// whose pause after a failure is over, and to the whole fleet if load reports come only with
    /// health checks and the budget covers it.
    pub(super) fn watch_engines(&mut self, actions: &mut Vec<Action>) {
        let reports_need_checks = self.settings.load_reports == LoadReportMode::OnHealthCheck;
        let check_all = reports_need_checks && self.health_check_budget.allows_fleet_check();
        let ids: Vec<EngineId> = self.engines.keys().copied().collect();
        for engine_id in ids {
            let engine = &self.engines[&engine_id];
            let hung = self.hung_attempts(engine);
            let is_failure_check_due = engine.failures.is_check_due(self.now_ms);
            let needs_check = check_all || !hung.is_empty() || is_failure_check_due;
            for id in hung {
                self.cancel_attempt(id, actions);
            }
            if needs_check {
                self.send_health_check(engine_id, actions);
            }
            if let Some(engine) = self.engines.get_mut(&engine_id)
                && engine.failures.is_silent(self.now_ms)
            {
                engine.slowdown.decay(1.0 - TICK_MS / SILENT_DECAY_MS);
            }
        }
        self.drop_removed_engines();
    }

    /// The requests whose attempts on an engine count as hung and may be retried.
    fn hung_attempts(&self, engine: &Engine) -> Vec<RequestId> {
        let slowness = self.slowness(engine).max(1.0) * self.slowdown.bounded_mean().max(1.0);
        let is_hung = |id: &RequestId| {
            let request = &self.requests[id];
            let is_overdue = |attempt: &InFlightAttempt| {
                let multiple = self.hung_multiple(request, engine);
                let expected_ms = attempt.work_ms / self.threads(request.class) * slowness;
                let overdue_ms = (expected_ms * multiple).max(MIN_OVERDUE_MS);
                self.now_ms - attempt.sent_at_ms > overdue_ms
            };
            !request.is_finished
                && request.in_flight.as_ref().is_some_and(is_overdue)
                && self.may_retry(request)
        };
        engine.running.iter().copied().filter(is_hung).collect()
    }

    /// Multiple of its expected time beyond which an attempt counts as hung.
    ///
    /// It is low on an engine that is down. On other engines, the answer of an attempt that takes
    /// far too long counts as lost (i89ce4e, i40a09d). The rule does harm if a fault delays queries
    /// for long but they still end.
    fn hung_multiple(&self, request: &QueuedRequest, engine: &Engine) -> f64 {
        if engine.failures.is_down() {
            return HUNG_MULTIPLE_ON_DOWN_ENGINE;
        }
        let only_elapsed_time_known =
            self.settings.progress_interval_ms == 0.0 && !self.work_is_measured;
        let bad_plan_multiple = self.bad_plan_multiple(request);
        if only_elapsed_time_known && bad_plan_multiple < MAX_BAD_PLAN_MULTIPLE {
            bad_plan_multiple
        } else {
            HUNG_MULTIPLE
        }
    }

    /// Multiple of its expected time beyond which an attempt has a bad plan.
    ///
    /// If neither progress reports nor measured work show bad plans, elapsed time does, once it
    /// exceeds the error of the estimates. This also covers lost answers and slow engines. The rule
    /// does harm if latency rises faster than the answers show, because attempts on saturated
    /// engines are then cancelled (0f513397).
    fn bad_plan_multiple(&self, request: &QueuedRequest) -> f64 {
        if request.estimated_work_ms.is_none() {
            return HUNG_MULTIPLE;
        }
        let work_error_estimate = &self.class_statistics[request.class].work_error;
        // The expected work is already corrected by the median error where work is measured.
        let median = if self.work_is_measured {
            0.0
        } else {
            work_error_estimate.median()
        };
        let multiple = (median + BAD_PLAN_DEVIATIONS * work_error_estimate.deviation()).exp();
        multiple.clamp(MIN_BAD_PLAN_MULTIPLE, HUNG_MULTIPLE)
    }

    /// Handles an attempt's progress. An attempt with a bad plan is cancelled and retried; this is
    /// the only case in which a query on a healthy engine is cancelled.
    pub(super) fn on_progress(
        &mut self,
        id: RequestId,
        number: u16,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempt_in_flight(id, number) else {
            return;
        };
        let engine_id = attempt.engine;
        match progress {
            // A wait for memory shows that the engine is saturated, even if its load report shows
            // free cores.
            Progress::WaitingForMemory => self.mark_saturated(engine_id),
            Progress::ShareDone(share) if self.has_bad_plan(id, share) => {
                self.cancel_attempt(id, actions);
            }
            Progress::ShareDone(_) | Progress::SpillingMb(_) | Progress::WaitingForBulkLoad => {}
        }
    }

    /// Whether an attempt's progress shows a bad plan, and either a retry would end sooner or the
    /// attempt would end after the deadline.
    fn has_bad_plan(&self, id: RequestId, share_done: f64) -> bool {
        let request = &self.requests[&id];
        let Some(attempt) = request.in_flight.as_ref() else {
            return false;
        };
        let age_ms = self.now_ms - attempt.sent_at_ms;
        // A request that may not run again is never cancelled: a late answer is worth more than
        // none (31d1870b).
        let is_reliable = share_done.is_finite() && age_ms >= MIN_PROGRESS_AGE_MS;
        if request.is_finished || !is_reliable || !self.is_repeatable_now(request) {
            return false;
        }
        let run_ms = attempt.work_ms / self.threads(request.class);
        let mean_slowdown = self.slowdown.bounded_mean();
        let engine = self.engines.get(&attempt.engine);
        let slowness = engine.map_or(1.0, |engine| self.slowness(engine));
        let total_ms = age_ms / share_done.clamp(MIN_SHARE_DONE, 1.0);
        let remaining_ms = total_ms - age_ms;
        let new_attempt_ms = run_ms * mean_slowdown.max(1.0);
        let expected_on_engine_ms = run_ms * slowness * mean_slowdown;
        let expected_ms = expected_on_engine_ms.max(new_attempt_ms);
        let is_slow = total_ms > self.bad_plan_multiple(request) * expected_ms;
        if !is_slow || remaining_ms <= MIN_RETRY_GAIN * new_attempt_ms {
            return false;
        }
        let retry_pays =
            self.may_retry(request) && self.now_ms + new_attempt_ms < request.deadline_ms;
        let ends_too_late = self.now_ms + remaining_ms * REMAINING_TIME_SHARE > request.deadline_ms;
        retry_pays || ends_too_late
    }

    /// Cancels the attempt in flight, unless its result already streams to the client.
    fn cancel_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.cancellation_allowed {
            return;
        }
        let request = self.requests.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.in_flight.as_mut()) else {
            return;
        };
        if !attempt.is_cancelling && !attempt.is_streaming {
            attempt.is_cancelling = true;
            actions.push(Action::CancelAttempt {
                id,
                attempt: attempt.number,
            });
        }
    }
}
