//! The Arrow Flight SQL front end.
//!
//! GetFlightInfo only plans a query: it checks the call and returns a ticket. The request itself is
//! opened when DoGet sends the ticket back, or when DoPut sends an update.
//!
//! - [`listener`] accepts connections while slots are available; [`tracked_connection`] wraps one
//!   accepted connection.
//! - [`service`] implements the gRPC service: it plans queries, runs planned queries and runs
//!   updates.
//! - [`statement_call`] checks a call's metadata, [`command`] decodes its command, and
//!   [`grpc_timeout`] parses its timeout.
//! - [`tickets`] stores planned queries until their results are fetched.
//! - [`pending_response`] passes a request to the core and waits for its answer; [`result_stream`]
//!   sends the result to the client.
//! - [`status`] maps errors and answers to gRPC statuses.

mod command;
mod grpc_timeout;
mod listener;
pub(crate) mod metadata_keys;
mod pending_response;
mod result_stream;
mod service;
mod statement_call;
mod status;
mod tickets;
mod tracked_connection;

pub(crate) use listener::listen;
