//! The table of limits. Each has its unit in its type, name or description, and its value beside it.

use super::basis::{Basis, PAGE_BYTES, RECORD_BYTES, REFERENCES_PER_CONNECTION, duration_of_ms};
use crate::settings_json::PlatformSettings;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Defines [`Limits`] with the value of each limit beside its description.
macro_rules! limits {
    ($basis:ident; $($(#[$doc:meta])* $name:ident: $kind:ty = $value:expr;)*) => {
        /// The limits of one running workload manager.
        #[derive(Clone, Debug)]
        pub struct Limits {
            $($(#[$doc])* pub $name: $kind,)*
            /// Whether a peer process lives: what both share is divided between them.
            pub(super) has_peer_process: Arc<AtomicBool>,
        }

        impl Limits {
            /// The limits for a machine with so many descriptors and so much memory, under these settings. All that
            /// holds bytes fits the memory together, and all that holds descriptors fits these: the test of this
            /// module proves it. `progress_reports`: whether engines send them.
            #[must_use]
            pub fn new(
                sockets: usize,
                memory_mb: usize,
                progress_reports: bool,
                platform: &PlatformSettings,
            ) -> Limits {
                let $basis = Basis { sockets, memory_mb, progress_reports, platform };
                Limits {
                    $($name: $value,)*
                    has_peer_process: Arc::default(),
                }
            }
        }
    };
}

limits! {
    basis;

    // Requests and clients.

    /// Bytes of one client message, head and body.
    message_bytes: usize = 64 * KIB;
    /// Nesting of one MessagePack message.
    message_depth: usize = 8;
    /// Fields read of one map.
    message_fields: usize = 64;
    /// Largest estimate of work in ms, or of memory in MB, that a client may name.
    max_estimate: f64 = 1e8;
    /// Most memory granted to one query, in MB; from the settings.
    memory_grant_mb: f64 = basis.platform.max_memory_grant_mb;
    /// Bytes of an idempotency key.
    key_bytes: usize = 256;
    /// Open requests on one client connection.
    open_requests_per_client: usize = 32;
    /// Client connections. For another one an idle one is evicted, or it waits in the listener's backlog.
    client_connections: usize = basis.client_connections();
    /// Requests open at once; the settings may ask for fewer.
    open_requests: usize = basis.platform.max_open_requests.min(4096);
    /// Bytes of half-read messages of all clients.
    input_bytes: usize = basis.memory_fraction(10);
    /// Bytes of answers that all clients have yet to read.
    output_bytes: usize = basis.memory_fraction(10);
    /// Bytes of the statements of all open requests.
    open_statement_bytes: usize = basis.memory_fraction(10);
    /// A client connection that sends no first call, or stops inside one, is closed after this time.
    client_read_timeout: Duration = Duration::from_millis(2000);
    /// The same while another connection waits for its descriptor.
    evicted_client_read_timeout: Duration = Duration::from_millis(250);
    /// Invalid calls on one connection until it is closed.
    client_bad_calls: usize = 64;
    /// An idle client connection is closed after this time; clients close theirs sooner.
    client_idle_timeout: Duration = Duration::from_secs(30);
    /// Wait for the peer's end of a connection that this side has closed for writing.
    linger: Duration = Duration::from_millis(100);
    /// The same for an evicted client connection: others wait for its descriptor.
    evicted_linger: Duration = Duration::from_millis(10);

    // Results.

    /// Bytes of incomplete results, of all engines.
    partial_result_bytes: usize = basis.memory_fraction(10);
    /// Bytes of a complete result.
    result_bytes: usize = 48_000;
    /// Bytes of one line of an engine, without its payload.
    line_bytes: usize = 4 * KIB;
    /// Bytes of one page of a result.
    page_bytes: usize = PAGE_BYTES;
    /// Pages of one result.
    pages_per_result: usize = 256;
    /// Wait for a page of a result: an engine silent between pages for longer is given up.
    page_timeout: Duration = Duration::from_millis(2000);
    /// Wait for the rest of an engine's answer that has begun.
    partial_answer_timeout: Duration = Duration::from_millis(1500);
    /// Answers on a connection since the last that ended an attempt; past that it is closed. The progress reports of
    /// the longest query stay far below.
    uneventful_answers: usize = 16_384;
    /// An unexpected answer counts as this many of them.
    unexpected_answer_weight: usize = 128;

    // Connections to engines.

    /// Attempts on one engine connection; from the settings.
    attempts_per_connection: usize = basis.platform.attempts_per_connection;
    /// Attempts that share a connection while there are descriptors for another.
    shared_attempts_per_connection: usize = 4;
    /// An answer this recent, in ms, proves a connection good for non-idempotent requests.
    recent_answer_ms: f64 = 40.0;
    /// A connection with attempts in flight that is silent for this long, in ms, gets no new ones.
    connection_silent_ms: f64 = basis.silence_limit_ms(3.0, 1000.0);
    /// Connections to all engines; past it one more is only for an engine that has none.
    engine_connections: usize = (basis.sockets / 4).min(basis.engine_connections() * 2 / 3);
    /// Connections reserved for engines that have none, past the bound of all.
    engine_connections_reserved: usize = (basis.sockets / 8).min(basis.engine_connections() / 3);
    /// Attempts that one connection is given in all: it carries no reference twice, and keeps them to know.
    references_per_connection: usize = REFERENCES_PER_CONNECTION;
    /// Connections in a row that may be lost before their first answer and return their unsent attempts.
    consecutive_failed_connections: usize = 3;
    /// Connections to one engine.
    connections_per_engine: usize = (basis.sockets / 12).clamp(1, 24);
    /// A connection that is not up by then has failed; from the settings.
    engine_connect_timeout: Duration = duration_of_ms(basis.platform.connect_timeout_ms);
    /// An idle engine connection is closed after this part of the engine's own time-out: no request crosses its close.
    engine_idle_timeout: Duration = duration_of_ms(basis.platform.engine_idle_timeout_ms * 0.6);
    /// A removed engine has this long to reset its connections before they are closed here.
    removed_engine_grace: Duration = Duration::from_millis(500);

    // Attempts.

    /// An open attempt is given up and its request answered this long before the client's deadline, in ms.
    answer_margin_ms: f64 = 10.0;
    /// From the cancellation of an attempt to its last byte written; past it the connection is closed.
    cancellation_write_timeout: Duration = Duration::from_millis(250);
    /// The same to the engine's confirmation, where a retry may follow: longer than engines are known to pause.
    cancellation_confirm_timeout: Duration = Duration::from_millis(400);
    /// An unconfirmed cancellation is sent again at this interval, in ms.
    cancellation_resend_ms: f64 = 50.0;
    /// A request whose cancellation is not confirmed for this long, in ms, ends.
    cancellation_timeout_ms: f64 = 2000.0;
    /// An idempotent request's attempt whose engine is silent for this long, in ms, is given up.
    attempt_silence_ms: f64 = basis.silence_limit_ms(6.0, 3000.0);

    // The endpoint list and its feed.

    /// Engines known from the list, draining ones included. It follows memory: a listed engine holds no descriptor.
    engines: usize = basis.engines();
    /// Engines of the longest list that the dispatcher gets completely; of a longer one it gets a subset. The cost of a
    /// decision grows with the engines known to it: `docs/subsets.md` has the figures.
    subset_engines: usize = 512;
    /// Messages in an actor's mailbox.
    mailbox_messages: usize = 1024;
    /// Bytes of one frame of the feed: four times the longest list.
    feed_frame_bytes: usize = (4 * basis.engines() * RECORD_BYTES).max(256 * KIB);
    /// Silence of the feed that counts as a fault; it sends a heartbeat each second.
    feed_read_timeout: Duration = Duration::from_millis(2500);
    /// A feed that accepts no connection by then is connected to anew.
    feed_connect_timeout: Duration = Duration::from_millis(500);
    /// First and longest wait before connecting to the feed anew.
    feed_reconnect_backoff: (Duration, Duration) =
        (Duration::from_millis(50), Duration::from_millis(500));

    // The Flight SQL front end and Flight engines.

    /// Connections to the Flight SQL front end; more wait in the backlog.
    flight_connections: usize = basis.sockets / 16;
    /// Tickets that the front end keeps; past it the oldest are forgotten.
    flight_tickets: usize = 1024;
    /// Bytes of the statements of these tickets; past it the oldest are forgotten.
    flight_ticket_bytes: usize = basis.memory_fraction(16);
    /// Bytes of one Flight message of an engine.
    flight_message_bytes: usize = basis.memory_fraction(16).min(4 * MIB);
    /// Bytes of a Flight result that are buffered to answer it completely; a larger one is streamed.
    flight_buffered_bytes: usize = 64 * KIB;
    /// Chunks of a streamed result between an engine and its client.
    flight_chunks: usize = 8;
    /// Interval and time-out of the pings that detect a dead connection to a Flight engine.
    flight_keep_alive: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(2));

    // Shutdown and hot restart.

    /// Bytes of the stored state that a successor process reads.
    state_bytes: u64 = (basis.engines() * 64).max(64 * KIB) as u64;
    /// Interval at which the stored state is read: well within an engine's time to drain.
    state_poll_interval: Duration = Duration::from_millis(50);
    /// Attempts to take the lock on the stored state.
    state_lock_attempts: usize = 20;
    /// Wait between these attempts.
    state_lock_retry_delay: Duration = Duration::from_millis(5);
    /// Longest wait for a manual ejection to be stored.
    state_write_timeout: Duration = Duration::from_millis(300);
    /// For this long the end of a manual ejection stays in the stored state.
    state_retention: Duration = Duration::from_secs(120);
    /// After SIGTERM no deadline counts as longer than the first time; the platform kills the process 0.7 s after it,
    /// which the second time is, less a reserve for the last answers. A hot restart gives no more time.
    planned_shutdown: (Duration, Duration) =
        (Duration::from_secs(3), Duration::from_millis(500));
    /// A successor process waits this long at most for the first event of the feed.
    first_feed_event_timeout: Duration = Duration::from_millis(1200);
    /// After SIGTERM new requests are accepted for this long at most.
    shutdown_accept_window: Duration = Duration::from_millis(1000);

    // The admin address and the SNMP agent.

    /// Connections to the admin address; descriptors are reserved for them.
    admin_connections: usize = basis.admin_connections();
    /// Bytes of one command there.
    admin_line_bytes: usize = 256;
    /// From the connection to the end of its answer.
    admin_call_timeout: Duration = Duration::from_secs(5);
    /// Wait after a connection could not be accepted.
    admin_accept_retry_delay: Duration = Duration::from_millis(10);
    /// Bytes of one SNMP message: what fits an Ethernet frame.
    snmp_bytes: usize = 1472;
    /// Variables in the answer to a GETBULK.
    snmp_variables: usize = 24;
}
