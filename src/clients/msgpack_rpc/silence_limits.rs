//! How long a silent client is waited for.

use crate::limits::Limits;
use std::time::Duration;

/// Waits of one connection, chosen by whether it was evicted.
pub(super) struct SilenceLimits {
    /// For the first call, or the rest of a message.
    pub(super) read_timeout: Duration,
    /// For the client's end of the connection after its own close.
    pub(super) linger: Duration,
}

impl SilenceLimits {
    /// For a connection that may keep its slot.
    pub(super) fn not_evicted(limits: &Limits) -> SilenceLimits {
        SilenceLimits {
            read_timeout: limits.client_read_timeout,
            linger: limits.linger,
        }
    }

    /// For an evicted connection: shorter, as another connection waits for its slot. While draining, clients get the
    /// usual time to complete a message.
    pub(super) fn evicted(limits: &Limits, draining: bool) -> SilenceLimits {
        SilenceLimits {
            read_timeout: if draining {
                limits.client_read_timeout
            } else {
                limits.evicted_client_read_timeout
            },
            linger: limits.evicted_linger,
        }
    }
}
