//! The values from which limits are computed: the descriptors and memory of the process, and the
//! platform's settings.

use crate::settings_json::PlatformSettings;
use std::time::Duration;

/// Memory in bytes for a listed engine without connections: its entries in the dispatcher, the
/// roster and the fleet, and its record in a full list that is being applied. With 1,024 to 28,700
/// listed engines, the whole program needs at most 1,211 bytes per engine, right after a table has
/// grown.
pub(super) const ENGINE_BYTES: usize = 1216;

/// Bytes of one record of the discovery feed.
pub(super) const RECORD_BYTES: usize = 27;

/// Bytes of one page of a result.
pub(super) const PAGE_BYTES: usize = 6_000;

/// Memory in bytes for everything whose size does not depend on the machine's memory, with a
/// reserve: the program text and the state of the process itself, for two processes during a hot
/// restart.
const PROGRAM_BYTES: usize = 8 << 20;

/// The engines of the endpoint list may use one eighth of the memory above [`PROGRAM_BYTES`].
const ENGINES_MEMORY_DIVISOR: usize = 8;

/// The connections to engines may use one ninth of the memory.
const ENGINE_CONNECTIONS_MEMORY_DIVISOR: usize = 9;

/// Number of descriptors reserved for uses other than connections: standard streams, the runtime,
/// signals, listeners and files.
const PROCESS_DESCRIPTORS: usize = 15;

/// Upper bound, in ms, on the times of the platform's settings from which limits are derived: one
/// hour.
const MAX_PLATFORM_TIME_MS: f64 = 3_600_000.0;

/// Maximum number of references that a connection to an engine carries until it is closed.
pub(super) const REFERENCES_PER_CONNECTION: usize = 1024;

/// Returns the maximum memory in bytes of a connection to an engine: two pages of read buffer, one
/// page of write buffer, its carried references, and its own state.
pub(super) const fn engine_connection_bytes(page_bytes: usize) -> usize {
    3 * page_bytes + REFERENCES_PER_CONNECTION * size_of::<u64>() + 4096
}

/// The values from which the table of limits is computed.
pub(super) struct Basis<'a> {
    /// Maximum number of descriptors of the process.
    pub(super) sockets: usize,
    /// Maximum memory of the process, in MB.
    pub(super) memory_mb: usize,
    /// Whether engines send progress reports. Without them, the silence of an engine does not
    /// indicate a fault.
    pub(super) progress_reports: bool,
    /// The platform's settings.
    pub(super) platform: &'a PlatformSettings,
}

impl Basis<'_> {
    /// Returns the memory of the process divided by `divisor`, in bytes.
    pub(super) fn memory_fraction(&self, divisor: usize) -> usize {
        (self.memory_mb << 20) / divisor
    }

    /// Returns the number of listed engines for which the memory is enough.
    pub(super) fn engines(&self) -> usize {
        (self.memory_mb << 20).saturating_sub(PROGRAM_BYTES) / ENGINES_MEMORY_DIVISOR / ENGINE_BYTES
    }

    /// Returns the number of connections to engines for which the memory is enough.
    pub(super) fn engine_connections(&self) -> usize {
        self.memory_fraction(ENGINE_CONNECTIONS_MEMORY_DIVISOR)
            / engine_connection_bytes(PAGE_BYTES)
    }

    /// Returns the maximum number of connections to the admin address.
    pub(super) fn admin_connections(&self) -> usize {
        (self.sockets / 16).clamp(4, 32)
    }

    /// Returns the maximum number of client connections: half of the descriptors, less those that
    /// are reserved for other uses and those of the admin address.
    pub(super) fn client_connections(&self) -> usize {
        self.sockets / 2 - PROCESS_DESCRIPTORS - self.admin_connections()
    }

    /// Returns how long an engine may be silent, in ms: `intervals` intervals between progress
    /// reports, and at least `min_ms`. The result is infinite if engines send no progress reports.
    pub(super) fn silence_limit_ms(&self, intervals: f64, min_ms: f64) -> f64 {
        let interval_ms = self.platform.settings.progress_interval_ms;
        if self.progress_reports && interval_ms > 0.0 {
            (interval_ms * intervals).max(min_ms)
        } else {
            f64::INFINITY
        }
    }
}

/// Converts a time in ms from the platform's settings to a duration between 0 and one hour,
/// truncated to microseconds.
pub(super) fn duration_of_ms(ms: f64) -> Duration {
    Duration::from_micros((ms.clamp(0.0, MAX_PLATFORM_TIME_MS) * 1000.0) as u64)
}
