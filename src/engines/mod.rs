//! Connections to the engines and the attempts on them, with one module per engine protocol.
//!
//! The [`Fleet`] has an entry for each engine of the endpoint list. An engine in use has one actor,
//! which owns the engine's connections and ends when the last of them closes. The core calls the
//! fleet through [`EnginePort`](crate::core::EnginePort); the actors report
//! [`AttemptEvent`](crate::core::AttemptEvent)s to the core.

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
