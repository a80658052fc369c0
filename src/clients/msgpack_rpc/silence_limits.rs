//! How long a connection waits for a silent client.

use crate::limits::Limits;
use std::time::Duration;

/// The time limits of one connection. They depend on whether it was evicted.
pub(super) struct SilenceLimits {
    /// Time limit for the first call, or for the rest of a message.
    pub(super) read_timeout: Duration,
    /// How long to wait, after this side has closed the connection, until the client closes it too.
    pub(super) linger: Duration,
}

impl SilenceLimits {
    /// The limits of a connection that was not evicted.
    pub(super) fn not_evicted(limits: &Limits) -> SilenceLimits {
        SilenceLimits {
            read_timeout: limits.client_read_timeout,
            linger: limits.linger_timeout,
        }
    }

    /// The limits of an evicted connection. They are shorter, because another connection waits for
    /// its slot. While draining, the time limit to complete a message is the same as without an
    /// eviction.
    pub(super) fn evicted(limits: &Limits, draining: bool) -> SilenceLimits {
        SilenceLimits {
            read_timeout: if draining {
                limits.client_read_timeout
            } else {
                limits.evicted_client_read_timeout
            },
            linger: limits.evicted_linger_timeout,
        }
    }
}
