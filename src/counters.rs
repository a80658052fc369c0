//! What the program takes in, sends and answers, counted in one table where it happens: printed on SIGUSR1 and at
//! exit, told at the operations address, and read by the SNMP agent in the order that stands here.

use hdrhistogram::Histogram;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// One table of counters, shared by all actors of a process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// From giving an attempt up to the proof of its end.
            pub proofs: Spans,
            by_class: ByClass,
        }

        impl Counters {
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
    "client_conns_open",
    "client_conns_owing",
    "engine_conns_open",
    "open",
    "engines_skipped",
    "beside",
    "subset_size",
    "subset_zones",
    "subset_holders",
    "ordinal",
];

/// Whether a name is a gauge's and not a counter's.
pub fn is_gauge(name: &str) -> bool {
    GAUGES.contains(&name)
}

/// One counter, or a gauge where it also goes down.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub fn up(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds so many.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }

    /// Takes one off: for gauges.
    pub fn down(&self) {
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

counters! {
    /// Requests taken from clients.
    taken,
    /// Final answers: served.
    served,
    /// Final answers: refused.
    refused,
    /// Final answers: failed.
    failed,
    /// Requests whose client left first.
    left,
    /// Attempts sent to engines.
    sent,
    /// Attempts that ended well.
    ended_ok,
    /// Attempts that ended with the engine's error.
    ended_error,
    /// Attempts that an engine turned away.
    ended_full,
    /// Attempts that were not answered in time.
    ended_timeout,
    /// Attempts for which no connection was had.
    ended_no_connection,
    /// Attempts whose connection broke.
    ended_reset,
    /// Attempts that were called off.
    ended_cancelled,
    /// Attempts that were never sent.
    ended_moot,
    /// Sends that a guard of the core stopped.
    guarded,
    /// Notes of progress read.
    notes,
    /// Pages of results asked for.
    pages,
    /// Client connections accepted.
    client_conns,
    /// Client connections open now.
    client_conns_open,
    /// Client connections that still owe an answer or a part of one.
    client_conns_owing,
    /// Client connections closed for input that cannot be read.
    client_malformed,
    /// Client calls answered with an error for what they lack or name.
    client_bad_calls,
    /// Client calls refused as one connection or the program held too many.
    client_over_limit,
    /// Connections to engines opened.
    engine_conns,
    /// Connections to engines open now.
    engine_conns_open,
    /// Lines of engines that cannot be read.
    engine_malformed,
    /// Connections to the control feed.
    feed_conns,
    /// List events applied.
    feed_events,
    /// Frames of the control feed that cannot be read.
    feed_malformed,
    /// Silences of the control feed.
    feed_silences,
    /// Calls taken by the Flight SQL front.
    flight_calls,
    /// Flight SQL calls answered with INVALID_ARGUMENT or UNIMPLEMENTED.
    flight_bad_calls,
    /// Requests open now.
    open,
    /// SNMP requests answered.
    snmp_answered,
    /// SNMP messages dropped: bad community or malformed.
    snmp_dropped,
    /// Configurations read anew and used.
    reloads,
    /// Configurations read anew that cannot be used; the old one stays.
    reloads_bad,
    /// Client connections that idled and made room for another.
    client_evicted,
    /// Client connections closed as they said nothing, or stopped halfway through a message.
    client_silent,
    /// Answers of engines to what was not asked, or is over: late, second or unknown.
    engine_unasked,
    /// Engines known from the list.
    engines,
    /// Listed engines that the module avoids at present, by hand or by choice.
    engines_skipped,
    /// Attempts written whole to engines.
    written,
    /// Calls at the operations address that were carried out.
    ops_calls,
    /// Calls there that cannot be carried out, or did not come whole in time.
    ops_bad_calls,
    /// Other processes of this workload manager that live: one in an upgrade.
    beside,
    /// States of calls by hand that could not be read or written.
    states_bad,
    /// Attempts given up whose end was proven by their cancellation, or as they were never sent.
    given_up,
    /// Attempts given up whose end nothing proved in its time; their requests ended.
    unproven,
    /// Connections to engines closed as a cancellation was not sent or not confirmed in time.
    quits_stuck,
    /// Further attempts that the operators' policy allowed no more, by their number or after that end.
    policy_ended,
    /// Further attempts held back as their budget was spent.
    budget_held,
    /// Further attempts that waited out a back-off.
    backed_off,
    /// Attempts given up as they had the time that their policy gives one.
    attempt_timeouts,
    /// Attempts that the module would have called off, kept as their policy allows none after them.
    policy_kept,
    /// Operators' files read and put in force, at the start and at SIGHUP.
    file_loads,
    /// Operators' files turned down; the policy in force stays.
    file_refused,
    /// Attempts for which there was no descriptor to connect; not counted as attempts.
    ended_no_room,
    /// Connections to engines that carried nothing and made room for another.
    engine_evicted,
    /// Engines of the list that wait for a place.
    engines_waiting,
    /// Engines of the list that were skipped as all places were taken.
    engines_passed,
    /// Records of the list that end an engine that is not known.
    list_unknown,
    /// Records of the list that the same event follows by another of the same engine.
    list_repeated,
    /// Records of the list that name an engine at the address of another one.
    list_shared,
    /// Records of the list that name a state, zone or kind that the settings do not know.
    list_unusable,
    /// Whole lists that leave out more than half of the engines held.
    list_cut,
    /// Requests that their clients mark as a retry.
    client_retries,
    /// Engines of the list that the decision module hears of.
    subset_size,
    /// Zones in which they take work.
    subset_zones,
    /// Workload managers that hold an engine, in the mean.
    subset_holders,
    /// Engines that the subset gained.
    subset_joined,
    /// Engines that the subset lost.
    subset_left,
    /// Events of the list after which no engine of the subset took work any more.
    subset_lost,
    /// Settings with another number of workload managers or another ordinal.
    subset_recast,
    /// Settings whose ordinal is not below the number of workload managers.
    subset_ordinal_over,
    /// This workload manager's ordinal: no two have the same.
    ordinal,
    /// Requests held back for their key, beside or after another process of this workload manager.
    order_held,
}

/// Times from the shortest to the longest, in a histogram of fixed size.
pub struct Spans(Mutex<Histogram<u32>>);

impl Default for Spans {
    fn default() -> Self {
        // 1 us to a minute at two digits: some 12 kB.
        let empty = Histogram::new_with_bounds(1, 60_000_000, 2);
        Spans(Mutex::new(
            empty.unwrap_or_else(|_| unreachable!("fixed bounds")),
        ))
    }
}

impl fmt::Debug for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Spans {
    /// Takes one time in.
    pub fn see(&self, ms: f64) {
        let us = (ms.clamp(0.0, 60_000.0) * 1000.0) as u64;
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(us.max(1));
    }

    /// How many there are, and in microseconds the one that this share of all do not pass.
    pub fn at(&self, share: f64) -> (u64, u64) {
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

impl fmt::Display for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = |share| self.at(share).1;
        write!(
            f,
            "n:{},p50_us:{},p99_us:{},max_us:{}",
            self.at(1.0).0,
            us(0.5),
            us(0.99),
            us(1.0)
        )
    }
}

/// Ends of one class's requests, as their clients were told.
#[derive(Debug, Default)]
pub struct Ends {
    /// Served.
    pub passed: Count,
    /// Refused.
    pub dropped: Count,
    /// Failed.
    pub bad_gateway: Count,
}

/// Names of classes kept at most. They come from configurations alone, so this is for an endless row of those.
const CLASSES: usize = 256;

#[derive(Debug, Default)]
struct ByClass(RwLock<Vec<(String, Arc<Ends>)>>);

impl Counters {
    /// The ends of a class; from its first mention on, for as long as the program runs.
    pub fn class(&self, name: &str) -> Arc<Ends> {
        let found = |all: &[(String, Arc<Ends>)]| {
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
        let three = |e: &Ends| [e.passed.get(), e.dropped.get(), e.bad_gateway.get()];
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
            ("upstream_tries", &self.written),
            ("in_progress", &self.open),
            ("known_engines", &self.engines),
            ("skipped_engines", &self.engines_skipped),
            ("subset_engines", &self.subset_size),
            ("engine_holders", &self.subset_holders),
            ("ordinal", &self.ordinal),
            ("loads", &self.reloads),
            ("load_errors", &self.reloads_bad),
        ];
        for (what, count) in all {
            let _ = writeln!(text, "node.{what}={}", count.get());
        }
        text
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        self.all()
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={value}"))?;
        write!(f, " proofs={}", self.proofs)?;
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
