//! Clients, by the protocol that they speak.

pub(crate) mod flight;
pub(crate) mod msgpack;
pub(crate) mod platform;
pub(crate) mod slots;

use crate::core::Handle;
use crate::lifecycle::Lifecycle;
use crate::limits::{Limits, MemoryPool};
use crate::metrics::{ClassOutcomes, Metrics};
use crate::settings_json::{NamedClass, PlatformSettings};
use std::sync::Arc;
use tokio::sync::watch;

/// What every front holds.
#[derive(Clone)]
pub(crate) struct Front {
    pub(crate) core: Handle,
    /// The settings in use.
    pub(crate) parsed: watch::Receiver<Arc<PlatformSettings>>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether clients are to come or go.
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) pools: Arc<BufferPools>,
}

/// Bytes that all connections hold together.
#[derive(Default)]
pub(crate) struct BufferPools {
    pub(crate) input: Arc<MemoryPool>,
    pub(crate) output: Arc<MemoryPool>,
}

impl Front {
    /// A class by its name.
    pub(crate) fn class(&self, name: &[u8]) -> Option<Arc<NamedClass>> {
        self.parsed
            .borrow()
            .classes
            .iter()
            .find(|c| c.name.as_bytes() == name)
            .cloned()
    }

    /// Where the ends of a class's requests are counted; none where there is no such class.
    pub(crate) fn ends(&self, class: &[u8]) -> Option<Arc<ClassOutcomes>> {
        self.class(class)
            .map(|class| self.metrics.class(&class.name))
    }

    /// When a client gives up. Guard: none waits for longer than its class does, whatever it says.
    pub(crate) fn due(&self, now: f64, class: &NamedClass, allow: f64) -> f64 {
        now + allow.min(class.class.client_timeout_ms)
    }

    /// An estimate sent as text. Guard: one that no query has would reach engines and the module's means.
    pub(crate) fn estimate(&self, text: &[u8]) -> Option<f64> {
        figure(text).filter(|value| *value <= self.limits.max_estimate)
    }

    /// A tenant by its name; where there are no tenants any name will do.
    pub(crate) fn knows_tenant(&self, name: &[u8]) -> bool {
        let parsed = self.parsed.borrow();
        parsed.tenants.is_empty() || parsed.tenants.iter().any(|t| t.as_bytes() == name)
    }
}

/// A figure sent as text: finite and not negative, or nothing.
pub(crate) fn figure(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Whether a request's name is what engines take: 16 hex digits.
pub(crate) fn is_ref(name: &[u8]) -> bool {
    name.len() == 16 && name.iter().all(u8::is_ascii_hexdigit)
}

/// Whether it can stand as one value among an engine's fields, and takes so many bytes at most.
pub(crate) fn is_token(value: &[u8], most: usize) -> bool {
    let fits = |b: &u8| b.is_ascii_graphic() && !matches!(b, b',' | b'=');
    (1..=most).contains(&value.len()) && value.iter().all(fits)
}
