//! The figures that limits follow: the machine's descriptors and memory, and the platform's settings.

use crate::settings_json::PlatformSettings;
use std::time::Duration;

/// Bytes that a listed engine without connections takes: its entries in the dispatcher, the roster and the fleet, and
/// its part of a complete list that is being applied. Measured on the whole program with 1,024 to 28,700 listed
/// engines: 1,211 at most, just after a table has grown.
pub(super) const ENGINE_BYTES: usize = 1216;

/// Bytes of one record of the discovery feed.
pub(super) const RECORD_BYTES: usize = 27;

/// Bytes of one page of a result.
pub(super) const PAGE_BYTES: usize = 6_000;

/// Bytes that the program takes beside all that follows memory, with a reserve: its text and its own state, twice
/// during a hot restart.
const PROGRAM_BYTES: usize = 8 << 20;

/// Engines of the endpoint list may take this part of the memory over [`PROGRAM_BYTES`]: one in so many.
const ENGINES_MEMORY_DIVISOR: usize = 8;

/// Connections to engines may take this part of the memory: one in so many.
const ENGINE_CONNECTIONS_MEMORY_DIVISOR: usize = 9;

/// Descriptors that no connection may take: standard streams, the runtime, signals, listeners and files.
const PROCESS_DESCRIPTORS: usize = 15;

/// The longest time of the platform's settings that a limit takes over: an hour.
const MAX_PLATFORM_TIME_MS: f64 = 3_600_000.0;

/// References that a connection to an engine carries in its life.
pub(super) const REFERENCES_PER_CONNECTION: usize = 1024;

/// Bytes that a connection to an engine takes at most: two pages read, one written, the references that it has carried,
/// and its own state.
pub(super) const fn engine_connection_bytes(page_bytes: usize) -> usize {
    3 * page_bytes + REFERENCES_PER_CONNECTION * size_of::<u64>() + 4096
}

/// What the values of the table are computed from.
pub(super) struct Basis<'a> {
    /// Descriptors of the process.
    pub(super) sockets: usize,
    /// Memory of the process, in MB.
    pub(super) memory_mb: usize,
    /// Whether engines send progress reports. Where they do not, silence means nothing.
    pub(super) progress_reports: bool,
    /// The platform's settings.
    pub(super) platform: &'a PlatformSettings,
}

impl Basis<'_> {
    /// One part in `parts` of the memory, in bytes.
    pub(super) fn memory_fraction(&self, divisor: usize) -> usize {
        (self.memory_mb << 20) / divisor
    }

    /// Engines that the memory can hold.
    pub(super) fn engines(&self) -> usize {
        (self.memory_mb << 20).saturating_sub(PROGRAM_BYTES) / ENGINES_MEMORY_DIVISOR / ENGINE_BYTES
    }

    /// Connections to engines that the memory can hold.
    pub(super) fn engine_connections(&self) -> usize {
        self.memory_fraction(ENGINE_CONNECTIONS_MEMORY_DIVISOR)
            / engine_connection_bytes(PAGE_BYTES)
    }

    /// Connections at the admin address.
    pub(super) fn admin_connections(&self) -> usize {
        (self.sockets / 16).clamp(4, 32)
    }

    /// Connections of clients: half of the descriptors, less the program's own and those of the admin address.
    pub(super) fn client_connections(&self) -> usize {
        self.sockets / 2 - PROCESS_DESCRIPTORS - self.admin_connections()
    }

    /// A silence of `intervals` intervals of progress reports, in ms, at least `min_ms`; infinite where engines send
    /// none.
    pub(super) fn silence_limit_ms(&self, intervals: f64, min_ms: f64) -> f64 {
        let interval_ms = self.platform.settings.progress_interval_ms;
        if self.progress_reports && interval_ms > 0.0 {
            (interval_ms * intervals).max(min_ms)
        } else {
            f64::INFINITY
        }
    }
}

/// A time of the platform's settings, between 0 and an hour, to the microsecond.
pub(super) fn duration_of_ms(ms: f64) -> Duration {
    Duration::from_micros((ms.clamp(0.0, MAX_PLATFORM_TIME_MS) * 1000.0) as u64)
}
