//! Engines that speak the platform's line protocol over TCP.
//!
//! One actor an engine ([`engine`]) assigns attempts to the engine's connections; each connection is an actor too
//! ([`connection`]). [`command`] encodes what is sent and [`answer`] parses what is received.

mod answer;
mod command;
mod connection;
mod engine;
mod unsent_attempts;

pub(crate) use engine::run;

#[cfg(test)]
mod tests;
