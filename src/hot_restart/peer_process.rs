//! Detection of the peer process by file locks.
//!
//! Each process keeps one of two slot files locked until it exits; the operating system releases
//! the lock however the process exits. While the other slot file is locked, the peer is running.

use super::shared_file;
use crate::limits::Limits;
use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;
use tokio::time::sleep;

/// File name extensions of the slot files. At most two processes take part in a hot restart.
const SLOT_FILE_EXTENSIONS: [&str; 2] = ["place-0", "place-1"];

/// The slot files of this process and of its peer.
pub(super) struct PeerDetector {
    /// Locked until this process exits. `None` if no slot could be locked.
    _own_slot: Option<File>,
    /// The other slot file. `None` if both were already locked: then other processes are certainly
    /// running.
    peer_slot: Option<File>,
}

impl PeerDetector {
    /// Opens the slot files and locks one that is free.
    ///
    /// # Errors
    ///
    /// Returns an error if a slot file cannot be opened or created.
    pub(super) async fn open(folder: &Path, name: &str, limits: &Limits) -> io::Result<Self> {
        let mut slots = Vec::with_capacity(SLOT_FILE_EXTENSIONS.len());
        for extension in SLOT_FILE_EXTENSIONS {
            slots.push(open_for_locking(&shared_file(folder, name, extension))?);
        }
        let own_slot = claim_process_slot(&mut slots, limits).await;
        let peer_slot = own_slot.as_ref().and_then(|_| slots.pop());
        Ok(PeerDetector {
            _own_slot: own_slot,
            peer_slot,
        })
    }

    /// Returns true if another process of this workload manager is running.
    pub(super) fn peer_is_running(&self) -> bool {
        let Some(peer_slot) = &self.peer_slot else {
            return true;
        };
        match peer_slot.try_lock() {
            Ok(()) => {
                let _ = peer_slot.unlock();
                false
            }
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(_)) => false,
        }
    }
}

/// Locks one of the slot files and removes it from the list. Retries, because a running peer
/// briefly locks the free slot file each time it checks whether this process is running.
async fn claim_process_slot(slots: &mut Vec<File>, limits: &Limits) -> Option<File> {
    for _ in 0..limits.state_lock_attempts {
        let free_index = slots.iter().position(|slot| slot.try_lock().is_ok());
        if let Some(index) = free_index {
            return Some(slots.remove(index));
        }
        sleep(limits.state_lock_retry_delay).await;
    }
    None
}

/// Opens a file that is used only as a lock. Creates it if it does not exist.
pub(super) fn open_for_locking(path: &Path) -> io::Result<File> {
    File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
}
