//! Checks of one table against the platform's settings, for one class that the table reaches.

use super::constraints::{ClassConstraints, PlatformConstraints};
use super::faults::FaultCollector;
use super::tables::{Table, TableKind};
use crate::decision::Millis;
use crate::retry_policy::AttemptPolicy;

/// One table as it applies to one class.
pub(super) struct TableForClass<'a> {
    pub(super) table: &'a Table<'a>,
    /// What the table itself sets.
    pub(super) own: &'a AttemptPolicy,
    /// What is in force for the class, together with broader tables.
    pub(super) effective: &'a AttemptPolicy,
    pub(super) class: &'a ClassConstraints,
    pub(super) platform: &'a PlatformConstraints,
}

impl TableForClass<'_> {
    /// Adds the faults of the table's own keys.
    pub(super) fn check(&self, faults: &mut FaultCollector<'_>) {
        self.check_hedging(faults);
        self.check_retry_outcomes(faults);
        self.check_request_timeout(faults);
        self.check_attempt_timeout(faults);
        self.check_max_attempts(faults);
        self.check_backoff(faults);
    }

    /// Whether the table names this class of non-idempotent requests or a route to it. The default may set keys that
    /// such a class leaves out.
    fn targets_non_idempotent_class(&self) -> bool {
        self.class.not_idempotent && self.table.kind != TableKind::Default
    }

    /// How long a request of the class may take.
    fn request_timeout_ms(&self) -> Millis {
        let client_timeout_ms = self.class.client_timeout_ms;
        self.effective
            .timeout_ms
            .unwrap_or(client_timeout_ms)
            .min(client_timeout_ms)
    }

    fn check_hedging(&self, faults: &mut FaultCollector<'_>) {
        if self.own.hedging.is_none() {
            return;
        }
        let (problem, suggestion) = if !self.platform.parallel_attempts_allowed {
            (
                "the platform's settings allow one attempt out at a time (limits.parallelTries)"
                    .to_owned(),
                "remove second_copy",
            )
        } else if self.targets_non_idempotent_class() {
            (
                format!(
                    "class {} may run once only, and a second copy could run it twice",
                    self.class.name
                ),
                "remove second_copy, or narrow the route to other classes",
            )
        } else {
            // The core does not carry out hedging: accepting the key would promise what is not done.
            (
                "this version sends no second copies yet".to_owned(),
                "remove second_copy",
            )
        };
        faults.add(&self.table.path, "second_copy", problem, suggestion);
    }

    /// A non-idempotent request is not retried after outcomes in which an engine may have run it.
    fn check_retry_outcomes(&self, faults: &mut FaultCollector<'_>) {
        let Some(outcomes) = self.own.retry_on else {
            return;
        };
        let may_have_run: Vec<&str> = outcomes.names_that_may_have_run().collect();
        if self.targets_non_idempotent_class() && !may_have_run.is_empty() {
            let problem = format!(
                "class {} may run once only, and after {} it may have run",
                self.class.name,
                may_have_run.join(", ")
            );
            let suggestion = "name only no-connection, full and never-sent for it";
            faults.add(&self.table.path, "retry_on", problem, suggestion);
        }
    }

    fn check_request_timeout(&self, faults: &mut FaultCollector<'_>) {
        let client_timeout_ms = self.class.client_timeout_ms;
        if let Some(timeout_ms) = self.own.timeout_ms
            && timeout_ms > client_timeout_ms
        {
            let name = &self.class.name;
            let problem = format!(
                "{timeout_ms} ms is longer than the give-up time of class {name}, {client_timeout_ms} ms"
            );
            let suggestion = format!("set {client_timeout_ms} or less");
            faults.add(&self.table.path, "timeout_ms", problem, suggestion);
        }
    }

    fn check_attempt_timeout(&self, faults: &mut FaultCollector<'_>) {
        let table_sets_timeout =
            self.own.attempt_timeout_ms.is_some() || self.own.timeout_ms.is_some();
        let request_ms = self.request_timeout_ms();
        if let Some(attempt_ms) = self.effective.attempt_timeout_ms
            && attempt_ms > request_ms
            && table_sets_timeout
        {
            let name = &self.class.name;
            let problem = format!(
                "one attempt may take {attempt_ms} ms, longer than a request of class {name} may, {request_ms} ms"
            );
            let suggestion = format!("set {request_ms} or less");
            faults.add(&self.table.path, "attempt_timeout_ms", problem, suggestion);
        }
    }

    fn check_max_attempts(&self, faults: &mut FaultCollector<'_>) {
        let allowed = self.platform.max_attempts;
        if let Some(attempts) = self.own.max_attempts
            && attempts > allowed
        {
            let problem =
                format!("{attempts} attempts are more than the platform allows, {allowed}");
            let suggestion = format!("set {allowed} or less");
            faults.add(&self.table.path, "max_attempts", problem, suggestion);
        }
    }

    /// The waits between all attempts leave time for the attempts themselves.
    fn check_backoff(&self, faults: &mut FaultCollector<'_>) {
        let allowed = self.platform.max_attempts;
        let attempts = self.effective.max_attempts.unwrap_or(allowed).min(allowed);
        let request_ms = self.request_timeout_ms();
        let table_sets_relevant_key = self.own.backoff.is_some()
            || self.own.max_attempts.is_some()
            || self.own.timeout_ms.is_some();
        let total_wait = self.effective.backoff.map(|b| b.total_delay_ms(attempts));
        if let Some(wait_ms) = total_wait
            && wait_ms >= request_ms
            && table_sets_relevant_key
        {
            let name = &self.class.name;
            let problem = format!(
                "{attempts} attempts of class {name} wait {wait_ms} ms between them alone, and the request has {request_ms} ms"
            );
            let suggestion = "shorten the waits or allow fewer attempts";
            faults.add(&self.table.path, "backoff", problem, suggestion);
        }
    }
}
