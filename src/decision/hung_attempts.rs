//! Hung attempts and bad plans: attempts in flight that are cancelled, as their answers are lost or far too late.

use super::TICK_MS;
use super::requests::{InFlightAttempt, QueuedRequest};
use super::{Action, Dispatcher, Engine, EngineId, LoadReportMode, Millis, Progress, RequestId};

/// Least time in ms after which an attempt is overdue.
const MIN_OVERDUE_MS: Millis = 500.0;
/// Times its usual time from which an attempt hangs on an engine that is down.
const HUNG_MULTIPLE_ON_DOWN_ENGINE: f64 = 2.0;
/// Times its usual time from which an attempt hangs elsewhere.
const HUNG_MULTIPLE: f64 = 10.0;
/// Half-spreads of the estimates' error; an attempt that takes longer has a bad plan.
const BAD_PLAN_SPREADS: f64 = 2.5;
/// Least times its usual time from which an attempt has a bad plan.
const MIN_BAD_PLAN_MULTIPLE: f64 = 1.5;
/// Times its usual time from which elapsed time tells no bad plan: the estimates are too poor.
const MAX_BAD_PLAN_MULTIPLE: f64 = 4.0;
/// Least age in ms of an attempt whose progress is believed.
const MIN_PROGRESS_AGE_MS: Millis = 400.0;
/// Least share done that progress is taken for.
const MIN_SHARE_DONE: f64 = 1e-3;
/// Times a new attempt's time that has to be left, so that a retry pays.
const MIN_RETRY_GAIN: f64 = 1.5;
/// Part of the time left by progress that has to fit before the deadline.
const REMAINING_TIME_SHARE: f64 = 0.7;
/// Time constant in ms with which the slowness of an unheard engine is forgotten.
const SILENT_FADE_MS: Millis = 5000.0;

impl Dispatcher {
    /// Cancels hung attempts, and checks engines: where attempts hang, where a failure's pause is over, and the whole
    /// fleet where that is a small share of the traffic.
    pub(super) fn watch_engines(&mut self, actions: &mut Vec<Action>) {
        let reports_need_checks = self.settings.load_reports == LoadReportMode::OnHealthCheck;
        let check_all = reports_need_checks && self.health_check_budget.covers_fleet();
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
                engine.slowdown.fade(1.0 - TICK_MS / SILENT_FADE_MS);
            }
        }
        self.forget_removed_engines();
    }

    /// The attempts on an engine that take far too long and may be retried.
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

    /// Times its usual time from which an attempt hangs. An attempt on an engine that is down hangs soon; elsewhere the
    /// answer of one that takes far too long is lost (i89ce4e, i40a09d). Harms where a fault makes queries hang, yet
    /// end.
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

    /// Times its usual time from which an attempt has a bad plan.
    ///
    /// Where neither progress nor measured work tells of bad plans, elapsed time does, beyond the estimates' error; that
    /// also covers lost answers and slow engines. Harms where latency rises faster than answers tell, as crowded
    /// attempts are then cancelled (0f513397).
    fn bad_plan_multiple(&self, request: &QueuedRequest) -> f64 {
        if request.estimated_work_ms.is_none() {
            return HUNG_MULTIPLE;
        }
        let work_error_estimate = &self.class_statistics[request.class].work_error;
        // Measured work has already corrected the median error.
        let median = if self.work_is_measured {
            0.0
        } else {
            work_error_estimate.median()
        };
        let multiple = (median + BAD_PLAN_SPREADS * work_error_estimate.spread()).exp();
        multiple.clamp(MIN_BAD_PLAN_MULTIPLE, HUNG_MULTIPLE)
    }

    /// Takes an attempt's progress. One with a bad plan is cancelled and retried: the one case in which a healthy
    /// engine's query is.
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
            // A wait for memory tells of a crowded engine, whatever its cores report.
            Progress::WaitingForMemory => self.mark_saturated(engine_id),
            Progress::ShareDone(share) if self.has_bad_plan(id, share) => {
                self.cancel_attempt(id, actions);
            }
            Progress::ShareDone(_) | Progress::SpillingMb(_) | Progress::WaitingForBulkLoad => {}
        }
    }

    /// Whether an attempt's progress tells of a bad plan, so that a retry ends sooner or the attempt ends too late.
    fn has_bad_plan(&self, id: RequestId, share_done: f64) -> bool {
        let request = &self.requests[&id];
        let Some(attempt) = request.in_flight.as_ref() else {
            return false;
        };
        let age_ms = self.now_ms - attempt.sent_at_ms;
        // A request that may not run again is never cancelled: late is worth more than lost (31d1870b).
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
        let expected_here_ms = run_ms * slowness * mean_slowdown;
        let expected_ms = expected_here_ms.max(new_attempt_ms);
        let is_slow = total_ms > self.bad_plan_multiple(request) * expected_ms;
        if !is_slow || remaining_ms <= MIN_RETRY_GAIN * new_attempt_ms {
            return false;
        }
        let retry_pays =
            self.may_retry(request) && self.now_ms + new_attempt_ms < request.deadline_ms;
        let ends_too_late = self.now_ms + remaining_ms * REMAINING_TIME_SHARE > request.deadline_ms;
        retry_pays || ends_too_late
    }

    /// Cancels the attempt in flight, unless its result streams already.
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
