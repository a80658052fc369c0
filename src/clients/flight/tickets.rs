//! Planned queries that wait to be fetched.

use super::statement_call::StatementCall;
use crate::decision::Idempotency;
use crate::limits::Limits;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// The tickets handed out by one front end; a bounded number of them.
#[derive(Default)]
pub(super) struct Tickets {
    calls: HashMap<Bytes, StatementCall>,
    oldest_first: VecDeque<Bytes>,
}

impl Tickets {
    /// Stores a ticket. The oldest ones are dropped while there are too many, or their statements too long together.
    pub(super) fn insert(&mut self, handle: Bytes, call: StatementCall, limits: &Limits) {
        if self.calls.insert(handle.clone(), call).is_none() {
            self.oldest_first.push_back(handle);
        }
        let mut bytes: usize = self.calls.values().map(|call| call.statement.len()).sum();
        while self.oldest_first.len() > limits.flight_tickets || bytes > limits.flight_ticket_bytes
        {
            let Some(oldest) = self.oldest_first.pop_front() else {
                return;
            };
            if let Some(dropped) = self.calls.remove(&oldest) {
                bytes -= dropped.statement.len();
            }
        }
    }

    /// The call behind a ticket; `None` if there is no such ticket. The ticket of a non-idempotent class is used up by
    /// this, before anything is sent.
    pub(super) fn redeem(&mut self, handle: &Bytes) -> Option<StatementCall> {
        let call = self.calls.get(handle)?.clone();
        if call.class.class.idempotency == Idempotency::NonIdempotent {
            self.calls.remove(handle);
            self.oldest_first.retain(|other| other != handle);
        }
        Some(call)
    }
}
