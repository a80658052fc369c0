//! Locks on order keys, shared by the processes of one workload manager through one file.
//!
//! The hash of a key selects a byte far past the end of the file. To lock the key, a process takes
//! an open-file-description lock on that byte. Any number of keys therefore needs one descriptor
//! and no disk space, the operating system releases the locks of a process however it exits, and
//! no call blocks.
//!
//! The first bytes of the file are process slots. Each process keeps one slot locked until it
//! exits. It locks the slot through the same file description as its keys, because the operating
//! system releases all locks of an exited process in one step: if a key is free while the slot of
//! its former holder is still locked, a running process has unlocked the key. After a process has
//! exited, the content of its slot shows whether it may still have held keys.

use super::shared_file;
use super::spent_reference_table::SpentReferenceTable;
use crate::core::{OrderKey, OrderLocks, PeerProcesses, SharedReferences};
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

/// Number of process slots. A hot restart needs only two. With more slots, and a search that starts
/// at a slot derived from the process id, a slot is rarely reused before the peers have detected
/// that its former process exited.
const PROCESS_SLOTS: i64 = PeerProcesses::BITS as i64;

/// Content of a slot that has never been used.
const SLOT_UNUSED: u8 = 0;
/// Content of a slot whose process may hold keys, or may have held keys when it exited.
const SLOT_IN_USE: u8 = b'1';
/// Content of a slot whose process held no key when it exited.
const SLOT_EXITED_CLEANLY: u8 = b'0';

/// An error while opening the lock file and locking a process slot.
#[derive(Debug, Error)]
pub(crate) enum OrderLockError {
    /// The file cannot be opened, read, written or locked.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Every process slot is locked by a running process.
    #[error("all {PROCESS_SLOTS} process slots are locked by running processes")]
    NoFreeSlot,
}

/// What the core shares with the other processes of this workload manager. Both parts use one file.
pub(crate) struct SharedRequestState {
    pub(crate) order_locks: Box<dyn OrderLocks>,
    pub(crate) references: Box<dyn SharedReferences>,
}

/// The open lock file. The slot of this process is locked.
struct OrderLockFile {
    file: Arc<File>,
    own_slot: i64,
    /// Number of keys that this process has locked.
    locked_keys: usize,
    /// Slots whose processes exited before this one started and may have held keys at their exit.
    /// This process marks the slots as exited cleanly at its own exit, because every other running
    /// process has detected those exits by then.
    earlier_exits_with_keys: PeerProcesses,
    metrics: Arc<Metrics>,
}

/// Opens the locks on order keys of the workload manager `name` in the shared folder, and the table
/// of spent references in the same file.
///
/// # Errors
///
/// See [`OrderLockError`].
pub(crate) fn open_order_locks(
    folder: &Path,
    name: &str,
    metrics: Arc<Metrics>,
) -> Result<SharedRequestState, OrderLockError> {
    let path = shared_file(folder, name, "order");
    let locks = OrderLockFile::open(&path, metrics.clone())?;
    let references = SpentReferenceTable::new(locks.file.clone(), metrics);
    Ok(SharedRequestState {
        order_locks: Box::new(locks),
        references: Box::new(references),
    })
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
            file: Arc::new(file),
            own_slot,
            locked_keys: 0,
            earlier_exits_with_keys: 0,
            metrics,
        };
        // The own slot counts as free: its former process may have exited with keys as well.
        let free_slots = !locks.live_peers();
        locks.earlier_exits_with_keys = locks.slots_exited_with_keys(free_slots);
        locks.file.write_all_at(&[SLOT_IN_USE], own_slot as u64)?;
        Ok(locks)
    }

    /// Returns those of the given slots whose last process may have held a key when it exited.
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

    /// Adds the slots that other processes have locked to `locked_slots`, from `first` up to, but
    /// not including, `end`. The operating system reports one lock of a range at a time, so the
    /// ranges before and after a reported lock are searched recursively.
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

    /// Marks a slot as exited cleanly. If the write fails, the slot keeps its content, and other
    /// processes wait longer than necessary before they use the keys of the exited process.
    fn mark_exited_cleanly(&self, slot: i64) {
        let _ = self.file.write_all_at(&[SLOT_EXITED_CLEANLY], slot as u64);
    }
}

impl OrderLocks for OrderLockFile {
    fn try_lock(&mut self, key: OrderKey) -> bool {
        // If the operating system cannot store another lock, the request continues without one, as
        // it does without a shared folder.
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
            // If the lock is not granted, a running process has taken the slot in the meantime.
            if matches!(set_byte_lock(&self.file, libc::F_WRLCK, slot), Ok(true)) {
                self.mark_exited_cleanly(slot);
            }
        }
        if self.locked_keys == 0 {
            self.mark_exited_cleanly(self.own_slot);
        }
    }
}

/// Locks the first free slot and returns its number. The search starts at the slot that the process
/// id selects.
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

/// Returns true if the bit of this slot is set.
fn contains_slot(slots: PeerProcesses, slot: i64) -> bool {
    slots >> slot & 1 == 1
}

/// Returns the offset of the byte that is locked for a key. Two keys with the same byte share one
/// lock, so their requests do not run at the same time.
fn key_byte(key: OrderKey) -> i64 {
    PROCESS_SLOTS + (key.get() >> 2) as i64
}

/// Sets (`F_WRLCK`) or releases (`F_UNLCK`) the lock on one byte. Returns false if another process
/// holds the lock.
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

/// Describes a lock of this type on `length` bytes, starting at the offset `first`.
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
