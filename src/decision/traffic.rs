//! Moving rates: this manager's traffic, and the work that engines serve for it.

use super::{Dispatcher, Millis};

/// Time constant in ms of the rate of served work, with which the backlog is compared.
const SERVED_WORK_DECAY_MS: Millis = 2000.0;
/// Time constant in ms of a manager's traffic. It covers dozens of requests.
const TRAFFIC_DECAY_MS: Millis = 10_000.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Minimum rate of served work, as a share of this manager's part of the usable cores.
const MIN_SERVED_SHARE: f64 = 0.3;
/// Minimum rate of served work, in ms of work per ms.
const MIN_SERVED_WORK_PER_MS: f64 = 0.01;

/// Requests that have arrived and the time in which they did, both with exponential decay.
#[derive(Default)]
pub(super) struct Traffic {
    /// Number of requests, with decay.
    requests: f64,
    /// Elapsed time in ms, with decay.
    elapsed_ms: f64,
}

impl Traffic {
    /// Records a request.
    pub(super) fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Decays the sums by the time that has passed, and adds that time.
    pub(super) fn advance(&mut self, elapsed_ms: Millis) {
        self.requests *= 1.0 - elapsed_ms / TRAFFIC_DECAY_MS;
        self.elapsed_ms += elapsed_ms - self.elapsed_ms * elapsed_ms / TRAFFIC_DECAY_MS;
    }
}

/// Work served per millisecond, as a moving rate.
#[derive(Default)]
pub(super) struct ServedWork {
    per_ms: f64,
}

impl ServedWork {
    /// Records the work of a served query, in ms.
    pub(super) fn record(&mut self, work_ms: f64) {
        self.per_ms += work_ms / SERVED_WORK_DECAY_MS;
    }

    /// Decays the rate by the time that has passed.
    pub(super) fn advance(&mut self, elapsed_ms: Millis) {
        self.per_ms *= 1.0 - elapsed_ms / SERVED_WORK_DECAY_MS;
    }
}

impl Dispatcher {
    /// This manager's traffic relative to the mean manager's, which follows from the tenants'
    /// quotas. Without quotas it is 1.
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

    /// Measured work served per millisecond, but no less than a share of this manager's part of the
    /// usable cores.
    pub(super) fn service_rate(&self) -> f64 {
        let managers = f64::from(self.settings.instances);
        let cores: f64 = self
            .engines
            .values()
            .filter(|engine| engine.is_usable())
            .map(|engine| {
                let sharing = self.settings.sharing(&engine.entry);
                self.available_cores(engine) * (managers / sharing.mean_managers)
            })
            .sum();
        let min_rate = cores * MIN_SERVED_SHARE * self.traffic_weight() / managers;
        self.served_work
            .per_ms
            .max(min_rate)
            .max(MIN_SERVED_WORK_PER_MS)
    }
}
