//! magpiechute decides, for a query gateway, when and on which shared SQL engine each query runs.
//!
//! The library is sans-I/O: [`Gateway::new`] takes [`Settings`] and a seed, and [`Gateway::handle`] takes the
//! time and one [`Event`] and appends [`Action`]s. It reads no clock, starts no thread, and two gateways share
//! nothing. All decisions are in the `choice` module; the types it speaks are in the `interface` module.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
mod interface;

pub use choice::Gateway;
pub use interface::*;

/// The README's example, kept compiling.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
