//! Every limit on sizes, counts and times, filled once at start and handed down. Queues, buffers and
//! connections are bounded by it, so that what the program may hold can be read off in one place.

use crate::settings::Parsed;
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
    pub estimate: f64,
    /// Most memory granted to one query, in MB.
    pub grant_mb: f64,
    /// Bytes of an idempotency key.
    pub key_bytes: usize,
    /// Open requests on one client connection.
    pub open_per_client: usize,
    /// Client connections; for more an idle one makes room, or they wait in the listener's backlog.
    pub client_conns: usize,
    /// Requests open at once.
    pub open: usize,
    /// Bytes of half-read messages of all clients.
    pub input_bytes: usize,
    /// Bytes of answers that all clients have yet to take.
    pub output_bytes: usize,
    /// Bytes of results that are not whole yet, of all engines.
    pub held_bytes: usize,
    /// Bytes of the statements of all open requests.
    pub open_bytes: usize,
    /// Bytes of a whole result.
    pub answer_bytes: usize,
    /// Bytes of one line of an engine, without its payload.
    pub line_bytes: usize,
    /// Bytes of one page of a result.
    pub page_bytes: usize,
    /// Pages of one result.
    pub pages: usize,
    /// Attempts on one engine connection.
    pub streams_per_conn: usize,
    /// Attempts that share a connection while there are descriptors for more of them.
    pub streams_shared: usize,
    /// An answer this recent, in ms, proves that its connection is good for what may run once only.
    pub conn_proven_ms: f64,
    /// A connection that carries attempts and says nothing for this long, in ms, carries no new ones.
    pub conn_mute_ms: f64,
    /// Connections to all engines, past which one more is for an engine that has none.
    pub engine_conns: usize,
    /// Connections kept for engines that have none, past the bound of all.
    pub engine_conns_kept: usize,
    /// Connections in a row that may break before they had an answer, and give back what they were never sent.
    pub give_backs: usize,
    /// Connections to one engine.
    pub conns_per_engine: usize,
    /// Engines held from the list, those that drain among them. It follows memory, as being listed holds no
    /// descriptor.
    pub engines: usize,
    /// Engines of the longest list that the decision module hears of whole; of a longer one it hears of a subset. It
    /// follows the cost of a decision, which is in proportion to the engines heard of: `docs/subsets.md` has the figures.
    pub subset: usize,
    /// Messages in an actor's mailbox.
    pub mailbox: usize,
    /// Connections to the Flight SQL front; more wait in the backlog.
    pub flight_conns: usize,
    /// Tickets that the Flight SQL front keeps, and bytes of their statements; past that the oldest are forgotten.
    pub tickets: usize,
    /// See `tickets`.
    pub ticket_bytes: usize,
    /// Bytes of one Flight message of an engine.
    pub flight_message_bytes: usize,
    /// Bytes of a Flight result that are held back to answer it whole; a larger one streams.
    pub flight_held_bytes: usize,
    /// Pieces of a streaming result between an engine and its client.
    pub flight_pieces: usize,
    /// Interval and patience of the pings that tell a Flight engine's connection from a dead one.
    pub keep_alive: (Duration, Duration),
    /// Bytes of the state that a successor takes over.
    pub state_bytes: u64,
    /// Interval at which it is looked at: well within the grace on drains.
    pub state_look: Duration,
    /// Tries for a lock that the other process holds, and the wait between them.
    pub state_tries: usize,
    /// See `state_tries`.
    pub state_wait: Duration,
    /// Longest wait for a word to be written down.
    pub state_patience: Duration,
    /// For so long an engine that was given back is told to a successor.
    pub state_kept: Duration,
    /// After SIGTERM the longest deadline counts as no longer than the first; and so much later, less a reserve for the
    /// last answers, the process is killed. Where the platform holds the listening socket.
    pub handed_end: (Duration, Duration),
    /// The same where it does not (PROTOCOL: 3 s, and 0.7 s more).
    pub planned_end: (Duration, Duration),
    /// A successor waits so long at most for the control feed to speak.
    pub feed_first: Duration,
    /// Another process of this workload manager lives: what both share is halved.
    both: Arc<AtomicBool>,
    /// Wait for the peer's end of a connection whose own is over.
    pub linger: Duration,
    /// The same for an idle client connection that makes room: others wait for its descriptor.
    pub linger_evicted: Duration,
    /// Callers at the operations address at once; descriptors are kept for them.
    pub ops_callers: usize,
    /// Bytes of one call there.
    pub ops_line: usize,
    /// From a caller's connecting to the end of its call.
    pub ops_call: Duration,
    /// Wait after a caller could not be accepted.
    pub ops_pause: Duration,
    /// Bytes of one SNMP message.
    pub snmp_bytes: usize,
    /// Variables in one SNMP answer.
    pub snmp_variables: usize,
    /// Bytes of one frame of the control feed.
    pub frame_bytes: usize,
    /// A connection not up by then has failed.
    pub connect: Duration,
    /// Own close of an idle engine connection, well before the engine's: a request never crosses one.
    pub engine_idle: Duration,
    /// Own close of a client connection that has not begun with a call, or stops halfway through one.
    pub client_silence: Duration,
    /// The same where another connection waits for its place.
    pub client_silence_evicted: Duration,
    /// Calls that are no use on one connection until it is closed.
    pub client_faults: usize,
    /// Own close of an idle client connection; clients close theirs sooner.
    pub client_idle: Duration,
    /// Wait for the rest of an answer of an engine that has begun.
    pub answer_stall: Duration,
    /// Answers on a connection that say nothing of an attempt's end, since the last that did: past that it is closed. Notes
    /// of the longest query stay far below.
    pub idle_words: usize,
    /// As many of them counts one that nothing asked for.
    pub idle_word_unasked: usize,
    /// Wait for a page of a result: an engine that fell silent between pages is given up.
    pub page_wait: Duration,
    /// An engine told gone is given this long to reset its connections before they are cut.
    pub gone_grace: Duration,
    /// Silence of the control feed that counts as a fault; it speaks each second.
    pub feed_silence: Duration,
    /// A feed that accepts no connection by then is tried anew.
    pub feed_connect: Duration,
    /// First and longest wait before connecting to the feed anew.
    pub feed_retry: (Duration, Duration),
    /// After SIGTERM new requests keep coming for this long at most.
    pub late_arrivals: Duration,
    /// Before a client's deadline, in ms, at which an open attempt is given up and answered.
    pub answer_margin_ms: f64,
    /// From giving an attempt up to the last byte of the word for that: a peer that takes it no sooner has its
    /// connection closed.
    pub quit_write: Duration,
    /// The same to the engine's word that it has read it, where another attempt may follow: longer than engines are
    /// known to stand still.
    pub quit_heard: Duration,
    /// The word is given again while nothing proves the end, at this interval in ms.
    pub quit_again_ms: f64,
    /// And without a proof for this long, in ms, the request ends.
    pub unproven_ms: f64,
    /// An attempt on a repeatable class whose engine said nothing for this long, in ms, is given up.
    pub silence_ms: f64,
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
    pub fn new(sockets: usize, memory_mb: usize, notes: bool, parsed: &Parsed) -> Limits {
        let millis = |ms: f64| Duration::from_micros((ms.clamp(0.0, 3_600_000.0) * 1000.0) as u64);
        let progress = parsed.settings.progress_ms;
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
            estimate: 1e8,
            grant_mb: parsed.grant_mb,
            key_bytes: 256,
            open_per_client: 32,
            client_conns: sockets / 2 - 15 - ops_callers,
            open: parsed.max_open.min(4096),
            input_bytes: part(10),
            output_bytes: part(10),
            held_bytes: part(10),
            open_bytes: part(10),
            answer_bytes: 48_000,
            line_bytes: 4096,
            page_bytes,
            pages: 256,
            streams_per_conn: parsed.streams_per_conn,
            streams_shared: 4,
            give_backs: 3,
            conn_proven_ms: 40.0,
            conn_mute_ms: if notes && progress > 0.0 {
                (progress * 3.0).max(1000.0)
            } else {
                f64::INFINITY
            },
            engine_conns: (sockets / 4).min(conns * 2 / 3),
            engine_conns_kept: (sockets / 8).min(conns / 3),
            conns_per_engine: (sockets / 12).clamp(1, 24),
            engines,
            subset: 512,
            mailbox: 1024,
            flight_conns: sockets / 16,
            tickets: 1024,
            ticket_bytes: part(16),
            flight_message_bytes: part(16).min(4 << 20),
            flight_held_bytes: 64 * 1024,
            flight_pieces: 8,
            keep_alive: (Duration::from_secs(2), Duration::from_secs(2)),
            state_bytes: (engines * 64).max(64 * 1024) as u64,
            state_look: Duration::from_millis(50),
            state_tries: 20,
            state_wait: Duration::from_millis(5),
            state_patience: Duration::from_millis(300),
            state_kept: Duration::from_secs(120),
            handed_end: (Duration::from_secs(5), Duration::from_millis(450)),
            planned_end: (Duration::from_secs(3), Duration::from_millis(500)),
            feed_first: Duration::from_millis(1200),
            both: Arc::default(),
            linger: Duration::from_millis(100),
            linger_evicted: Duration::from_millis(10),
            ops_callers,
            ops_line: 256,
            ops_call: Duration::from_secs(5),
            ops_pause: Duration::from_millis(10),
            snmp_bytes: 1472,
            snmp_variables: 24,
            frame_bytes: (4 * engines * RECORD_BYTES).max(256 << 10),
            connect: millis(parsed.connect_timeout_ms),
            engine_idle: millis(parsed.conn_idle_ms * 0.6),
            client_silence: Duration::from_millis(2000),
            client_silence_evicted: Duration::from_millis(250),
            client_faults: 64,
            client_idle: Duration::from_secs(30),
            answer_stall: Duration::from_millis(1500),
            idle_words: 16_384,
            idle_word_unasked: 128,
            page_wait: Duration::from_millis(2000),
            gone_grace: Duration::from_millis(500),
            feed_silence: Duration::from_millis(2500),
            feed_connect: Duration::from_millis(500),
            feed_retry: (Duration::from_millis(50), Duration::from_millis(500)),
            late_arrivals: Duration::from_millis(1000),
            answer_margin_ms: 10.0,
            quit_write: Duration::from_millis(250),
            quit_heard: Duration::from_millis(400),
            quit_again_ms: 50.0,
            unproven_ms: 2000.0,
            silence_ms: if notes && progress > 0.0 {
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
