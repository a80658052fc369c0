//! Hot restart: a successor process starts while the process that it replaces still serves, and for that time the two
//! are one workload manager.
//!
//! Both meet in a folder that the platform shares between them. This module owns that folder's files:
//!
//! - the lock files of the process slots, by which each process sees whether its peer is running ([`peer_process`]);
//! - the stored state, which records the manual ejections of engines ([`stored_state`], [`state_store`]);
//! - the locks on order keys, which keep the order of a key across both processes ([`order_lock_file`]).
//!
//! [`peer_sync`] holds the actor that keeps the two processes in agreement. `node` opens everything at the start;
//! `admin` records manual ejections through [`StateWriter`].

mod order_lock_file;
mod peer_process;
mod peer_sync;
mod state_store;
mod stored_state;

pub(crate) use order_lock_file::open_order_locks;
pub(crate) use peer_sync::{PeerSync, StateWriter};
pub(crate) use state_store::StateStore;
pub(crate) use stored_state::ManualEjection;

use std::path::{Path, PathBuf};

/// The path of a file of the workload manager `name` in the shared folder. Only ASCII letters and digits of the name
/// are used, so that it cannot lead out of the folder.
fn shared_file(folder: &Path, name: &str, extension: &str) -> PathBuf {
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    folder.join(format!("magpiechute-{name}.{extension}"))
}

#[cfg(test)]
mod tests;
