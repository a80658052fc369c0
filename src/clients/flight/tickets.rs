//! Planned queries that wait to be fetched.

use super::statement_call::StatementCall;
use crate::decision::Idempotency;
use crate::limits::Limits;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// The tickets handed out by one front end; a bounded number of them.
#[derive(Default)]
pub(super) struct TicketStore {
    calls: HashMap<Bytes, StatementCall>,
    handles_oldest_first: VecDeque<Bytes>,
}

impl TicketStore {
    /// Stores a ticket. The oldest ones are dropped while there are too many, or their statements too long together.
    pub(super) fn insert(&mut self, handle: Bytes, call: StatementCall, limits: &Limits) {
        if self.calls.insert(handle.clone(), call).is_none() {
            self.handles_oldest_first.push_back(handle);
        }
        let mut statement_bytes: usize = self.calls.values().map(|call| call.statement.len()).sum();
        while self.handles_oldest_first.len() > limits.flight_tickets
            || statement_bytes > limits.flight_ticket_bytes
        {
            let Some(oldest) = self.handles_oldest_first.pop_front() else {
                return;
            };
            if let Some(dropped) = self.calls.remove(&oldest) {
                statement_bytes -= dropped.statement.len();
            }
        }
    }

    /// The call behind a ticket; `None` if there is no such ticket. The ticket of a non-idempotent class is used up by
    /// this, before anything is sent.
    pub(super) fn redeem(&mut self, handle: &Bytes) -> Option<StatementCall> {
        let call = self.calls.get(handle)?.clone();
        if call.class.class.idempotency == Idempotency::NonIdempotent {
            self.calls.remove(handle);
            self.handles_oldest_first.retain(|other| other != handle);
        }
        Some(call)
    }
}
