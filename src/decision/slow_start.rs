//! Slow start: an engine that has just started gets a growing part of its capacity, and no more than it can bear.

use super::{Dispatcher, Engine, Millis, QueuedRequest, Settings};

/// Part of the overload bound that is used. Capacity is at 85% busy, and the costs are estimates.
const OVERLOAD_BUDGET_SHARE: f64 = 0.51;
/// A query that comes in turn takes no larger part of the whole budget than one in so many.
const MIN_QUERIES_IN_BUDGET: f64 = 6.0;
/// Managers by which one overload window moves the turn on.
const TURNS_PER_WINDOW: f64 = 3.0;
/// The engine's hash is reduced to this many places, so that it adds to a clock without loss.
const HASH_RANGE: u64 = 4096;
/// A query counts for this part of its class's mean work at least, as anyone may send a small estimate.
const MIN_MEAN_WORK_SHARE: f64 = 0.25;
/// Longest time in ms for which an engine that answers again is taken as cold: the list may name its restart that much
/// later.
const MAX_RECOVERY_MS: f64 = 4000.0;
/// Least share of its capacity that a cold engine has.
const MIN_INITIAL_SHARE: f64 = 0.01;

/// The time for which an engine is taken as cold.
#[derive(Clone, Copy)]
struct SlowStartPeriod {
    from_ms: Millis,
    until_ms: Millis,
}

/// Work sent to an engine.
struct SentWork {
    at_ms: Millis,
    work_ms: f64,
}

/// Whether an engine is cold, and the work sent to it of late.
#[derive(Default)]
pub(super) struct SlowStart {
    period: Option<SlowStartPeriod>,
    sent: Vec<SentWork>,
}

impl SlowStart {
    /// Takes the engine as cold for this time.
    pub(super) fn set_period(&mut self, from_ms: Millis, duration_ms: Millis) {
        self.period = Some(SlowStartPeriod {
            from_ms,
            until_ms: from_ms + duration_ms,
        });
    }

    /// Takes an engine that answers again as cold for a while, if it is not cold already. It may have restarted, and
    /// the list names that seconds late.
    pub(super) fn begin_recovery(&mut self, now_ms: Millis, slow_start_ms: Millis) {
        let is_warming_up = self.period.is_some_and(|period| period.until_ms >= now_ms);
        if !is_warming_up {
            self.set_period(now_ms, MAX_RECOVERY_MS.min(slow_start_ms));
        }
    }

    /// Whether the engine has its whole capacity.
    pub(super) fn is_warm(&self, now_ms: Millis) -> bool {
        self.period.is_none_or(|period| now_ms >= period.until_ms)
    }

    /// Share of its cores that the engine has to give now: while it is cold, a climb below the straight line.
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

    /// Takes note of a query sent, and forgets those before the window.
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
    /// Cores that an engine has to give now.
    pub(super) fn cores(&self, engine: &Engine) -> f64 {
        engine.warm_cores
            * engine
                .slow_start
                .capacity_share(self.now_ms, &self.settings)
    }

    /// Work that a query counts for on a cold engine, in ms.
    pub(super) fn slow_start_work_ms(&self, class: usize, expected_work_ms: f64) -> f64 {
        let mean_work_ms = self.class_statistics[class].mean_work_ms();
        (mean_work_ms * MIN_MEAN_WORK_SHARE).max(expected_work_ms)
    }

    /// Whether a request stays within a cold engine's budget: a multiple of its present capacity in any window,
    /// divided among the managers that hold it.
    pub(super) fn slow_start_allows(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        if engine.is_warm(self.now_ms) {
            return true;
        }
        let window_ms = self.settings.overload_window_ms;
        let work_ms = self.slow_start_work_ms(request.class, self.expected_work_ms(request));
        let sharing = self.settings.sharing(&engine.entry);
        let managers = f64::from(sharing.max_managers);
        let whole_budget_ms = self.settings.overload_multiple * self.cores(engine) * window_ms;
        let sent_ms = engine.slow_start.work_sent_ms(self.now_ms, window_ms);
        // Two processes of one manager share its part.
        let own_budget_ms =
            whole_budget_ms * OVERLOAD_BUDGET_SHARE / managers / self.capacity_divisor.max(1.0);
        if sent_ms + work_ms <= own_budget_ms {
            return true;
        }
        // A part of less than one query comes in turn, by a clock and a hash that all managers share.
        let turn = self.now_ms / window_ms * TURNS_PER_WINDOW
            + f64::from(sharing.rank)
            + (engine.hash % HASH_RANGE) as f64;
        let turn_place = turn.rem_euclid(managers);
        sent_ms == 0.0
            && work_ms * MIN_QUERIES_IN_BUDGET <= whole_budget_ms
            && turn_place * work_ms < own_budget_ms * managers
    }
}
