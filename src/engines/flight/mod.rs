//! Engines that speak Arrow Flight SQL.
//!
//! One actor an engine ([`engine`]), one HTTP/2 connection to it ([`http2_connection`]), one task an attempt
//! ([`attempt`]). Aborting a task resets its stream, which cancels the attempt; the attempt has ended once that reset
//! is proven to have been sent ([`cancellation`]).

mod attempt;
mod attempt_failure;
mod call;
mod cancellation;
mod connection_driver;
mod connection_signals;
mod engine;
mod engine_link;
mod flush_tracking_socket;
mod http2_connection;
mod metadata;
mod result_collector;

pub(crate) use engine::run;

#[cfg(test)]
mod tests;
