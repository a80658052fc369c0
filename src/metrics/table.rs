//! The table of counters and gauges.

use super::class_outcomes::ClassOutcomesTable;
use super::{ClassCounts, ClassOutcomes, Counter, Gauge, LatencyHistogram, Metric};
use std::sync::Arc;

/// Defines [`Metrics`] and its listing from one table, so that names, kinds and order cannot differ.
macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident: $kind:ident,)*) => {
        /// One table of values, shared by all actors of a process.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: $kind,)*
            /// From the cancellation of an attempt to the confirmation of its end.
            pub cancellation_latency: LatencyHistogram,
            class_outcomes: ClassOutcomesTable,
        }

        impl Metrics {
            /// All counters and gauges, in the order of the MIB.
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
    /// The counters of a class's final answers. They stay from the class's first mention to the end of the process.
    pub fn class(&self, name: &str) -> Arc<ClassOutcomes> {
        self.class_outcomes.get_or_create(name)
    }

    /// The counts of all classes, in the order in which the classes were first named.
    #[must_use]
    pub fn classes(&self) -> Vec<ClassCounts> {
        self.class_outcomes.counts()
    }
}

// The order is that of the MIB's objects: a new value goes to the end, and none is moved or removed.
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
    /// Attempts that ended with the engine's error.
    attempts_failed: Counter,
    /// Attempts that an engine rejected as it is at capacity.
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
    /// Attempts that the dispatcher started and a check of the core kept from being sent.
    sends_blocked_by_guard: Counter,
    /// Progress reports received from engines.
    progress_notes: Counter,
    /// Pages of results requested from engines.
    result_pages: Counter,
    /// Client connections accepted.
    client_connections: Counter,
    /// Client connections that are open.
    client_connections_open: Gauge,
    /// Client connections with an answer, or a part of one, still to be written.
    client_connections_pending: Gauge,
    /// Client connections no longer read, as their input is malformed; earlier requests are answered.
    client_malformed: Counter,
    /// Client calls answered with an error for a missing or invalid field.
    client_bad_calls: Counter,
    /// Client calls rejected at a limit of their connection or of the process.
    client_over_limit: Counter,
    /// Connections to engines opened.
    engine_connections: Counter,
    /// Connections to engines that are open.
    engine_connections_open: Gauge,
    /// Answers of engines that are malformed, or never come to an end.
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
    /// Requests accepted and not yet ended.
    requests_open: Gauge,
    /// SNMP requests answered.
    snmp_answered: Counter,
    /// SNMP messages dropped: malformed, or with another version or community.
    snmp_dropped: Counter,
    /// Configurations put in force by a reload.
    reloads: Counter,
    /// Configurations rejected at a reload; the previous one stays in force.
    reloads_rejected: Counter,
    /// Idle client connections closed to accept another.
    client_connections_evicted: Counter,
    /// Client connections closed as they sent nothing, stopped inside a message, or read no answer.
    client_read_timeouts: Counter,
    /// Answers of engines that match no open attempt: late, repeated or unknown.
    engine_unexpected_answers: Counter,
    /// Engines known from the endpoint list.
    engines: Gauge,
    /// Listed engines that get no work now, ejected manually or as outliers.
    engines_ejected: Gauge,
    /// Attempts written completely to engines.
    attempts_written: Counter,
    /// Calls at the admin address that were carried out.
    admin_calls: Counter,
    /// Calls at the admin address that were invalid, or did not arrive completely in time.
    admin_bad_calls: Counter,
    /// Other live processes of this workload manager: 1 during a hot restart.
    peer_processes: Gauge,
    /// Stored states of manual ejections that could not be read or written.
    state_errors: Counter,
    /// Cancelled attempts whose completion was confirmed, or that were never sent.
    cancellations_confirmed: Counter,
    /// Cancelled attempts whose completion was not confirmed in time; their requests ended.
    cancellations_timed_out: Counter,
    /// Connections to engines closed as a cancellation was not written or not confirmed in time.
    cancellations_unconfirmed: Counter,
    /// Retries that the operators' policy denied, by the number of attempts or the kind of failure.
    retries_denied_by_policy: Counter,
    /// Retries denied as their retry budget was exhausted.
    retries_denied_by_budget: Counter,
    /// Retries delayed by a backoff.
    retries_delayed_by_backoff: Counter,
    /// Attempts cancelled at their policy's attempt timeout.
    attempt_timeouts: Counter,
    /// Cancellations by the dispatcher that were not made, as the policy allows no attempt after the cancelled one.
    cancellations_denied_by_policy: Counter,
    /// Operators' files put in force, at the start and by a reload.
    operator_config_loads: Counter,
    /// Operators' files rejected; the policy in force stays.
    operator_config_rejected: Counter,
    /// Attempts that found no free descriptor for a connection; they do not count as attempts of their request.
    attempts_no_connection_slot: Counter,
    /// Idle connections to engines closed to make room for another.
    engine_connections_evicted: Counter,
    /// Listed engines that wait for a slot.
    engines_waiting: Gauge,
    /// Listed engines that found all slots taken.
    engines_without_slot: Counter,
    /// Records of the endpoint list that remove an engine that is not known.
    list_unknown_removals: Counter,
    /// Records of the endpoint list superseded by a later record of the same event.
    list_duplicate_records: Counter,
    /// Records of the endpoint list that name an engine at another engine's address.
    list_address_conflicts: Counter,
    /// Records of the endpoint list with a state, zone or machine type that the settings do not know.
    list_unusable_records: Counter,
    /// Complete endpoint lists that leave out more than half of the known engines.
    list_large_removals: Counter,
    /// Requests that their clients mark as a retry.
    client_retries: Counter,
    /// Engines of the endpoint list that are in the subset, among which the dispatcher chooses.
    subset_size: Gauge,
    /// Zones in which engines of the subset accept work.
    subset_zones: Gauge,
    /// Workload managers whose subset contains an engine, on average.
    subset_managers_per_engine: Gauge,
    /// Engines added to the subset.
    subset_engines_added: Counter,
    /// Engines removed from the subset.
    subset_engines_removed: Counter,
    /// Endpoint list events after which no engine of the subset accepts work any more.
    subset_all_unavailable: Counter,
    /// Settings with another number of workload managers or another ordinal.
    subset_membership_changes: Counter,
    /// Settings whose ordinal is not below the number of workload managers.
    subset_ordinal_out_of_range: Counter,
    /// This workload manager's ordinal, unique among the workload managers.
    ordinal: Gauge,
    /// Requests held back until this process has the lease on their order key.
    requests_held_for_order_key: Counter,
}
