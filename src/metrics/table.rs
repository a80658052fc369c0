//! The table of all counters and gauges of the process.

use super::class_outcomes::ClassOutcomesTable;
use super::{ClassCounts, ClassOutcomes, Counter, Gauge, LatencyHistogram, Metric};
use std::sync::Arc;

/// Defines [`Metrics`] and [`Metrics::all`] from one table, so that their names, kinds and order
/// cannot differ.
macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident: $kind:ident,)*) => {
        /// The counters and gauges of a process, shared by all its actors.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: $kind,)*
            /// Time from the cancellation of an attempt until its completion is confirmed.
            pub cancellation_latency: LatencyHistogram,
            class_outcomes: ClassOutcomesTable,
        }

        impl Metrics {
            /// Returns all counters and gauges, in the order of the MIB.
            #[must_use]
            pub fn all(&self) -> Vec<Metric> {
                vec![$(Metric {
                    name: stringify!($name),
                    kind: $kind::KIND,
                    value: self.$name.get(),
                },)*]
            }
        }
    };
}

impl Metrics {
    /// Returns the counters of the final answers to a class's requests. They are created if the
    /// class has none, and count until the end of the process unless newer classes replace them.
    pub fn outcomes_of_class(&self, name: &str) -> Arc<ClassOutcomes> {
        self.class_outcomes.get_or_create(name)
    }

    /// Returns the counts of all classes, in the order in which the classes were added.
    #[must_use]
    pub fn class_counts(&self) -> Vec<ClassCounts> {
        self.class_outcomes.counts()
    }
}

// The order is that of the MIB's objects: a new metric goes to the end, and no metric is moved or
// removed.
metrics! {
    /// Requests accepted from clients.
    requests_accepted: Counter,
    /// Requests answered with a result.
    requests_served: Counter,
    /// Requests answered with a rejection.
    requests_rejected: Counter,
    /// Requests answered with an error.
    requests_failed: Counter,
    /// Requests whose client disconnected before the answer.
    client_disconnects: Counter,
    /// Attempts that the dispatcher started.
    attempts_started: Counter,
    /// Attempts that the engine completed.
    attempts_succeeded: Counter,
    /// Attempts that the engine answered with an error.
    attempts_failed: Counter,
    /// Attempts that an engine rejected because it is at capacity.
    attempts_rejected: Counter,
    /// Attempts that were not answered in time.
    attempts_timed_out: Counter,
    /// Attempts for which no connection to the engine could be opened.
    attempts_no_connection: Counter,
    /// Attempts whose connection was lost.
    attempts_reset: Counter,
    /// Attempts that were cancelled.
    attempts_cancelled: Counter,
    /// Attempts that ended before anything was sent.
    attempts_not_sent: Counter,
    /// Attempts that the dispatcher started but a check of the core blocked before they were sent.
    sends_blocked_by_guard: Counter,
    /// Progress reports received from engines.
    progress_notes: Counter,
    /// Pages of results requested from engines.
    result_pages: Counter,
    /// Client connections accepted.
    client_connections: Counter,
    /// Open client connections.
    client_connections_open: Gauge,
    /// Client connections and calls for which an answer, or a part of one, is still to be written.
    client_connections_pending: Gauge,
    /// Client connections that are no longer read because their input is malformed. Earlier
    /// requests are still answered.
    client_malformed: Counter,
    /// Client calls answered with an error because a field is missing or invalid.
    client_bad_calls: Counter,
    /// Client calls rejected because a limit of their connection or of the process was reached.
    client_over_limit: Counter,
    /// Connections to engines opened.
    engine_connections: Counter,
    /// Open connections to engines.
    engine_connections_open: Gauge,
    /// Answers of engines that are malformed or do not end.
    engine_malformed: Counter,
    /// Connections to the discovery feed opened.
    feed_connections: Counter,
    /// Endpoint list events applied.
    feed_events: Counter,
    /// Malformed frames of the discovery feed.
    feed_malformed: Counter,
    /// Read timeouts of the discovery feed.
    feed_timeouts: Counter,
    /// Calls accepted by the Flight SQL front end.
    flight_calls: Counter,
    /// Flight SQL calls answered with INVALID_ARGUMENT or UNIMPLEMENTED.
    flight_bad_calls: Counter,
    /// Requests that have been accepted and have not ended.
    requests_open: Gauge,
    /// SNMP requests answered.
    snmp_answered: Counter,
    /// SNMP messages dropped because they are malformed or have another version or community.
    snmp_dropped: Counter,
    /// Configurations put in force by a reload.
    reloads: Counter,
    /// Configurations rejected at a reload; the previous one stays in force.
    reloads_rejected: Counter,
    /// Idle client connections closed to make room for another.
    client_connections_evicted: Counter,
    /// Client connections closed because the client sent nothing, stopped inside a message, or did
    /// not read its answers.
    client_read_timeouts: Counter,
    /// Answers of engines that match no open attempt because they are late, repeated or unknown.
    engine_unexpected_answers: Counter,
    /// Engines known from the endpoint list.
    engines: Gauge,
    /// Listed engines that get no attempts because they are ejected, manually or as outliers.
    engines_ejected: Gauge,
    /// Attempts written completely to engines.
    attempts_written: Counter,
    /// Calls at the admin address that were carried out.
    admin_calls: Counter,
    /// Calls at the admin address that were invalid or did not arrive completely in time.
    admin_bad_calls: Counter,
    /// Running peer processes of this workload manager: 1 during a hot restart, otherwise 0.
    peer_processes: Gauge,
    /// Failed reads and writes of the files in the shared folder, which hold the manual ejections
    /// and the locks of order keys.
    state_errors: Counter,
    /// Cancelled attempts whose completion was confirmed or that were never sent.
    cancellations_confirmed: Counter,
    /// Cancelled attempts whose completion was not confirmed in time. Their requests ended.
    cancellations_timed_out: Counter,
    /// Connections to engines closed because a cancellation was not written or confirmed in time.
    cancellations_unconfirmed: Counter,
    /// Retries that the retry policy denied, because of the number of attempts or the outcome.
    retries_denied_by_policy: Counter,
    /// Retries denied because their retry budget was exhausted.
    retries_denied_by_budget: Counter,
    /// Retries delayed by a backoff.
    retries_delayed_by_backoff: Counter,
    /// Attempts cancelled at the attempt timeout of their policy.
    attempt_timeouts: Counter,
    /// Cancellations that the dispatcher requested but that were not made, because the retry policy
    /// allows no further attempt.
    cancellations_denied_by_policy: Counter,
    /// Operators' files put in force, at the start of the process and by reloads.
    operator_config_loads: Counter,
    /// Operators' files rejected; the previous one stays in force.
    operator_config_rejected: Counter,
    /// Attempts that were not sent because no connection slot was free. They do not count as
    /// attempts of their request.
    attempts_no_connection_slot: Counter,
    /// Idle connections to engines closed to make room for another.
    engine_connections_evicted: Counter,
    /// Listed engines that wait for a free engine slot.
    engines_waiting: Gauge,
    /// Listed engines that had to wait because no engine slot was free.
    engines_without_slot: Counter,
    /// Records of the endpoint list that remove an unknown engine.
    list_unknown_removals: Counter,
    /// Records of the endpoint list that a later record of the same event replaces.
    list_duplicate_records: Counter,
    /// Records of the endpoint list that give an engine the address of another engine.
    list_address_conflicts: Counter,
    /// Records of the endpoint list with an unknown state, zone or machine type.
    list_unusable_records: Counter,
    /// Full endpoint lists that leave out more than half of the known engines.
    list_large_removals: Counter,
    /// Requests that their clients mark as a retry.
    client_retries: Counter,
    /// Engines in the subset, from which the dispatcher selects.
    subset_size: Gauge,
    /// Zones in which engines of the subset accept work.
    subset_zones: Gauge,
    /// Average number of workload managers whose subset contains an engine, rounded.
    subset_managers_per_engine: Gauge,
    /// Engines added to the subset.
    subset_engines_added: Counter,
    /// Engines removed from the subset.
    subset_engines_removed: Counter,
    /// Endpoint list events after which no engine of the subset accepts work any longer.
    subset_all_unavailable: Counter,
    /// Changes of the settings to another number of workload managers or another ordinal.
    subset_membership_changes: Counter,
    /// Settings with an ordinal that is not below the number of workload managers.
    subset_ordinal_out_of_range: Counter,
    /// This workload manager's ordinal, unique among the workload managers.
    ordinal: Gauge,
    /// Requests held back until this process has the lease on their order key.
    requests_held_for_order_key: Counter,
    /// Front ends that accept no connection now, because this process has no free slot for one.
    client_listeners_waiting: Gauge,
}
