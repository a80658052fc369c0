//! Stores planned queries until clients fetch their results.

use super::statement_call::StatementCall;
use crate::limits::Limits;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// The tickets that one front end has issued. Their number and total size are limited.
#[derive(Default)]
pub(super) struct TicketStore {
    calls: HashMap<Bytes, StatementCall>,
    handles_oldest_first: VecDeque<Bytes>,
}

impl TicketStore {
    /// Stores a ticket. Drops the oldest tickets while there are more than `limits.flight_tickets`
    /// or their statements have more than `limits.flight_ticket_bytes` in total.
    pub(super) fn insert(&mut self, handle: Bytes, mut call: StatementCall, limits: &Limits) {
        // A copy, because the ticket's memory is not that of the client that plans the query: the
        // ticket outlasts its connection.
        call.statement = Bytes::copy_from_slice(&call.statement);
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

    /// Returns the planned call of a ticket, or `None` if there is no such ticket.
    pub(super) fn get(&self, handle: &Bytes) -> Option<StatementCall> {
        self.calls.get(handle).cloned()
    }

    /// Removes a ticket, so that it cannot be used again.
    pub(super) fn remove(&mut self, handle: &Bytes) {
        self.calls.remove(handle);
        self.handles_oldest_first.retain(|other| other != handle);
    }
}
