//! Failure detection and health checks: which engines are down, and which ones are sent a health
//! check.

use super::{
    Action, Dispatcher, EngineHealthChange, EngineId, Millis, Outcome, RequestId, hash::mix,
};

/// Pause in ms after the first failure, for which the engine gets nothing new.
pub(super) const INITIAL_PAUSE_MS: Millis = 250.0;
/// Longest pause in ms after a failure.
const MAX_PAUSE_MS: Millis = 2000.0;
/// Consecutive failures up to which each doubles the pause; the bound prevents an overflow.
const MAX_DOUBLING_FAILURES: u32 = 8;
/// Consecutive failures from which an engine counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Time in ms without an answer after which an engine counts as silent.
const SILENT_AFTER_MS: Millis = 1500.0;
/// Minimum time in ms between two health checks of an engine, and minimum age of its load report
/// for a health check to be sent.
pub(super) const HEALTH_CHECK_INTERVAL_MS: Millis = 400.0;
/// Maximum number of health checks that the budget saves; each request adds one. They suffice to
/// check every engine of a small fleet once.
const MAX_SAVED_CHECKS: f64 = 12.0;
/// Share of [`MAX_SAVED_CHECKS`] that has to be exceeded for the whole fleet to be checked.
const MIN_SAVED_SHARE_FOR_FLEET: f64 = 0.5;
/// Longest time in ms that a request waits for the health checks that were sent for it.
const CHECK_WAIT_MS: Millis = 40.0;
/// Affinity engines that are checked for a waiting request.
const CHECKED_AFFINITY_ENGINES: usize = 2;

/// Detects from failures and answers whether an engine is down.
#[derive(Default)]
pub(super) struct FailureDetector {
    consecutive_failures: u32,
    unavailable_until_ms: Millis,
    last_answer_at_ms: Millis,
    last_check_at_ms: Millis,
    check_in_flight: bool,
}

impl FailureDetector {
    /// The detector of an engine that is new to the list.
    pub(super) fn new(now_ms: Millis) -> Self {
        FailureDetector {
            last_answer_at_ms: now_ms,
            last_check_at_ms: f64::NEG_INFINITY,
            ..FailureDetector::default()
        }
    }

    /// Time at which the pause after its latest failure ends; in the past if there is no pause.
    pub(super) fn unavailable_until_ms(&self) -> Millis {
        self.unavailable_until_ms
    }

    /// Whether the engine is down.
    pub(super) fn is_down(&self) -> bool {
        self.consecutive_failures >= FAILURES_UNTIL_DOWN
    }

    /// Whether the engine has not answered for longer than [`SILENT_AFTER_MS`].
    pub(super) fn is_silent(&self, now_ms: Millis) -> bool {
        now_ms - self.last_answer_at_ms > SILENT_AFTER_MS
    }

    /// Whether the engine has failed and its pause is over, so that a health check is due.
    pub(super) fn is_check_due(&self, now_ms: Millis) -> bool {
        self.consecutive_failures > 0 && now_ms >= self.unavailable_until_ms
    }

    /// Makes the engine unavailable until `until_ms` at least.
    pub(super) fn pause_until(&mut self, until_ms: Millis) {
        self.unavailable_until_ms = self.unavailable_until_ms.max(until_ms);
    }

    /// Records that a query is sent to the engine. After a failure the query is a trial: the engine
    /// gets nothing more until a new pause is over.
    pub(super) fn record_send(&mut self, now_ms: Millis) {
        if self.consecutive_failures > 0 {
            self.unavailable_until_ms = now_ms + self.pause_ms();
        }
    }

    /// Clears all failures and ends the pause.
    pub(super) fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
        self.unavailable_until_ms = 0.0;
    }

    /// Records an answer. Returns whether the engine was down.
    fn record_success(&mut self, now_ms: Millis) -> bool {
        self.last_answer_at_ms = now_ms;
        let was_down = self.is_down();
        self.clear_failures();
        was_down
    }

    /// Records a failure. Returns whether the engine is down from now on. One failure is enough if
    /// the engine is silent, that is, if answers are rare.
    fn record_failure(&mut self, now_ms: Millis) -> bool {
        let was_down = self.is_down();
        let failures = if self.is_silent(now_ms) {
            FAILURES_UNTIL_DOWN
        } else {
            1
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(failures);
        self.unavailable_until_ms = now_ms + self.pause_ms();
        !was_down && self.is_down()
    }

    fn pause_ms(&self) -> Millis {
        let failures = self.consecutive_failures.clamp(1, MAX_DOUBLING_FAILURES);
        let doubled = INITIAL_PAUSE_MS * f64::from(1u32 << failures) / 2.0;
        doubled.min(MAX_PAUSE_MS)
    }
}

/// Budget of health checks: each request adds one, and each health check uses one up.
pub(super) struct HealthCheckBudget {
    saved: f64,
}

impl Default for HealthCheckBudget {
    fn default() -> Self {
        HealthCheckBudget {
            saved: MAX_SAVED_CHECKS,
        }
    }
}

impl HealthCheckBudget {
    /// Adds one health check, for a request that has arrived.
    pub(super) fn add_check(&mut self) {
        self.saved = (self.saved + 1.0).min(MAX_SAVED_CHECKS);
    }

    /// Whether enough health checks are saved that checks of the whole fleet are a small share of
    /// the traffic.
    pub(super) fn allows_fleet_check(&self) -> bool {
        self.saved > MAX_SAVED_CHECKS * MIN_SAVED_SHARE_FOR_FLEET
    }

    fn has_saved_check(&self) -> bool {
        self.saved >= 1.0
    }

    fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

/// Health checks that a waiting request waits for.
#[derive(Default)]
pub(super) struct AwaitedHealthChecks {
    engines: Vec<EngineId>,
    until_ms: Millis,
}

impl Dispatcher {
    /// Handles the end of a health check.
    pub(super) fn on_health_check_ended(
        &mut self,
        engine_id: EngineId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            engine.failures.check_in_flight = false;
        }
        match outcome {
            Outcome::Ok => self.record_success(engine_id, actions),
            Outcome::Rejected | Outcome::NotSent => {}
            _ => self.record_failure(engine_id, EngineHealthChange::HealthCheckFailed, actions),
        }
    }

    /// Whether a request still waits for health checks that were sent for it.
    pub(super) fn awaits_health_checks(&self, awaited: &AwaitedHealthChecks) -> bool {
        let is_in_flight = |engine_id: &EngineId| {
            let engine = self.engines.get(engine_id);
            engine.is_some_and(|engine| engine.failures.check_in_flight)
        };
        self.now_ms < awaited.until_ms && awaited.engines.iter().any(is_in_flight)
    }

    /// Sends health checks to up to two affinity engines of a waiting request and to one eligible
    /// engine at random. Engines whose load report is younger than [`HEALTH_CHECK_INTERVAL_MS`] are
    /// left out, so no health check is sent where answers to this manager's own queries bring
    /// recent reports.
    pub(super) fn send_health_checks(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_waiting = request.in_flight.is_none() && !request.is_finished;
        if !self.settings.health_checks_allowed || !is_waiting {
            return;
        }
        let eligible: Vec<EngineId> = self
            .engines
            .values()
            .filter(|engine| self.is_eligible(request, engine))
            .map(|engine| engine.entry.engine)
            .collect();
        let random_bits =
            mix(self.seed ^ self.now_ms.to_bits() ^ request.arrival_number.bits()) as usize;
        let mut checked: Vec<EngineId> = self
            .affinity_engines(request)
            .into_iter()
            .filter(|engine_id| eligible.contains(engine_id))
            .take(CHECKED_AFFINITY_ENGINES)
            .collect();
        checked.extend(eligible.get(random_bits % eligible.len().max(1)));
        let now_ms = self.now_ms;
        checked.retain(|engine_id| {
            let engine = self.engines.get(engine_id);
            let is_stale =
                engine.is_some_and(|e| e.load.report_age_ms(now_ms) >= HEALTH_CHECK_INTERVAL_MS);
            is_stale && self.send_health_check(*engine_id, actions)
        });
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaited_checks = AwaitedHealthChecks {
                engines: checked,
                until_ms: now_ms + CHECK_WAIT_MS,
            };
        }
    }

    /// Sends a health check to an engine if the budget has one left and the engine's last one was
    /// sent at least [`HEALTH_CHECK_INTERVAL_MS`] ago. Returns whether it was sent.
    pub(super) fn send_health_check(
        &mut self,
        engine_id: EngineId,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.health_checks_allowed || !self.health_check_budget.has_saved_check() {
            return false;
        }
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return false;
        };
        let since_last_ms = self.now_ms - engine.failures.last_check_at_ms;
        if !engine.is_usable() || since_last_ms < HEALTH_CHECK_INTERVAL_MS {
            return false;
        }
        self.health_check_budget.spend();
        engine.failures.last_check_at_ms = self.now_ms;
        engine.failures.check_in_flight = true;
        actions.push(Action::SendHealthCheck { engine: engine_id });
        true
    }

    /// Records that an engine has answered.
    pub(super) fn record_success(&mut self, engine_id: EngineId, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if engine.failures.record_success(self.now_ms) {
            engine
                .slow_start
                .begin_recovery(self.now_ms, self.settings.slow_start_ms);
            actions.push(Action::EngineHealthChanged {
                engine: engine_id,
                change: EngineHealthChange::Recovered,
            });
        }
    }

    /// Records that an engine could not be reached.
    pub(super) fn record_failure(
        &mut self,
        engine_id: EngineId,
        cause: EngineHealthChange,
        actions: &mut Vec<Action>,
    ) {
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if engine.failures.record_failure(self.now_ms) {
            actions.push(Action::EngineHealthChanged {
                engine: engine_id,
                change: cause,
            });
        }
    }
}
