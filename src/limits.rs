//! Every limit on sizes, counts and times, filled once at start and handed down. Queues, buffers and
//! connections are bounded by it, so that what the program may hold can be read off in one place.

use crate::settings_json::PlatformSettings;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// The limits of one running workload manager.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of one client message, head and body.
    pub message_bytes: usize,
    /// Nesting of one MessagePack message.
    pub message_depth: usize,
    /// Fields read of one map.
    pub message_fields: usize,
    /// Largest estimate of work in ms or memory in MB that a client may name.
    pub max_estimate: f64,
    /// Most memory granted to one query, in MB.
    pub grant_mb: f64,
    /// Bytes of an idempotency key.
    pub key_bytes: usize,
    /// Open requests on one client connection.
    pub open_requests_per_client: usize,
    /// Client connections; for more an idle one makes room, or they wait in the listener's backlog.
    pub client_connections: usize,
    /// Requests open at once.
    pub open_requests: usize,
    /// Bytes of half-read messages of all clients.
    pub input_bytes: usize,
    /// Bytes of answers that all clients have yet to take.
    pub output_bytes: usize,
    /// Bytes of results that are not whole yet, of all engines.
    pub partial_result_bytes: usize,
    /// Bytes of the statements of all open requests.
    pub open_statement_bytes: usize,
    /// Bytes of a whole result.
    pub result_bytes: usize,
    /// Bytes of one line of an engine, without its payload.
    pub line_bytes: usize,
    /// Bytes of one page of a result.
    pub page_bytes: usize,
    /// Pages of one result.
    pub pages_per_result: usize,
    /// Attempts on one engine connection.
    pub attempts_per_connection: usize,
    /// Attempts that share a connection while there are descriptors for more of them.
    pub shared_attempts_per_connection: usize,
    /// An answer this recent, in ms, proves that its connection is good for what may run once only.
    pub connection_proven_ms: f64,
    /// A connection that carries attempts and says nothing for this long, in ms, carries no new ones.
    pub connection_silent_ms: f64,
    /// Connections to all engines, past which one more is for an engine that has none.
    pub engine_connections: usize,
    /// Connections kept for engines that have none, past the bound of all.
    pub engine_connections_reserved: usize,
    /// Connections in a row that may break before they had an answer, and give back what they were never sent.
    pub returned_connections: usize,
    /// Connections to one engine.
    pub connections_per_engine: usize,
    /// Engines held from the list, those that drain among them. It follows memory, as being listed holds no
    /// descriptor.
    pub engines: usize,
    /// Engines of the longest list that the decision module hears of whole; of a longer one it hears of a subset. It
    /// follows the cost of a decision, which is in proportion to the engines heard of: `docs/subsets.md` has the figures.
    pub subset_engines: usize,
    /// Messages in an actor's mailbox.
    pub mailbox_messages: usize,
    /// Connections to the Flight SQL front; more wait in the backlog.
    pub flight_connections: usize,
    /// Tickets that the Flight SQL front keeps, and bytes of their statements; past that the oldest are forgotten.
    pub flight_tickets: usize,
    /// See `tickets`.
    pub flight_ticket_bytes: usize,
    /// Bytes of one Flight message of an engine.
    pub flight_message_bytes: usize,
    /// Bytes of a Flight result that are held back to answer it whole; a larger one streams.
    pub flight_buffered_bytes: usize,
    /// Pieces of a streaming result between an engine and its client.
    pub flight_chunks: usize,
    /// Interval and patience of the pings that tell a Flight engine's connection from a dead one.
    pub flight_keep_alive: (Duration, Duration),
    /// Bytes of the state that a successor takes over.
    pub state_bytes: u64,
    /// Interval at which it is looked at: well within the grace on drains.
    pub state_poll_interval: Duration,
    /// Tries for a lock that the other process holds, and the wait between them.
    pub state_lock_attempts: usize,
    /// See `state_tries`.
    pub state_lock_retry_delay: Duration,
    /// Longest wait for a word to be written down.
    pub state_write_timeout: Duration,
    /// For so long an engine that was given back is told to a successor.
    pub state_retention: Duration,
    /// After SIGTERM the longest deadline counts as no longer than the first; and so much later, less a reserve for the
    /// last answers, the process is killed. Where the platform holds the listening socket.
    pub handover_shutdown: (Duration, Duration),
    /// The same where it does not (PROTOCOL: 3 s, and 0.7 s more).
    pub planned_shutdown: (Duration, Duration),
    /// A successor waits so long at most for the control feed to speak.
    pub first_feed_event_timeout: Duration,
    /// Another process of this workload manager lives: what both share is halved.
    both: Arc<AtomicBool>,
    /// Wait for the peer's end of a connection whose own is over.
    pub linger: Duration,
    /// The same for an idle client connection that makes room: others wait for its descriptor.
    pub evicted_linger: Duration,
    /// Callers at the operations address at once; descriptors are kept for them.
    pub admin_connections: usize,
    /// Bytes of one call there.
    pub admin_line_bytes: usize,
    /// From a caller's connecting to the end of its call.
    pub admin_call_timeout: Duration,
    /// Wait after a caller could not be accepted.
    pub admin_accept_retry_delay: Duration,
    /// Bytes of one SNMP message.
    pub snmp_bytes: usize,
    /// Variables in one SNMP answer.
    pub snmp_variables: usize,
    /// Bytes of one frame of the control feed.
    pub feed_frame_bytes: usize,
    /// A connection not up by then has failed.
    pub engine_connect_timeout: Duration,
    /// Own close of an idle engine connection, well before the engine's: a request never crosses one.
    pub engine_idle_timeout: Duration,
    /// Own close of a client connection that has not begun with a call, or stops halfway through one.
    pub client_read_timeout: Duration,
    /// The same where another connection waits for its place.
    pub evicted_client_read_timeout: Duration,
    /// Calls that are no use on one connection until it is closed.
    pub client_bad_calls: usize,
    /// Own close of an idle client connection; clients close theirs sooner.
    pub client_idle_timeout: Duration,
    /// Wait for the rest of an answer of an engine that has begun.
    pub partial_answer_timeout: Duration,
    /// Answers on a connection that say nothing of an attempt's end, since the last that did: past that it is closed. Notes
    /// of the longest query stay far below.
    pub uneventful_answers: usize,
    /// As many of them counts one that nothing asked for.
    pub unexpected_answer_weight: usize,
    /// Wait for a page of a result: an engine that fell silent between pages is given up.
    pub page_timeout: Duration,
    /// An engine told gone is given this long to reset its connections before they are cut.
    pub removed_engine_grace: Duration,
    /// Silence of the control feed that counts as a fault; it speaks each second.
    pub feed_read_timeout: Duration,
    /// A feed that accepts no connection by then is tried anew.
    pub feed_connect_timeout: Duration,
    /// First and longest wait before connecting to the feed anew.
    pub feed_reconnect_backoff: (Duration, Duration),
    /// After SIGTERM new requests keep coming for this long at most.
    pub shutdown_accept_window: Duration,
    /// Before a client's deadline, in ms, at which an open attempt is given up and answered.
    pub answer_margin_ms: f64,
    /// From giving an attempt up to the last byte of the word for that: a peer that takes it no sooner has its
    /// connection closed.
    pub cancellation_write_timeout: Duration,
    /// The same to the engine's word that it has read it, where another attempt may follow: longer than engines are
    /// known to stand still.
    pub cancellation_confirm_timeout: Duration,
    /// The word is given again while nothing proves the end, at this interval in ms.
    pub cancellation_resend_ms: f64,
    /// And without a proof for this long, in ms, the request ends.
    pub cancellation_timeout_ms: f64,
    /// An attempt on a repeatable class whose engine said nothing for this long, in ms, is given up.
    pub attempt_silence_ms: f64,
}

/// What a listed engine without connections takes, in bytes: its entries in the module, the roster and the fleet, and
/// its part of a whole list that is being taken in. Measured on the whole program with 1,024 to 28,700 listed engines:
/// 1,211 at most, just after a table has grown.
const ENGINE_BYTES: usize = 1216;

/// What the program takes beside all that follows memory, with a reserve: its text and its own state, twice in an
/// upgrade.
const PROGRAM_BYTES: usize = 8 << 20;

/// Share of the rest that the engines of the list may take: one in so many.
const ENGINES_PART: usize = 8;

/// What a connection to an engine takes at most: two pages read, one written, and its own state.
const fn conn_bytes(page_bytes: usize) -> usize {
    3 * page_bytes + 4096
}

/// Bytes of one record of the control feed.
const RECORD_BYTES: usize = 27;

impl Limits {
    /// The limits for a machine with so many descriptors and so much memory, under these settings. All that holds
    /// bytes fits the memory together, and all that holds a descriptor the descriptors: see the test below. Where engines send no notes,
    /// silence tells nothing.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn new(sockets: usize, memory_mb: usize, notes: bool, parsed: &PlatformSettings) -> Limits {
        let millis = |ms: f64| Duration::from_micros((ms.clamp(0.0, 3_600_000.0) * 1000.0) as u64);
        let progress = parsed.settings.progress_interval_ms;
        let part = |of: usize| (memory_mb << 20) / of;
        let ops_callers = (sockets / 16).clamp(4, 32);
        let page_bytes = 6_000;
        let engines = (memory_mb << 20).saturating_sub(PROGRAM_BYTES) / ENGINES_PART / ENGINE_BYTES;
        // Of connections to engines, all that the memory holds.
        let conns = part(9) / conn_bytes(page_bytes);
        Limits {
            message_bytes: 64 * 1024,
            message_depth: 8,
            message_fields: 64,
            max_estimate: 1e8,
            grant_mb: parsed.max_memory_grant_mb,
            key_bytes: 256,
            open_requests_per_client: 32,
            client_connections: sockets / 2 - 15 - ops_callers,
            open_requests: parsed.max_open_requests.min(4096),
            input_bytes: part(10),
            output_bytes: part(10),
            partial_result_bytes: part(10),
            open_statement_bytes: part(10),
            result_bytes: 48_000,
            line_bytes: 4096,
            page_bytes,
            pages_per_result: 256,
            attempts_per_connection: parsed.attempts_per_connection,
            shared_attempts_per_connection: 4,
            returned_connections: 3,
            connection_proven_ms: 40.0,
            connection_silent_ms: if notes && progress > 0.0 {
                (progress * 3.0).max(1000.0)
            } else {
                f64::INFINITY
            },
            engine_connections: (sockets / 4).min(conns * 2 / 3),
            engine_connections_reserved: (sockets / 8).min(conns / 3),
            connections_per_engine: (sockets / 12).clamp(1, 24),
            engines,
            subset_engines: 512,
            mailbox_messages: 1024,
            flight_connections: sockets / 16,
            flight_tickets: 1024,
            flight_ticket_bytes: part(16),
            flight_message_bytes: part(16).min(4 << 20),
            flight_buffered_bytes: 64 * 1024,
            flight_chunks: 8,
            flight_keep_alive: (Duration::from_secs(2), Duration::from_secs(2)),
            state_bytes: (engines * 64).max(64 * 1024) as u64,
            state_poll_interval: Duration::from_millis(50),
            state_lock_attempts: 20,
            state_lock_retry_delay: Duration::from_millis(5),
            state_write_timeout: Duration::from_millis(300),
            state_retention: Duration::from_secs(120),
            handover_shutdown: (Duration::from_secs(5), Duration::from_millis(450)),
            planned_shutdown: (Duration::from_secs(3), Duration::from_millis(500)),
            first_feed_event_timeout: Duration::from_millis(1200),
            both: Arc::default(),
            linger: Duration::from_millis(100),
            evicted_linger: Duration::from_millis(10),
            admin_connections: ops_callers,
            admin_line_bytes: 256,
            admin_call_timeout: Duration::from_secs(5),
            admin_accept_retry_delay: Duration::from_millis(10),
            snmp_bytes: 1472,
            snmp_variables: 24,
            feed_frame_bytes: (4 * engines * RECORD_BYTES).max(256 << 10),
            engine_connect_timeout: millis(parsed.connect_timeout_ms),
            engine_idle_timeout: millis(parsed.engine_idle_timeout_ms * 0.6),
            client_read_timeout: Duration::from_millis(2000),
            evicted_client_read_timeout: Duration::from_millis(250),
            client_bad_calls: 64,
            client_idle_timeout: Duration::from_secs(30),
            partial_answer_timeout: Duration::from_millis(1500),
            uneventful_answers: 16_384,
            unexpected_answer_weight: 128,
            page_timeout: Duration::from_millis(2000),
            removed_engine_grace: Duration::from_millis(500),
            feed_read_timeout: Duration::from_millis(2500),
            feed_connect_timeout: Duration::from_millis(500),
            feed_reconnect_backoff: (Duration::from_millis(50), Duration::from_millis(500)),
            shutdown_accept_window: Duration::from_millis(1000),
            answer_margin_ms: 10.0,
            cancellation_write_timeout: Duration::from_millis(250),
            cancellation_confirm_timeout: Duration::from_millis(400),
            cancellation_resend_ms: 50.0,
            cancellation_timeout_ms: 2000.0,
            attempt_silence_ms: if notes && progress > 0.0 {
                (progress * 6.0).max(3000.0)
            } else {
                f64::INFINITY
            },
        }
    }
}

impl Limits {
    /// What this process may have of something that is bounded for the whole workload manager. Beside another
    /// process that is a little under half, as neither gives the descriptors of the program itself up.
    pub(crate) fn share(&self, whole: usize) -> usize {
        if self.both.load(Ordering::Relaxed) {
            whole * 2 / 5
        } else {
            whole
        }
    }

    /// Says whether another process lives; returns what held before.
    pub(crate) fn set_both(&self, both: bool) -> bool {
        self.both.swap(both, Ordering::Relaxed)
    }
}

/// Bytes that many actors reserve from together.
#[derive(Debug, Default)]
pub(crate) struct MemoryPool(AtomicUsize);

/// The bytes that one of them has reserved; they go back once this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl MemoryReservation {
    pub(crate) fn new(pool: &Arc<MemoryPool>) -> MemoryReservation {
        MemoryReservation {
            pool: pool.clone(),
            bytes: 0,
        }
    }

    /// Holds so many bytes from now on; false where all together hold more than `most`.
    pub(crate) fn set(&mut self, bytes: usize, most: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let all = self.pool.0.fetch_add(bytes, Ordering::Relaxed) + bytes - before;
        self.pool.0.fetch_sub(before, Ordering::Relaxed);
        all <= most || bytes <= before
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.pool.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
