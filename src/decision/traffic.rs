//! Rates that are measured over time: this manager's traffic and the work that is served.

use super::{Dispatcher, Millis};

/// Time constant in ms of the served work that the backlog is held against.
const SERVED_WORK_FADE_MS: Millis = 2000.0;
/// Time constant in ms of a manager's traffic: dozens of requests.
const TRAFFIC_FADE_MS: Millis = 10_000.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Part of what the usable cores give that counts as served at least.
const MIN_SERVED_SHARE: f64 = 0.3;
/// Least work served, in ms of work a ms.
const MIN_SERVED_WORK_PER_MS: f64 = 0.01;

/// Requests of late, and the time that they came in.
#[derive(Default)]
pub(super) struct Traffic {
    /// Faded number of requests.
    requests: f64,
    /// Faded time, in ms.
    elapsed_ms: f64,
}

impl Traffic {
    /// Takes a request.
    pub(super) fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Lets time pass.
    pub(super) fn advance(&mut self, elapsed_ms: Millis) {
        self.requests *= 1.0 - elapsed_ms / TRAFFIC_FADE_MS;
        self.elapsed_ms += elapsed_ms - self.elapsed_ms * elapsed_ms / TRAFFIC_FADE_MS;
    }
}

/// Work served a millisecond.
#[derive(Default)]
pub(super) struct ServedWork {
    per_ms: f64,
}

impl ServedWork {
    /// Takes one served query's work, in ms.
    pub(super) fn record(&mut self, work_ms: f64) {
        self.per_ms += work_ms / SERVED_WORK_FADE_MS;
    }

    /// Lets time pass.
    pub(super) fn advance(&mut self, elapsed_ms: Millis) {
        self.per_ms *= 1.0 - elapsed_ms / SERVED_WORK_FADE_MS;
    }
}

impl Dispatcher {
    /// This manager's traffic against the mean one's, where the tenants' quotas tell what all take together.
    pub(super) fn traffic_weight(&self) -> f64 {
        let quota_per_s: f64 = self.settings.tenant_quotas_per_s.iter().sum();
        let managers = f64::from(self.settings.instances);
        let mean_requests = quota_per_s / MS_PER_S / managers * self.traffic.elapsed_ms;
        if quota_per_s > 0.0 {
            (1.0 + self.traffic.requests) / (1.0 + mean_requests)
        } else {
            1.0
        }
    }

    /// Work served a millisecond, as measured, but no less than a part of what the usable cores give.
    pub(super) fn service_rate(&self) -> f64 {
        let managers = f64::from(self.settings.instances);
        let cores: f64 = self
            .engines
            .values()
            .filter(|engine| engine.is_usable())
            .map(|engine| {
                let sharing = self.settings.sharing(&engine.entry);
                self.cores(engine) * (managers / sharing.mean_managers)
            })
            .sum();
        let min_rate = cores * MIN_SERVED_SHARE * self.traffic_weight() / managers;
        self.served_work
            .per_ms
            .max(min_rate)
            .max(MIN_SERVED_WORK_PER_MS)
    }
}
