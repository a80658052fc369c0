//! The client references that one connection to an engine has carried.
//!
//! An answer in the line protocol contains the client reference but not the number of the attempt.
//! After the answer that ended an attempt, an engine may send further answers with the same
//! reference: an error for each requested page, or the same answer twice. They would be matched to
//! a second attempt with that reference on the same connection. So a connection carries each
//! reference only once.

use bytes::Bytes;

/// The references that one connection has carried, up to a limit. A connection that has reached the
/// limit gets no further attempts. No reference is dropped to make room, because there is no bound
/// on how late an answer can arrive.
#[derive(Debug)]
pub(super) struct CarriedReferences {
    /// Each reference as the number that its 16 hex digits encode.
    numbers: Vec<u64>,
    limit: usize,
}

impl CarriedReferences {
    /// Creates an empty set that holds at most `limit` references.
    pub(super) fn new(limit: usize) -> CarriedReferences {
        CarriedReferences {
            numbers: Vec::new(),
            limit,
        }
    }

    /// Records that an attempt with this reference was assigned to the connection.
    pub(super) fn record(&mut self, reference: &Bytes) {
        self.numbers.push(parse_reference(reference));
    }

    /// Whether an attempt with this reference may be assigned to the connection.
    pub(super) fn allows(&self, reference: &Bytes) -> bool {
        !self.is_full() && !self.numbers.contains(&parse_reference(reference))
    }

    /// Whether the limit is reached, so that the connection gets no further attempts.
    pub(super) fn is_full(&self) -> bool {
        self.numbers.len() >= self.limit
    }
}

/// Returns the number that a reference encodes. Front ends accept only references of 16 hex digits.
/// Any other text is treated as 0, which at worst opens one connection more.
fn parse_reference(reference: &Bytes) -> u64 {
    let digits = std::str::from_utf8(reference).unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or_default()
}

#[cfg(test)]
mod tests;
