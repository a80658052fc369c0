//! Front ends: how clients reach the workload manager, one module for each protocol.
//!
//! A front end accepts connections, turns calls into [`AcceptedRequest`](crate::core::AcceptedRequest)s for the core
//! and writes the core's one final answer to each request back to its client. It makes no decision about a request.
//! The node starts the listeners and hands each of them a [`Frontend`].

pub(crate) mod connection_slots;
pub(crate) mod flight;
pub(crate) mod msgpack;
pub(crate) mod msgpack_rpc;
mod pending;

use self::connection_slots::ConnectionSlots;
use crate::core::{Answer, Handle};
use crate::decision::Millis;
use crate::lifecycle::Lifecycle;
use crate::limits::{Limits, MemoryPool};
use crate::metrics::{ClassOutcomes, Counter, Metrics};
use crate::settings_json::{NamedClass, PlatformSettings};
use nix::errno::Errno;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Digits of a request's reference: the engines take no other length.
const REFERENCE_DIGITS: usize = 16;

/// Pause after a failed `accept`, so that a lack of descriptors does not become a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether `accept` failed for want of descriptors or memory, so that closing a connection helps. All its other errors
/// concern the one connection, or pass by themselves.
pub(crate) fn is_out_of_resources(error: &std::io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
    )
}

/// What the front ends share.
#[derive(Clone)]
pub(crate) struct Frontend {
    pub(crate) core: Handle,
    /// The settings in force.
    pub(crate) settings: watch::Receiver<Arc<PlatformSettings>>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether this process accepts clients, and whether connected ones are to leave.
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) buffer_pools: Arc<BufferPools>,
}

/// Bytes that the buffers of all connections hold together.
#[derive(Default)]
pub(crate) struct BufferPools {
    /// Incomplete messages.
    pub(crate) input: Arc<MemoryPool>,
    /// Answers that their clients have not read yet.
    pub(crate) output: Arc<MemoryPool>,
}

impl Frontend {
    /// Slots for `capacity` connections of one listener, which drain when the lifecycle says so.
    pub(crate) fn create_connection_slots(&self, capacity: usize) -> Arc<ConnectionSlots> {
        let slots = ConnectionSlots::new(capacity, self.limits.clone(), self.metrics.clone());
        tokio::spawn(slots.clone().follow_lifecycle(self.lifecycle.clone()));
        slots
    }

    /// Looks a class up by its name in the settings.
    pub(crate) fn class(&self, name: &[u8]) -> Option<Arc<NamedClass>> {
        self.settings
            .borrow()
            .classes
            .iter()
            .find(|class| class.name.as_bytes() == name)
            .cloned()
    }

    /// The counters of a class's answers; `None` if there is no such class.
    pub(crate) fn class_outcomes(&self, class_name: &[u8]) -> Option<Arc<ClassOutcomes>> {
        self.class(class_name)
            .map(|class| self.metrics.class(&class.name))
    }

    /// The deadline of a request that may take `requested_timeout_ms` from `now_ms` on. The client timeout of its class bounds
    /// it, so that no request waits longer because of what its client claims.
    pub(crate) fn deadline_ms(
        &self,
        now_ms: Millis,
        class: &NamedClass,
        requested_timeout_ms: Millis,
    ) -> Millis {
        now_ms + requested_timeout_ms.min(class.class.client_timeout_ms)
    }

    /// Parses an estimate of work or memory. `None` above [`Limits::max_estimate`]: such a value would distort the
    /// dispatcher's averages and be passed on to engines.
    pub(crate) fn parse_estimate(&self, text: &[u8]) -> Option<f64> {
        parse_non_negative(text).filter(|value| *value <= self.limits.max_estimate)
    }

    /// Whether the settings name this tenant. Without tenants in the settings every name is accepted.
    pub(crate) fn is_known_tenant(&self, name: &[u8]) -> bool {
        let settings = self.settings.borrow();
        settings.tenants.is_empty()
            || settings
                .tenants
                .iter()
                .any(|tenant| tenant.as_bytes() == name)
    }
}

/// The counter of a class for this answer.
pub(crate) fn outcome_counter<'a>(outcomes: &'a ClassOutcomes, answer: &Answer) -> &'a Counter {
    match answer {
        Answer::Served(_) => &outcomes.served,
        Answer::Rejected { .. } => &outcomes.rejected,
        Answer::Failed(_) => &outcomes.failed,
    }
}

/// Parses a decimal number; `None` unless it is finite and not negative.
pub(crate) fn parse_non_negative(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Whether engines accept this as a request's reference: 16 hex digits.
pub(crate) fn is_client_reference(text: &[u8]) -> bool {
    text.len() == REFERENCE_DIGITS && text.iter().all(u8::is_ascii_hexdigit)
}

/// Whether this can stand as one value among an engine's fields: 1 to `max_bytes` printable ASCII characters without
/// the separators `,` and `=`.
pub(crate) fn is_engine_field_value(value: &[u8], max_bytes: usize) -> bool {
    let is_allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'=');
    (1..=max_bytes).contains(&value.len()) && value.iter().all(is_allowed)
}

#[cfg(test)]
mod tests;
