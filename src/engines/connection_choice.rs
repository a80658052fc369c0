//! The choice of the connection that carries the next attempt on an engine.
//!
//! An answer that cannot be parsed ends its connection and all attempts on it. So, as long as there
//! are slots for further connections, a non-idempotent attempt gets a connection of its own, and
//! other attempts share connections in small groups. The peer may reset an idle connection just as
//! the next request is written; it is then unknown whether the request ran. So a non-idempotent
//! attempt gets a new connection unless an existing one
//! [answered recently](ConnectionLoad::answered_recently). No attempt is sent on a connection that
//! has carried its reference before ([`CarriedReferences`]).

use super::carried_references::CarriedReferences;
use super::connection_load::{AttemptCounts, ConnectionLoad, ConnectionUse};
use super::connection_slots::{ConnectionSlot, SlotPurpose};
use super::context::{EngineContext, EngineMessage};
use crate::core::AttemptRequest;
use crate::decision::Millis;
use crate::limits::Limits;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the engine's actor keeps of one connection.
pub(super) struct ConnectionEntry {
    pub(super) mailbox: mpsc::Sender<EngineMessage>,
    pub(super) load: Arc<ConnectionLoad>,
    pub(super) carried: CarriedReferences,
}

impl ConnectionEntry {
    /// Whether the connection is idle and can carry no further attempt, so that it is to be closed.
    pub(super) fn should_close(&self) -> bool {
        self.carried.is_full() && self.load.is_idle()
    }
}

/// The connection that carries an attempt.
pub(super) enum ConnectionChoice {
    /// The connection at this index.
    Existing(usize),
    /// A new connection, for which this slot was acquired.
    New {
        slot: ConnectionSlot,
        load: Arc<ConnectionLoad>,
    },
    /// No connection: no existing one may carry the attempt, and there is no slot for a new one.
    NoSlot,
}

/// A connection that may carry the attempt, with its load at the time of the choice.
struct Candidate<'a> {
    index: usize,
    load: &'a ConnectionLoad,
    counts: AttemptCounts,
    is_answer_overdue: bool,
}

impl Candidate<'_> {
    /// Whether an attempt with this use is assigned to the connection rather than to a new one.
    fn is_suitable_for(&self, usage: ConnectionUse, now_ms: Millis, limits: &Limits) -> bool {
        let shared_limit = limits
            .shared_attempts_per_connection
            .min(limits.attempts_per_connection);
        match usage {
            ConnectionUse::Exclusive => {
                self.counts.all == 0 && self.load.answered_recently(now_ms, limits)
            }
            ConnectionUse::Shared => self.counts.exclusive == 0 && self.counts.all < shared_limit,
        }
    }
}

/// Chooses the connection for this attempt: a suitable existing one, otherwise a new one, otherwise
/// the least loaded one.
pub(super) fn choose_connection(
    connections: &[ConnectionEntry],
    attempt: &AttemptRequest,
    context: &EngineContext,
) -> ConnectionChoice {
    let usage = ConnectionUse::of(attempt);
    let limits = &context.limits;
    let now_ms = context.core.now();
    let candidates = candidates(connections, &attempt.client_reference, now_ms, limits);
    if let Some(index) = most_loaded_suitable(&candidates, usage, now_ms, limits) {
        return ConnectionChoice::Existing(index);
    }
    if connections.len() < limits.connections_per_engine {
        let load = Arc::<ConnectionLoad>::default();
        let purpose = slot_purpose(&candidates, usage);
        if let Some(slot) = context.slots.acquire(&load, purpose) {
            return ConnectionChoice::New { slot, load };
        }
    }
    least_loaded(&candidates, limits).map_or(ConnectionChoice::NoSlot, ConnectionChoice::Existing)
}

fn candidates<'a>(
    connections: &'a [ConnectionEntry],
    reference: &Bytes,
    now_ms: Millis,
    limits: &Limits,
) -> Vec<Candidate<'a>> {
    connections
        .iter()
        .enumerate()
        .filter(|(_, connection)| !connection.load.is_evicted())
        // A late answer to an earlier attempt with this reference would be matched to the new one.
        .filter(|(_, connection)| connection.carried.allows(reference))
        .map(|(index, connection)| Candidate {
            index,
            load: &connection.load,
            counts: connection.load.counts(),
            is_answer_overdue: connection.load.is_answer_overdue(now_ms, limits),
        })
        .collect()
}

/// Returns the suitable connection with the most attempts; among equals, the one that answered
/// last. The other connections then become idle and are closed.
fn most_loaded_suitable(
    candidates: &[Candidate<'_>],
    usage: ConnectionUse,
    now_ms: Millis,
    limits: &Limits,
) -> Option<usize> {
    candidates
        .iter()
        .filter(|candidate| {
            !candidate.is_answer_overdue && candidate.is_suitable_for(usage, now_ms, limits)
        })
        .max_by_key(|candidate| {
            let counts = candidate.counts;
            (
                counts.all,
                counts.exclusive,
                candidate.load.last_answer_ms(),
            )
        })
        .map(|candidate| candidate.index)
}

fn slot_purpose(candidates: &[Candidate<'_>], usage: ConnectionUse) -> SlotPurpose {
    if candidates
        .iter()
        .all(|candidate| candidate.is_answer_overdue)
    {
        return SlotPurpose::FirstConnection;
    }
    match usage {
        ConnectionUse::Exclusive => SlotPurpose::ExclusiveUse,
        ConnectionUse::Shared => SlotPurpose::AdditionalConnection,
    }
}

/// Returns a connection below the limit of attempts per connection: preferably one without an
/// overdue answer, then one with the fewest exclusive attempts, then one with the fewest attempts.
fn least_loaded(candidates: &[Candidate<'_>], limits: &Limits) -> Option<usize> {
    candidates
        .iter()
        .filter(|candidate| candidate.counts.all < limits.attempts_per_connection)
        .min_by_key(|candidate| {
            let counts = candidate.counts;
            (candidate.is_answer_overdue, counts.exclusive, counts.all)
        })
        .map(|candidate| candidate.index)
}
