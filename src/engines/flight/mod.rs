//! Engines that speak Arrow Flight SQL.
//!
//! Each engine has one actor ([`engine`]) and one HTTP/2 connection ([`http2_connection`]). Each
//! attempt runs in a task of its own ([`attempt`]), which may send several calls
//! ([`attempt_calls`]). Aborting the task resets the HTTP/2 stream,
//! which cancels the attempt. The end of the attempt is reported once it is confirmed that the
//! reset was sent ([`cancellation`]).

mod attempt;
mod attempt_calls;
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
mod result_check;
mod result_collector;

pub(crate) use engine::run;

#[cfg(test)]
mod tests;
