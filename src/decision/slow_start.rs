//! Slow start: an engine that is warming up has a growing share of its capacity, and a budget keeps
//! the work sent to it below the bound at which it would fail.

use super::{Dispatcher, Engine, Millis, QueuedRequest, Settings};

/// Share of the overload bound that the budget uses. The rest is a margin: the bound refers to the
/// capacity at 85% busy, and the costs of queries are estimates.
const OVERLOAD_BUDGET_SHARE: f64 = 0.51;
/// Minimum ratio of the whole budget to a query's work for the query to be sent in the manager's
/// turn.
const MIN_QUERIES_IN_BUDGET: f64 = 6.0;
/// Number of turns, one for each manager, that pass within one overload window.
const TURNS_PER_WINDOW: f64 = 3.0;
/// Range to which the engine's hash is reduced, so that adding it to the clock loses no precision.
const HASH_RANGE: u64 = 4096;
/// Minimum share of its class's mean work that a query counts for, because clients may send too
/// small an estimate.
const MIN_MEAN_WORK_SHARE: f64 = 0.25;
/// Longest slow start in ms of an engine that was down and answers again. If it has restarted, the
/// endpoint list may report the restart with a delay of up to that time.
const MAX_RECOVERY_MS: f64 = 4000.0;
/// Minimum share of its capacity that an engine has at the beginning of its slow start.
const MIN_INITIAL_SHARE: f64 = 0.01;

/// The period in which an engine counts as warming up.
#[derive(Clone, Copy)]
struct SlowStartPeriod {
    from_ms: Millis,
    until_ms: Millis,
}

/// A query sent to an engine, with its work.
struct SentWork {
    at_ms: Millis,
    work_ms: f64,
}

/// An engine's slow-start period, and the work sent to it within the latest overload window.
#[derive(Default)]
pub(super) struct SlowStart {
    period: Option<SlowStartPeriod>,
    sent: Vec<SentWork>,
}

impl SlowStart {
    /// Sets the period in which the engine counts as warming up.
    pub(super) fn set_period(&mut self, from_ms: Millis, duration_ms: Millis) {
        self.period = Some(SlowStartPeriod {
            from_ms,
            until_ms: from_ms + duration_ms,
        });
    }

    /// Begins a slow start of at most [`MAX_RECOVERY_MS`] for an engine that answers again, unless
    /// it is warming up already. It may have restarted, and the endpoint list reports a restart
    /// seconds late.
    pub(super) fn begin_recovery(&mut self, now_ms: Millis, slow_start_ms: Millis) {
        let is_warming_up = self.period.is_some_and(|period| period.until_ms >= now_ms);
        if !is_warming_up {
            self.set_period(now_ms, MAX_RECOVERY_MS.min(slow_start_ms));
        }
    }

    /// Whether the engine's slow start is over, so that it has its whole capacity.
    pub(super) fn is_warm(&self, now_ms: Millis) -> bool {
        self.period.is_none_or(|period| now_ms >= period.until_ms)
    }

    /// Share of its cores that the engine can use now. It rises with the square of the time since
    /// its slow start began, and so stays below a linear rise.
    fn capacity_share(&self, now_ms: Millis, settings: &Settings) -> f64 {
        let is_warm = self.is_warm(now_ms) || settings.slow_start_ms <= 0.0;
        let Some(period) = self.period.filter(|_| !is_warm) else {
            return 1.0;
        };
        let elapsed_share = ((now_ms - period.from_ms) / settings.slow_start_ms).clamp(0.0, 1.0);
        let initial_share = settings
            .slow_start_initial_share
            .clamp(MIN_INITIAL_SHARE, 1.0);
        initial_share + (1.0 - initial_share) * elapsed_share * elapsed_share
    }

    /// Records a query that is sent, and removes those sent before the window.
    pub(super) fn record_send(&mut self, now_ms: Millis, work_ms: f64, window_ms: Millis) {
        self.sent.retain(|sent| now_ms - sent.at_ms <= window_ms);
        self.sent.push(SentWork {
            at_ms: now_ms,
            work_ms,
        });
    }

    /// Work sent within the window, in ms.
    fn work_sent_ms(&self, now_ms: Millis, window_ms: Millis) -> f64 {
        self.sent
            .iter()
            .filter(|sent| now_ms - sent.at_ms <= window_ms)
            .map(|sent| sent.work_ms)
            .sum()
    }
}

impl Dispatcher {
    /// Cores that an engine can use now: all of them once its slow start is over.
    pub(super) fn available_cores(&self, engine: &Engine) -> f64 {
        engine.warm_cores
            * engine
                .slow_start
                .capacity_share(self.now_ms, &self.settings)
    }

    /// Work in ms that a query counts for on an engine that is warming up.
    pub(super) fn slow_start_work_ms(&self, class: usize, expected_work_ms: f64) -> f64 {
        let mean_work_ms = self.class_statistics[class].mean_work_ms();
        (mean_work_ms * MIN_MEAN_WORK_SHARE).max(expected_work_ms)
    }

    /// Whether a request is within the budget of an engine that is warming up. The budget is a
    /// multiple of the engine's present capacity in any overload window, divided among the managers
    /// that use it.
    pub(super) fn slow_start_allows(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        if engine.is_warm(self.now_ms) {
            return true;
        }
        let window_ms = self.settings.overload_window_ms;
        let work_ms = self.slow_start_work_ms(request.class, self.expected_work_ms(request));
        let sharing = self.settings.sharing(&engine.entry);
        let managers = f64::from(sharing.max_managers);
        let whole_budget_ms =
            self.settings.overload_multiple * self.available_cores(engine) * window_ms;
        let sent_ms = engine.slow_start.work_sent_ms(self.now_ms, window_ms);
        // Two processes of one manager share that manager's budget.
        let own_budget_ms =
            whole_budget_ms * OVERLOAD_BUDGET_SHARE / managers / self.capacity_divisor.max(1.0);
        if sent_ms + work_ms <= own_budget_ms {
            return true;
        }
        // Managers whose own budget is less than one query take turns. The turn follows from a
        // clock and a hash that all managers share.
        let turn = self.now_ms / window_ms * TURNS_PER_WINDOW
            + f64::from(sharing.rank)
            + (engine.hash % HASH_RANGE) as f64;
        let turn_place = turn.rem_euclid(managers);
        sent_ms == 0.0
            && work_ms * MIN_QUERIES_IN_BUDGET <= whole_budget_ms
            && turn_place * work_ms < own_budget_ms * managers
    }
}
