//! The platform's front end: MessagePack-RPC over TCP, one actor for each connection.

mod connection;
mod listener;

pub(crate) use listener::listen;

#[cfg(test)]
mod tests;
