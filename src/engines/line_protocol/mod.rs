//! Engines that are reached over TCP with the platform's line protocol.
//!
//! Each engine has an actor ([`engine`]) that assigns attempts to the engine's connections. Each
//! connection is an actor of its own ([`connection`]). [`command`] encodes what is sent, and
//! [`answer`] parses what is received.

mod answer;
mod command;
mod connection;
mod connection_event_sender;
mod engine;

pub(crate) use engine::run;

#[cfg(test)]
mod tests;
