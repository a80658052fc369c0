//! What the program takes in, sends and answers, counted in one table where it happens: printed on SIGUSR1 and at
//! exit, told at the operations address, and read by the SNMP agent in the order that stands here.

use hdrhistogram::Histogram;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// One table of counters, shared by all actors of a process.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: Counter,)*
            /// From giving an attempt up to the proof of its end.
            pub cancellation_latency: LatencyHistogram,
            by_class: ByClass,
        }

        impl Metrics {
            /// All counters with their names, in the order of the MIB.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// Those that also go down.
const GAUGES: [&str; 12] = [
    "engines",
    "engines_waiting",
    "client_connections_open",
    "client_connections_pending",
    "engine_connections_open",
    "requests_open",
    "engines_ejected",
    "peer_processes",
    "subset_size",
    "subset_zones",
    "subset_managers_per_engine",
    "ordinal",
];

/// Whether a name is a gauge's and not a counter's.
pub fn is_gauge(name: &str) -> bool {
    GAUGES.contains(&name)
}

/// One counter, or a gauge where it also goes down.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds so many.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }

    /// Takes one off: for gauges.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets it: for gauges.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }

    /// The value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

metrics! {
    /// Requests taken from clients.
    requests_accepted,
    /// Final answers: served.
    requests_served,
    /// Final answers: refused.
    requests_rejected,
    /// Final answers: failed.
    requests_failed,
    /// Requests whose client left first.
    client_disconnects,
    /// Attempts sent to engines.
    attempts_started,
    /// Attempts that ended well.
    attempts_succeeded,
    /// Attempts that ended with the engine's error.
    attempts_failed,
    /// Attempts that an engine turned away.
    attempts_rejected,
    /// Attempts that were not answered in time.
    attempts_timed_out,
    /// Attempts for which no connection was had.
    attempts_no_connection,
    /// Attempts whose connection broke.
    attempts_reset,
    /// Attempts that were called off.
    attempts_cancelled,
    /// Attempts that were never sent.
    attempts_not_sent,
    /// Sends that a guard of the core stopped.
    sends_blocked_by_guard,
    /// Notes of progress read.
    progress_notes,
    /// Pages of results asked for.
    result_pages,
    /// Client connections accepted.
    client_connections,
    /// Client connections open now.
    client_connections_open,
    /// Client connections that still owe an answer or a part of one.
    client_connections_pending,
    /// Client connections closed for input that cannot be read.
    client_malformed,
    /// Client calls answered with an error for what they lack or name.
    client_bad_calls,
    /// Client calls refused as one connection or the program held too many.
    client_over_limit,
    /// Connections to engines opened.
    engine_connections,
    /// Connections to engines open now.
    engine_connections_open,
    /// Lines of engines that cannot be read.
    engine_malformed,
    /// Connections to the control feed.
    feed_connections,
    /// List events applied.
    feed_events,
    /// Frames of the control feed that cannot be read.
    feed_malformed,
    /// Silences of the control feed.
    feed_timeouts,
    /// Calls taken by the Flight SQL front.
    flight_calls,
    /// Flight SQL calls answered with INVALID_ARGUMENT or UNIMPLEMENTED.
    flight_bad_calls,
    /// Requests open now.
    requests_open,
    /// SNMP requests answered.
    snmp_answered,
    /// SNMP messages dropped: bad community or malformed.
    snmp_dropped,
    /// Configurations read anew and used.
    reloads,
    /// Configurations read anew that cannot be used; the old one stays.
    reloads_rejected,
    /// Client connections that idled and made room for another.
    client_connections_evicted,
    /// Client connections closed as they said nothing, or stopped halfway through a message.
    client_read_timeouts,
    /// Answers of engines to what was not asked, or is over: late, second or unknown.
    engine_unexpected_answers,
    /// Engines known from the list.
    engines,
    /// Listed engines that the module avoids at present, by hand or by choice.
    engines_ejected,
    /// Attempts written whole to engines.
    attempts_written,
    /// Calls at the operations address that were carried out.
    admin_calls,
    /// Calls there that cannot be carried out, or did not come whole in time.
    admin_bad_calls,
    /// Other processes of this workload manager that live: one in an upgrade.
    peer_processes,
    /// States of calls by hand that could not be read or written.
    state_errors,
    /// Attempts given up whose end was proven by their cancellation, or as they were never sent.
    cancellations_confirmed,
    /// Attempts given up whose end nothing proved in its time; their requests ended.
    cancellations_timed_out,
    /// Connections to engines closed as a cancellation was not sent or not confirmed in time.
    cancellations_unconfirmed,
    /// Further attempts that the operators' policy allowed no more, by their number or after that end.
    retries_denied_by_policy,
    /// Further attempts held back as their budget was spent.
    retries_denied_by_budget,
    /// Further attempts that waited out a back-off.
    retries_delayed_by_backoff,
    /// Attempts given up as they had the time that their policy gives one.
    attempt_timeouts,
    /// Attempts that the module would have called off, kept as their policy allows none after them.
    cancellations_denied_by_policy,
    /// Operators' files read and put in force, at the start and at SIGHUP.
    operator_config_loads,
    /// Operators' files turned down; the policy in force stays.
    operator_config_rejected,
    /// Attempts for which there was no descriptor to connect; not counted as attempts.
    attempts_no_connection_slot,
    /// Connections to engines that carried nothing and made room for another.
    engine_connections_evicted,
    /// Engines of the list that wait for a place.
    engines_waiting,
    /// Engines of the list that were skipped as all places were taken.
    engines_without_slot,
    /// Records of the list that end an engine that is not known.
    list_unknown_removals,
    /// Records of the list that the same event follows by another of the same engine.
    list_duplicate_records,
    /// Records of the list that name an engine at the address of another one.
    list_address_conflicts,
    /// Records of the list that name a state, zone or kind that the settings do not know.
    list_unusable_records,
    /// Whole lists that leave out more than half of the engines held.
    list_large_removals,
    /// Requests that their clients mark as a retry.
    client_retries,
    /// Engines of the list that the decision module hears of.
    subset_size,
    /// Zones in which they take work.
    subset_zones,
    /// Workload managers that hold an engine, in the mean.
    subset_managers_per_engine,
    /// Engines that the subset gained.
    subset_engines_added,
    /// Engines that the subset lost.
    subset_engines_removed,
    /// Events of the list after which no engine of the subset took work any more.
    subset_all_unavailable,
    /// Settings with another number of workload managers or another ordinal.
    subset_membership_changes,
    /// Settings whose ordinal is not below the number of workload managers.
    subset_ordinal_out_of_range,
    /// This workload manager's ordinal: no two have the same.
    ordinal,
    /// Requests held back for their key, beside or after another process of this workload manager.
    requests_held_for_order_key,
}

/// Times from the shortest to the longest, in a histogram of fixed size.
pub struct LatencyHistogram(Mutex<Histogram<u32>>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // 1 us to a minute at two digits: some 12 kB.
        let empty = Histogram::new_with_bounds(1, 60_000_000, 2);
        LatencyHistogram(Mutex::new(
            empty.unwrap_or_else(|_| unreachable!("fixed bounds")),
        ))
    }
}

impl fmt::Debug for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl LatencyHistogram {
    /// Takes one time in.
    pub fn record(&self, ms: f64) {
        let us = (ms.clamp(0.0, 60_000.0) * 1000.0) as u64;
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(us.max(1));
    }

    /// How many there are, and in microseconds the one that this share of all do not pass.
    pub fn quantile(&self, share: f64) -> (u64, u64) {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (
            all.len(),
            if all.is_empty() {
                0
            } else {
                all.value_at_quantile(share)
            },
        )
    }
}

impl fmt::Display for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = |share| self.quantile(share).1;
        write!(
            f,
            "n:{},p50_us:{},p99_us:{},max_us:{}",
            self.quantile(1.0).0,
            us(0.5),
            us(0.99),
            us(1.0)
        )
    }
}

/// ClassOutcomes of one class's requests, as their clients were told.
#[derive(Debug, Default)]
pub struct ClassOutcomes {
    /// Served.
    pub passed: Counter,
    /// Refused.
    pub dropped: Counter,
    /// Failed.
    pub bad_gateway: Counter,
}

/// Names of classes kept at most. They come from configurations alone, so this is for an endless row of those.
const CLASSES: usize = 256;

#[derive(Debug, Default)]
struct ByClass(RwLock<Vec<(String, Arc<ClassOutcomes>)>>);

impl Metrics {
    /// The ends of a class; from its first mention on, for as long as the program runs.
    pub fn class(&self, name: &str) -> Arc<ClassOutcomes> {
        let found = |all: &[(String, Arc<ClassOutcomes>)]| {
            all.iter()
                .find(|(n, _)| n == name)
                .map(|(_, ends)| ends.clone())
        };
        if let Some(ends) = found(
            &self
                .by_class
                .0
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        ) {
            return ends;
        }
        let mut all = self
            .by_class
            .0
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(ends) = found(&all) {
            return ends;
        }
        if all.len() >= CLASSES {
            all.remove(0);
        }
        all.push((name.to_owned(), Arc::default()));
        all.last().map(|(_, ends)| ends.clone()).unwrap_or_default()
    }

    /// All classes with what has become of their requests, in the order in which they came.
    pub fn classes(&self) -> Vec<(String, [u64; 3])> {
        let all = self
            .by_class
            .0
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let three = |e: &ClassOutcomes| [e.passed.get(), e.dropped.get(), e.bad_gateway.get()];
        all.iter()
            .map(|(name, ends)| (name.clone(), three(ends)))
            .collect()
    }

    /// The figures that operations read, a line each.
    pub fn figures(&self) -> String {
        let mut text = String::new();
        for (name, [passed, dropped, bad_gateway]) in self.classes() {
            for (what, n) in [
                ("passed", passed),
                ("dropped", dropped),
                ("bad_gateway", bad_gateway),
            ] {
                let _ = writeln!(text, "node.{what}.{name}={n}");
            }
        }
        let all = [
            ("upstream_tries", &self.attempts_written),
            ("in_progress", &self.requests_open),
            ("known_engines", &self.engines),
            ("skipped_engines", &self.engines_ejected),
            ("subset_engines", &self.subset_size),
            ("engine_holders", &self.subset_managers_per_engine),
            ("ordinal", &self.ordinal),
            ("loads", &self.reloads),
            ("load_errors", &self.reloads_rejected),
        ];
        for (what, count) in all {
            let _ = writeln!(text, "node.{what}={}", count.get());
        }
        text
    }
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        self.all()
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={value}"))?;
        write!(f, " cancellation_latency={}", self.cancellation_latency)?;
        self.classes()
            .iter()
            .try_for_each(|(name, [passed, dropped, bad_gateway])| {
                write!(
                    f,
                    " {name}=passed:{passed},dropped:{dropped},bad_gateway:{bad_gateway}"
                )
            })
    }
}
