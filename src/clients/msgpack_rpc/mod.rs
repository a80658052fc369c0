//! The platform's front end: MessagePack-RPC over TCP.
//!
//! - [`listener`] accepts connections while slots are available.
//! - [`connection`] is one connection's actor. It alone owns the connection's state.
//! - [`input`] buffers what a client sent and reads messages out of it.
//! - [`call`] turns a call into a request for the core.
//! - [`answers`] encodes answers and queues them until the client reads them.

mod answers;
mod call;
mod connection;
mod errors;
mod input;
mod listener;
mod silence_limits;

pub(crate) use listener::listen;

#[cfg(test)]
mod tests;
