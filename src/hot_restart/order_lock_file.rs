//! Locks on order keys, shared by the processes of one workload manager through one file.
//!
//! Each key stands for one byte, found by the key's hash far past the file's end, and a lock on a key is a lock on that
//! byte's range held by the open file description. So any number of keys takes one descriptor and no space on disk, the
//! system ends a lock with its process however that ends, and no call blocks.
//!
//! The first bytes are process slots, each locked for as long as its process lives. Slots are locked through the same
//! file description as the keys, because the system drops all locks of a dead process in one step: where a key is free
//! and the slot of its holder is still locked, the key was unlocked by a process that is running. After a process has
//! ended, the content of its slot says whether it held keys at its end.

use super::shared_file;
use crate::core::{OrderKey, OrderLocks, PeerProcesses};
use crate::metrics::Metrics;
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// Number of process slots. Two processes run during a hot restart; a process begins its search at the slot of its
/// process id, so that a slot is rarely taken again before the peers noticed its end.
const PROCESS_SLOTS: i64 = PeerProcesses::BITS as i64;

/// Content of a slot that no process has used.
const SLOT_UNUSED: u8 = 0;
/// Content of a slot whose process may hold keys.
const SLOT_IN_USE: u8 = b'1';
/// Content of a slot whose process ended without holding a key.
const SLOT_EXITED_CLEANLY: u8 = b'0';

/// Why the lock file cannot be used.
#[derive(Debug, Error)]
pub(crate) enum OrderLockError {
    /// The file cannot be opened, read, written or locked.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Every process slot is locked by a running process.
    #[error("all {PROCESS_SLOTS} process slots are taken")]
    NoFreeSlot,
}

/// The lock file, with this process's slot locked.
struct OrderLockFile {
    file: File,
    own_slot: i64,
    /// Keys that this process has locked.
    locked_keys: usize,
    /// Slots whose processes had ended with keys before this one started. They are marked as ended cleanly when this
    /// process ends, as every other running process has noticed them by then.
    earlier_exits_with_keys: PeerProcesses,
    metrics: Arc<Metrics>,
}

/// Opens the locks on order keys of the workload manager `name` in the shared folder.
///
/// # Errors
///
/// See [`OrderLockError`].
pub(crate) fn open_order_locks(
    folder: &Path,
    name: &str,
    metrics: Arc<Metrics>,
) -> Result<Box<dyn OrderLocks>, OrderLockError> {
    let path = shared_file(folder, name, "order");
    Ok(Box::new(OrderLockFile::open(&path, metrics)?))
}

impl OrderLockFile {
    /// Opens the file and locks a free slot.
    fn open(path: &Path, metrics: Arc<Metrics>) -> Result<OrderLockFile, OrderLockError> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let own_slot = claim_process_slot(&file)?;
        let mut locks = OrderLockFile {
            file,
            own_slot,
            locked_keys: 0,
            earlier_exits_with_keys: 0,
            metrics,
        };
        // This process's own slot counts as free: what its former owner left has to be noticed as well.
        let free_slots = !locks.live_peers();
        locks.earlier_exits_with_keys = locks.slots_exited_with_keys(free_slots);
        locks.file.write_all_at(&[SLOT_IN_USE], own_slot as u64)?;
        Ok(locks)
    }

    /// Those of these slots whose last process may have held a key at its end.
    fn slots_exited_with_keys(&self, slots: PeerProcesses) -> PeerProcesses {
        let mut contents = [SLOT_UNUSED; PROCESS_SLOTS as usize];
        let bytes_read = self.file.read_at(&mut contents, 0).unwrap_or_default();
        contents[..bytes_read]
            .iter()
            .enumerate()
            .filter(|(slot, _)| contains_slot(slots, *slot as i64))
            .filter(|(_, content)| !matches!(**content, SLOT_UNUSED | SLOT_EXITED_CLEANLY))
            .map(|(slot, _)| 1 << slot)
            .sum()
    }

    /// Adds to `locked_slots` the slots from `first` up to `end` that other processes have locked. The system reports one lock
    /// within a range at a time, so the parts on either side of it are searched again.
    fn add_slots_locked_by_others(&self, first: i64, end: i64, locked_slots: &mut PeerProcesses) {
        if first >= end {
            return;
        }
        let mut range = byte_range_lock(libc::F_WRLCK, first, end - first);
        match fcntl(&self.file, FcntlArg::F_OFD_GETLK(&mut range)) {
            Ok(_) if range.l_type == libc::F_UNLCK as libc::c_short => {}
            Ok(_) => {
                let slot = range.l_start.clamp(first, end - 1);
                *locked_slots |= 1 << slot;
                self.add_slots_locked_by_others(first, slot, locked_slots);
                self.add_slots_locked_by_others(slot + 1, end, locked_slots);
            }
            Err(_) => self.metrics.state_errors.increment(),
        }
    }

    /// Marks a slot as ended cleanly. Where that fails, the slot keeps its content, and others wait longer than needed
    /// before they use its keys.
    fn mark_exited_cleanly(&self, slot: i64) {
        let _ = self.file.write_all_at(&[SLOT_EXITED_CLEANLY], slot as u64);
    }
}

impl OrderLocks for OrderLockFile {
    fn try_lock(&mut self, key: OrderKey) -> bool {
        // Where the system cannot keep a further lock, requests continue as without a shared folder.
        let locked = set_byte_lock(&self.file, libc::F_WRLCK, key_byte(key)).unwrap_or_else(|_| {
            self.metrics.state_errors.increment();
            true
        });
        self.locked_keys += usize::from(locked);
        locked
    }

    fn unlock(&mut self, key: OrderKey) {
        self.locked_keys = self.locked_keys.saturating_sub(1);
        if set_byte_lock(&self.file, libc::F_UNLCK, key_byte(key)).is_err() {
            self.metrics.state_errors.increment();
        }
    }

    fn live_peers(&mut self) -> PeerProcesses {
        let mut locked_slots = 0;
        self.add_slots_locked_by_others(0, PROCESS_SLOTS, &mut locked_slots);
        locked_slots
    }

    fn may_have_held_keys_at_exit(&mut self, ended: PeerProcesses) -> bool {
        self.slots_exited_with_keys(ended) != 0
    }

    fn earlier_process_may_have_held_keys(&self) -> bool {
        self.earlier_exits_with_keys != 0
    }
}

impl Drop for OrderLockFile {
    fn drop(&mut self) {
        let slots_to_mark = (0..PROCESS_SLOTS)
            .filter(|slot| contains_slot(self.earlier_exits_with_keys, *slot))
            .filter(|slot| *slot != self.own_slot);
        for slot in slots_to_mark {
            // A slot that is locked belongs to a running process by now.
            if matches!(set_byte_lock(&self.file, libc::F_WRLCK, slot), Ok(true)) {
                self.mark_exited_cleanly(slot);
            }
        }
        if self.locked_keys == 0 {
            self.mark_exited_cleanly(self.own_slot);
        }
    }
}

/// Locks the first free slot, counted from the one of the process id.
fn claim_process_slot(file: &File) -> Result<i64, OrderLockError> {
    let first = i64::from(std::process::id()) % PROCESS_SLOTS;
    for offset in 0..PROCESS_SLOTS {
        let slot = (first + offset) % PROCESS_SLOTS;
        if set_byte_lock(file, libc::F_WRLCK, slot)? {
            return Ok(slot);
        }
    }
    Err(OrderLockError::NoFreeSlot)
}

fn contains_slot(slots: PeerProcesses, slot: i64) -> bool {
    slots >> slot & 1 == 1
}

/// The byte that stands for a key. Keys that share a byte are run one after the other as well.
fn key_byte(key: OrderKey) -> i64 {
    PROCESS_SLOTS + (key.get() >> 2) as i64
}

/// Sets or ends a lock on one byte; false where another process holds it.
fn set_byte_lock(file: &File, lock_type: libc::c_int, byte: i64) -> io::Result<bool> {
    match fcntl(
        file,
        FcntlArg::F_OFD_SETLK(&byte_range_lock(lock_type, byte, 1)),
    ) {
        Ok(_) => Ok(true),
        Err(Errno::EAGAIN | Errno::EACCES) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

/// A lock of this type on `length` bytes from `first` on.
fn byte_range_lock(lock_type: libc::c_int, first: i64, length: i64) -> libc::flock {
    libc::flock {
        l_type: lock_type as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: first,
        l_len: length,
        l_pid: 0,
    }
}

#[cfg(test)]
mod tests;
