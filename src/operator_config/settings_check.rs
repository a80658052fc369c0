//! Checks one table of the operators' file against the platform's settings, for one class that it
//! applies to.

use super::constraints::{ClassConstraints, PlatformConstraints};
use super::faults::FaultCollector;
use super::tables::{Table, TableKind};
use crate::decision::Millis;
use crate::retry_policy::AttemptPolicy;

/// A table of the file together with a class that it applies to.
pub(super) struct TableForClass<'a> {
    pub(super) table: &'a Table<'a>,
    /// The policy that this table sets by itself.
    pub(super) table_policy: &'a AttemptPolicy,
    /// The policy in force for the class: this table's keys and those of broader tables.
    pub(super) effective: &'a AttemptPolicy,
    pub(super) class: &'a ClassConstraints,
    pub(super) platform: &'a PlatformConstraints,
}

impl TableForClass<'_> {
    /// Adds a fault for each key of the table that contradicts the settings.
    pub(super) fn check(&self, faults: &mut FaultCollector<'_>) {
        self.check_hedging(faults);
        self.check_retry_outcomes(faults);
        self.check_request_timeout(faults);
        self.check_attempt_timeout(faults);
        self.check_max_attempts(faults);
        self.check_backoff(faults);
    }

    /// Whether the class is non-idempotent and the table is its class table or a route. The default
    /// table may set keys that such a class must not have: the policy leaves them out for this
    /// class.
    fn targets_non_idempotent_class(&self) -> bool {
        self.class.non_idempotent && self.table.kind != TableKind::Default
    }

    /// The effective timeout of a request of the class, in ms: at most the client timeout.
    fn request_timeout_ms(&self) -> Millis {
        let client_timeout_ms = self.class.client_timeout_ms;
        self.effective
            .timeout_ms
            .unwrap_or(client_timeout_ms)
            .min(client_timeout_ms)
    }

    /// Hedging is rejected in every case; the problem gives the first reason that applies.
    fn check_hedging(&self, faults: &mut FaultCollector<'_>) {
        if self.table_policy.hedging.is_none() {
            return;
        }
        let (problem, suggestion) = if !self.platform.parallel_attempts_allowed {
            (
                "the platform's settings allow only one attempt in flight (limits.parallelTries)"
                    .to_owned(),
                "remove second_copy",
            )
        } else if self.targets_non_idempotent_class() {
            (
                format!(
                    "requests of class {} may run once only, and a hedged request could run twice",
                    self.class.name
                ),
                "remove second_copy, or narrow the route to other classes",
            )
        } else {
            // The core does not implement hedging, so an accepted key would have no effect.
            (
                "this version does not send hedged requests yet".to_owned(),
                "remove second_copy",
            )
        };
        faults.add(&self.table.path, "second_copy", problem, suggestion);
    }

    /// A non-idempotent request must not be retried after an outcome that leaves open whether an
    /// engine ran it.
    fn check_retry_outcomes(&self, faults: &mut FaultCollector<'_>) {
        let Some(outcomes) = self.table_policy.retry_on else {
            return;
        };
        let may_have_run: Vec<&str> = outcomes.names_that_may_have_run().collect();
        if self.targets_non_idempotent_class() && !may_have_run.is_empty() {
            let problem = format!(
                "requests of class {} may run once only, and after {} a request may have run",
                self.class.name,
                may_have_run.join(", ")
            );
            let suggestion = "list only no-connection, full and never-sent";
            faults.add(&self.table.path, "retry_on", problem, suggestion);
        }
    }

    /// The request timeout must not exceed the client timeout.
    fn check_request_timeout(&self, faults: &mut FaultCollector<'_>) {
        let client_timeout_ms = self.class.client_timeout_ms;
        if let Some(timeout_ms) = self.table_policy.timeout_ms
            && timeout_ms > client_timeout_ms
        {
            let name = &self.class.name;
            let problem = format!(
                "{timeout_ms} ms is longer than the client timeout (giveUpMs) of class {name}, {client_timeout_ms} ms"
            );
            let suggestion = format!("set {client_timeout_ms} or less");
            faults.add(&self.table.path, "timeout_ms", problem, suggestion);
        }
    }

    /// The timeout of an attempt must not exceed that of its request.
    fn check_attempt_timeout(&self, faults: &mut FaultCollector<'_>) {
        let table_sets_timeout = self.table_policy.attempt_timeout_ms.is_some()
            || self.table_policy.timeout_ms.is_some();
        let request_ms = self.request_timeout_ms();
        if let Some(attempt_ms) = self.effective.attempt_timeout_ms
            && attempt_ms > request_ms
            && table_sets_timeout
        {
            let name = &self.class.name;
            let problem = format!(
                "one attempt may take {attempt_ms} ms, but a request of class {name} only {request_ms} ms"
            );
            let suggestion = format!("set {request_ms} or less");
            faults.add(&self.table.path, "attempt_timeout_ms", problem, suggestion);
        }
    }

    /// The number of attempts must not exceed the platform's limit.
    fn check_max_attempts(&self, faults: &mut FaultCollector<'_>) {
        let allowed = self.platform.max_attempts;
        if let Some(attempts) = self.table_policy.max_attempts
            && attempts > allowed
        {
            let problem =
                format!("{attempts} attempts are more than the platform's limit of {allowed}");
            let suggestion = format!("set {allowed} or less");
            faults.add(&self.table.path, "max_attempts", problem, suggestion);
        }
    }

    /// The delays between all attempts must be shorter in total than the request timeout, so that
    /// there is time for the attempts themselves.
    fn check_backoff(&self, faults: &mut FaultCollector<'_>) {
        let allowed = self.platform.max_attempts;
        let attempts = self.effective.max_attempts.unwrap_or(allowed).min(allowed);
        let request_ms = self.request_timeout_ms();
        let table_sets_relevant_key = self.table_policy.backoff.is_some()
            || self.table_policy.max_attempts.is_some()
            || self.table_policy.timeout_ms.is_some();
        let total_delay_ms = self
            .effective
            .backoff
            .map(|backoff| backoff.total_delay_ms(attempts));
        if let Some(backoff_ms) = total_delay_ms
            && backoff_ms >= request_ms
            && table_sets_relevant_key
        {
            let name = &self.class.name;
            let problem = format!(
                "the backoff between {attempts} attempts of class {name} takes {backoff_ms} ms, \
                 and the request may take {request_ms} ms"
            );
            let suggestion = "shorten the backoff or allow fewer attempts";
            faults.add(&self.table.path, "backoff", problem, suggestion);
        }
    }
}
