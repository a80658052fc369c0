//! A workload manager for shared SQL engines: it decides when and on which engine each query runs, and serves clients
//! and engines on real sockets.
//!
//! - The `decision` module decides. It is sans-I/O: [`Dispatcher::new`] takes [`Settings`] and a seed, and
//!   [`Dispatcher::handle`] takes the time and one [`Event`] and appends [`Action`]s. It reads no clock and starts no
//!   thread, and two dispatchers share nothing.
//! - [`core`] owns the requests and one dispatcher. It knows no wire format and opens no socket.
//! - Around it stands one module for each kind of peer: `clients`, `engines`, [`discovery`], `admin`, `snmp` and
//!   `hot_restart`.
//! - [`node`] puts them together from a [`node_config`] and an [`operator_config`].
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

/// The README's example, kept compiling.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
