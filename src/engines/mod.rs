//! Engines, by the protocol that they speak.
//!
//! The [`Fleet`] has an entry for each engine of the endpoint list. An engine in use has one actor, which owns the
//! engine's connections and lives as long as it has any. The core calls the fleet through
//! [`EnginePort`](crate::core::EnginePort); actors answer with [`AttemptEvent`](crate::core::AttemptEvent)s.

mod admission;
mod carried_references;
mod connection_choice;
mod connection_load;
mod connection_slots;
mod context;
mod fleet;
pub(crate) mod flight;
pub(crate) mod line_protocol;
#[cfg(test)]
mod tests;

pub(crate) use context::EngineContext;
pub(crate) use fleet::Fleet;
