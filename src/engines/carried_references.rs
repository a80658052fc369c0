//! The clients' references that one connection to an engine has carried.
//!
//! Answers of the line protocol name the client's reference and no attempt. An engine may send more under a reference
//! after the answer that ended its attempt: an error for each page that was asked for, or an answer twice. A second
//! attempt with that reference on the same connection would take such an answer for its own, so a connection carries a
//! reference only once.

use bytes::Bytes;

/// The references that one connection has carried, up to a bound. A connection that has reached it takes no further
/// attempts: it may not forget a reference, as nothing tells how late an answer can be.
#[derive(Debug)]
pub(super) struct CarriedReferences {
    /// By the number that their 16 hex digits stand for.
    numbers: Vec<u64>,
    limit: usize,
}

impl CarriedReferences {
    /// None yet, and at most `limit`.
    pub(super) fn new(limit: usize) -> CarriedReferences {
        CarriedReferences {
            numbers: Vec::new(),
            limit,
        }
    }

    /// Records that the connection was given an attempt with this reference.
    pub(super) fn record(&mut self, reference: &Bytes) {
        self.numbers.push(parse_reference(reference));
    }

    /// Whether the connection may be given an attempt with this reference.
    pub(super) fn allows(&self, reference: &Bytes) -> bool {
        !self.is_full() && !self.numbers.contains(&parse_reference(reference))
    }

    /// Whether the connection takes no further attempts.
    pub(super) fn is_full(&self) -> bool {
        self.numbers.len() >= self.limit
    }
}

/// The number of a reference. Front ends accept no reference but 16 hex digits; any other one counts as one and the same
/// here, which at worst opens a connection more.
fn parse_reference(reference: &Bytes) -> u64 {
    let digits = std::str::from_utf8(reference).unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or_default()
}

#[cfg(test)]
mod tests;
