//! Stores planned queries until clients fetch their results.

use super::statement_call::StatementCall;
use crate::limits::Limits;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// The connection on which a ticket was issued, by its id; `None` if it is not known.
pub(super) type TicketOwner = Option<u64>;

/// The tickets that one front end has issued. Their number and total size are limited. Above a
/// limit, the connection that holds most loses its oldest ticket, so that a client that plans many
/// queries costs others none of theirs.
#[derive(Default)]
pub(super) struct TicketStore {
    tickets: HashMap<Bytes, Ticket>,
    handles_oldest_first: VecDeque<Bytes>,
    holdings: HashMap<TicketOwner, Holding>,
    total: Holding,
}

struct Ticket {
    call: StatementCall,
    owner: TicketOwner,
}

/// Number and size of the tickets of one owner, or of all.
#[derive(Clone, Copy, Default)]
struct Holding {
    tickets: usize,
    statement_bytes: usize,
}

impl Holding {
    fn add(&mut self, ticket: &Ticket) {
        self.tickets += 1;
        self.statement_bytes += ticket.call.statement.len();
    }

    fn subtract(&mut self, ticket: &Ticket) {
        self.tickets -= 1;
        self.statement_bytes -= ticket.call.statement.len();
    }
}

impl TicketStore {
    /// Stores a ticket. Drops tickets while there are more than `limits.flight_tickets` or their
    /// statements have more than `limits.flight_ticket_bytes` in total.
    pub(super) fn insert(
        &mut self,
        handle: Bytes,
        mut call: StatementCall,
        owner: TicketOwner,
        limits: &Limits,
    ) {
        // A copy, because the ticket's memory is not that of the client that plans the query: the
        // ticket outlasts its connection.
        call.statement = Bytes::copy_from_slice(&call.statement);
        self.remove(&handle);
        let ticket = Ticket { call, owner };
        self.total.add(&ticket);
        self.holdings.entry(owner).or_default().add(&ticket);
        self.tickets.insert(handle.clone(), ticket);
        self.handles_oldest_first.push_back(handle);
        while self.total.tickets > limits.flight_tickets {
            self.drop_oldest_of_largest(|holding| holding.tickets);
        }
        while self.total.statement_bytes > limits.flight_ticket_bytes {
            self.drop_oldest_of_largest(|holding| holding.statement_bytes);
        }
    }

    /// Drops the oldest ticket of the owner that holds most by this measure.
    fn drop_oldest_of_largest(&mut self, measure: impl Fn(&Holding) -> usize) {
        let largest = self.holdings.values().map(&measure).max();
        let oldest = self.handles_oldest_first.iter().find(|handle| {
            let holding = self
                .tickets
                .get(*handle)
                .and_then(|ticket| self.holdings.get(&ticket.owner));
            holding.map(&measure) == largest
        });
        if let Some(handle) = oldest.cloned() {
            self.remove(&handle);
        }
    }

    /// Returns the planned call of a ticket, or `None` if there is no such ticket.
    pub(super) fn get(&self, handle: &Bytes) -> Option<StatementCall> {
        self.tickets.get(handle).map(|ticket| ticket.call.clone())
    }

    /// Removes a ticket, so that it cannot be used again.
    pub(super) fn remove(&mut self, handle: &Bytes) {
        let Some(ticket) = self.tickets.remove(handle) else {
            return;
        };
        self.handles_oldest_first.retain(|other| other != handle);
        self.total.subtract(&ticket);
        if let Some(holding) = self.holdings.get_mut(&ticket.owner) {
            holding.subtract(&ticket);
            if holding.tickets == 0 {
                self.holdings.remove(&ticket.owner);
            }
        }
    }
}
