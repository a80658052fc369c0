//! Which of an engine's connections carries the next attempt.
//!
//! One answer that cannot be parsed ends its connection and all attempts on it. So a non-idempotent attempt has a
//! connection of its own, and others share one in small groups, while there are slots for further connections. A
//! connection that was idle may be reset by the peer just as the next request is written, which leaves open whether it
//! ran; so a non-idempotent attempt takes a new connection unless an existing one answered a moment ago. No attempt goes
//! over a connection that has carried its reference before ([`CarriedReferences`]).

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

/// One connection, as its engine's actor sees it.
pub(super) struct ConnectionEntry {
    pub(super) mailbox: mpsc::Sender<EngineMessage>,
    pub(super) load: Arc<ConnectionLoad>,
    pub(super) carried: CarriedReferences,
}

impl ConnectionEntry {
    /// Whether nothing is on it and nothing more may be, so that it is of no use.
    pub(super) fn should_retire(&self) -> bool {
        self.carried.is_full() && self.load.is_idle()
    }
}

/// What carries an attempt.
pub(super) enum ConnectionChoice {
    /// The connection at this index.
    Existing(usize),
    /// A new one, which has its slot.
    New {
        slot: ConnectionSlot,
        load: Arc<ConnectionLoad>,
    },
    /// Nothing: the engine has no connection that may, and there is no slot for one.
    NoSlot,
}

/// A connection that takes further attempts, with its load at the time of the choice.
struct Candidate<'a> {
    index: usize,
    load: &'a ConnectionLoad,
    counts: AttemptCounts,
    is_answer_overdue: bool,
}

impl Candidate<'_> {
    /// Whether an attempt with this use may join, before a further connection is considered.
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

/// Chooses the connection for this attempt: an existing one that fits, else a new one, else the least loaded.
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
        // A late answer to an earlier attempt with this reference would be taken for this one's.
        .filter(|(_, connection)| connection.carried.allows(reference))
        .map(|(index, connection)| Candidate {
            index,
            load: &connection.load,
            counts: connection.load.counts(),
            is_answer_overdue: connection.load.is_answer_overdue(now_ms, limits),
        })
        .collect()
}

/// The fullest connection that fits, then the one that answered last, so that the others become idle and close.
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

/// Of the connections below their limit: one that answers before a silent one, then the one with the fewest attempts
/// that would like it to themselves, then the one with the fewest attempts.
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
