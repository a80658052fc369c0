//! The Arrow Flight SQL front end.
//!
//! GetFlightInfo for a query only plans: it checks the call and hands out a ticket. A request is accepted when DoGet
//! brings the ticket, or when DoPut brings an update.
//!
//! - [`listener`] accepts connections while slots are available; [`tracked_connection`] is one of them.
//! - [`service`] is the gRPC service: planning, fetching and updating.
//! - [`statement_call`] checks a call's metadata, [`command`] decodes its command, [`grpc_timeout`] its deadline.
//! - [`tickets`] holds planned queries until they are fetched.
//! - [`pending_response`] passes a request to the core and waits for its answer; [`result_stream`] sends a result.
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
