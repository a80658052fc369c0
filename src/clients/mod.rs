//! Front ends: one module for each protocol that clients speak.
//!
//! A front end accepts connections, turns each call into an
//! [`AcceptedRequest`](crate::core::AcceptedRequest) and passes it to the core. The core sends one
//! final answer for each request, and the front end writes it to the client. A front end makes no
//! decision about a request itself. The node starts the listeners and gives each of them a
//! [`Frontend`].

mod acceptor;
pub(crate) mod connection_slots;
pub(crate) mod flight;
pub(crate) mod msgpack;
pub(crate) mod msgpack_rpc;
mod pending;

use self::connection_slots::ConnectionSlots;
use crate::core::{Answer, Handle};
use crate::decision::Millis;
use crate::lifecycle::Lifecycle;
use crate::limits::{AccountSize, Limits, MemoryAccount, SharedLimit};
use crate::metrics::{ClassOutcomes, Counter, Metrics};
use crate::settings_json::{NamedClass, PlatformSettings};
use nix::errno::Errno;
use std::sync::Arc;
use tokio::sync::watch;

/// Digits of a client reference. Engines accept no other length.
const REFERENCE_DIGITS: usize = 16;

/// Whether `accept` failed because file descriptors or memory ran out. Closing another connection
/// helps in this case only: all other errors concern the new connection alone, or are temporary.
fn is_out_of_resources(error: &std::io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
    )
}

/// Handles and settings that all front ends share.
#[derive(Clone)]
pub(crate) struct Frontend {
    pub(crate) core: Handle,
    /// The current settings; they can change while the process runs.
    pub(crate) settings: watch::Receiver<Arc<PlatformSettings>>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether this process accepts clients, and whether its client connections are drained.
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) client_memory: ClientMemory,
}

/// The accounts of the memory that clients use. Each client connection is an owner.
#[derive(Clone)]
pub(crate) struct ClientMemory {
    /// What clients have sent, from its first byte until nothing of it is used any longer.
    pub(crate) requests: Arc<MemoryAccount>,
    /// Answers that the clients have not read yet.
    pub(crate) answers: Arc<MemoryAccount>,
}

impl ClientMemory {
    pub(crate) fn new(limits: &Arc<Limits>) -> ClientMemory {
        let account = |limit_bytes| {
            let owners = limits.client_connections + limits.flight_connections;
            let size = AccountSize {
                limit_bytes,
                owners,
            };
            MemoryAccount::new(limits, size)
        };
        ClientMemory {
            requests: account(limits.client_request_bytes),
            answers: account(limits.client_answer_bytes),
        }
    }
}

impl Frontend {
    /// Creates the connection slots of one listener and starts a task that drains its connections
    /// while the lifecycle state is draining.
    pub(crate) fn create_connection_slots(&self, limit: SharedLimit) -> Arc<ConnectionSlots> {
        let slots = ConnectionSlots::new(limit, &self.limits, self.metrics.clone());
        tokio::spawn(slots.clone().follow_lifecycle(self.lifecycle.clone()));
        slots
    }

    /// Finds a class in the current settings by its name.
    pub(crate) fn find_class(&self, name: &[u8]) -> Option<Arc<NamedClass>> {
        self.settings
            .borrow()
            .classes
            .iter()
            .find(|class| class.name.as_bytes() == name)
            .cloned()
    }

    /// Returns the answer counters of a class, or `None` if there is no class of this name.
    pub(crate) fn class_outcomes(&self, class_name: &[u8]) -> Option<Arc<ClassOutcomes>> {
        self.find_class(class_name)
            .map(|class| self.metrics.outcomes_of_class(&class.name))
    }

    /// Returns the deadline of a request that arrived at `now_ms`. The timeout that the client
    /// requests is limited to the client timeout of the class, so that no client can make a request
    /// wait longer.
    pub(crate) fn deadline_ms(
        &self,
        now_ms: Millis,
        class: &NamedClass,
        requested_timeout_ms: Millis,
    ) -> Millis {
        now_ms + requested_timeout_ms.min(class.class.client_timeout_ms)
    }

    /// Parses a client's estimate of work or memory. Returns `None` for an invalid number and for a
    /// value above [`Limits::max_estimate`], which would distort the dispatcher's averages and
    /// would be passed on to engines.
    pub(crate) fn parse_estimate(&self, text: &[u8]) -> Option<f64> {
        parse_non_negative(text).filter(|value| *value <= self.limits.max_estimate)
    }

    /// Whether the settings list this tenant. If they list no tenants at all, every name is
    /// accepted.
    pub(crate) fn is_known_tenant(&self, name: &[u8]) -> bool {
        let settings = self.settings.borrow();
        settings.tenants.is_empty()
            || settings
                .tenants
                .iter()
                .any(|tenant| tenant.as_bytes() == name)
    }
}

/// Returns the counter in a class's outcomes that counts this kind of answer.
pub(crate) fn outcome_counter<'a>(outcomes: &'a ClassOutcomes, answer: &Answer) -> &'a Counter {
    match answer {
        Answer::Served(_) => &outcomes.served,
        Answer::Rejected { .. } => &outcomes.rejected,
        Answer::Failed(_) => &outcomes.failed,
    }
}

/// Parses a decimal number. Returns `None` unless it is finite and not negative.
pub(crate) fn parse_non_negative(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Whether engines accept this text as a client reference, which is 16 hex digits.
pub(crate) fn is_client_reference(text: &[u8]) -> bool {
    text.len() == REFERENCE_DIGITS && text.iter().all(u8::is_ascii_hexdigit)
}

/// Whether a value can be sent to an engine as the value of one field: 1 to `max_bytes` printable
/// ASCII characters without spaces and without the separators `,` and `=`.
pub(crate) fn is_engine_field_value(value: &[u8], max_bytes: usize) -> bool {
    let is_allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'=');
    (1..=max_bytes).contains(&value.len()) && value.iter().all(is_allowed)
}

#[cfg(test)]
mod tests;
