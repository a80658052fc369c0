//! The platform's front end: MessagePack-RPC over TCP.
//!
//! - [`listener`] accepts connections while slots are available.
//! - [`connection`] is the actor of one connection, which alone owns the connection's state.
//! - [`input`] parses messages from the received bytes, which [`input_buffer`] holds.
//! - [`call`] converts a call into a request for the core.
//! - [`open_requests`] holds the requests that are not answered yet, and receives the core's answers.
//! - [`answers`] encodes answers and queues them until the client reads them.
//! - [`errors`] lists why a connection is closed or no more messages are read from it.
//! - [`silence_limits`] sets how long the connection waits for a silent client.

mod answers;
mod call;
mod connection;
mod errors;
mod input;
mod input_buffer;
mod listener;
mod open_requests;
mod silence_limits;

pub(crate) use listener::listen;

#[cfg(test)]
mod tests;
