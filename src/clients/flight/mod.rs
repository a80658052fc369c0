//! The Arrow Flight SQL front end.
//!
//! GetFlightInfo only plans a query: it checks the call and returns a ticket. The request itself is
//! opened when DoGet sends the ticket back, or when DoPut sends an update.
//!
//! - [`listener`] accepts connections while slots are available; [`connection`] serves one of them
//!   and closes it.
//! - [`client_connection`] holds the state of a connection, above all which answers are not written
//!   yet; [`tracked_connection`] wraps its socket, and [`frame_scanner`] finds the frames on it.
//! - [`service`] implements the gRPC service: it plans queries, runs planned queries and runs
//!   updates.
//! - [`statement_call`] checks a call's metadata, [`command`] decodes its command, and
//!   [`grpc_timeout`] parses its timeout.
//! - [`tickets`] stores planned queries until their results are fetched.
//! - [`call_input`] counts the memory of a call's metadata and body.
//! - [`open_call`] keeps a call open until the gRPC server has taken its answer; [`answer_body`] is
//!   the body of that answer.
//! - [`pending_response`] passes a request to the core and waits for its answer; [`result_stream`]
//!   sends the result to the client.
//! - [`status`] maps errors and answers to gRPC statuses.

mod answer_body;
mod call_input;
mod client_connection;
mod command;
mod connection;
mod frame_scanner;
mod grpc_timeout;
mod listener;
pub(crate) mod metadata_keys;
mod open_call;
mod pending_response;
mod result_stream;
mod service;
mod statement_call;
mod status;
mod tickets;
mod tracked_connection;

pub(crate) use listener::listen;
