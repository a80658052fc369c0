//! What the program takes in, sends and answers, counted in one table: printed on SIGUSR1 and at exit, and
//! read by the SNMP agent in the order that stands here.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// One table of counters, shared by all actors of a process.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Count,)* }

        impl Counters {
            /// All counters with their names, in the order of the MIB.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// Those that also go down.
const GAUGES: [&str; 5] = ["engines", "client_conns_open", "client_conns_owing", "engine_conns_open", "open"];

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
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        self.all().iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}
