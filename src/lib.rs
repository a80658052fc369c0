//! A workload manager for shared SQL engines: it decides when and on which engine each query runs,
//! and communicates with clients and engines over sockets.
//!
//! - The `decision` module makes these decisions. It is sans-I/O: [`Dispatcher::new`] takes
//!   [`Settings`] and a seed, and [`Dispatcher::handle`] takes the time and one [`Event`] and
//!   appends [`Action`]s. It reads no clock and starts no thread, and two dispatchers share no
//!   state.
//! - [`core`] owns the requests and one dispatcher. It opens no socket and is independent of wire
//!   formats.
//! - One module communicates with each kind of peer: `clients`, `engines`, [`discovery`], `admin`,
//!   `snmp` and `hot_restart`.
//! - [`node`] creates and connects all these parts from a [`node_config`] and an
//!   [`operator_config`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
pub mod attempt;
mod clients;
pub mod command;
pub mod core;
mod decision;
pub mod discovery;
mod engines;
mod hot_restart;
mod lifecycle;
pub mod limits;
pub mod log;
pub mod metrics;
mod net;
pub mod node;
pub mod node_config;
pub mod operator_config;
pub mod retry_policy;
mod rows;
pub mod settings_json;
pub mod signals;
mod snmp;
mod sql;
pub mod subset;

pub use decision::*;

/// Compiles the README's example as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
