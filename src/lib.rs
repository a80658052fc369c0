//! magpiechute decides, for a workload manager, when and on which shared SQL engine each query runs, and is that
//! workload manager on real sockets.
//!
//! The decisions are sans-I/O: [`Dispatcher::new`] takes [`Settings`] and a seed, and [`Dispatcher::handle`] takes the
//! time and one [`Event`] and appends [`Action`]s. It reads no clock, starts no thread, and two dispatchers share
//! nothing. All decisions, and the types of their events and actions, are in the `decision` module.
//!
//! Round them stands the [`core`], which knows no wire, and round that one module for each kind of peer.
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
