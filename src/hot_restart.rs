//! Hot restart: a successor process starts while the process that it replaces still serves. While
//! both run, they act as one workload manager.
//!
//! The two processes share state through the files of one folder, the shared folder, which the
//! platform makes available to both. This module owns these files:
//!
//! - the lock files of the process slots, which show each process whether its peer is running
//!   ([`peer_process`]);
//! - the stored state, which records the manual ejections of engines ([`stored_state`],
//!   [`state_store`]);
//! - the lock file of the order keys, which keeps the requests of a key in order across both
//!   processes ([`order_lock_file`]). It also has the table of spent references
//!   ([`spent_reference_table`]).
//!
//! [`peer_sync`] contains the actor that exchanges state with the peer process. `node` opens the
//! files at the start; `admin` records manual ejections through [`StateWriter`].

mod order_lock_file;
mod peer_process;
mod peer_sync;
mod spent_reference_table;
mod state_store;
mod stored_state;

pub(crate) use order_lock_file::{SharedRequestState, open_order_locks};
pub(crate) use peer_sync::{PeerSync, StateWriter};
pub(crate) use state_store::StateStore;
pub(crate) use stored_state::ManualEjection;

use std::path::{Path, PathBuf};

/// Returns the path of a file of the workload manager `name` in the shared folder. Only the ASCII
/// letters and digits of the name are used, so that the path cannot leave the folder.
fn shared_file(folder: &Path, name: &str, extension: &str) -> PathBuf {
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    folder.join(format!("magpiechute-{name}.{extension}"))
}

#[cfg(test)]
mod tests;
