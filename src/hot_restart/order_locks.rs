//! Locks on order keys in the folder that the processes of one workload manager share. One file serves all: a key is a
//! byte of it by the key's hash, far past the file's end, and locked as an open file description's range. So any number
//! of keys takes one descriptor, a lock ends with its process whatever ends that, and no call waits.
//!
//! The first bytes are the places of the processes that live. They are locked over the same description, as the system
//! drops all of a dead process's locks in one step: a key that was found free, and its holder's place still locked,
//! was unlocked by a process that lives. A place's byte tells, once its process has gone, whether that held a key at its
//! end.

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

/// Places for processes: two live in an upgrade. Each begins at the one of its id, so that a place is hardly taken again
/// before its end was noticed.
const PLACES: i64 = PeerProcesses::BITS as i64;

/// What a place's byte says: nobody had it yet, its process may hold keys, or it ended without any.
const UNUSED: u8 = 0;
const AT_WORK: u8 = b'1';
const ENDED_CLEAN: u8 = b'0';

/// The file, with this process's place in it.
pub(crate) struct OrderLockFile {
    file: File,
    place: i64,
    held: usize,
    /// Places whose processes were gone before this one started, and had ended with keys. They are marked clean at this
    /// one's end, when every other process that lives has long noticed.
    left_behind: PeerProcesses,
    metrics: Arc<Metrics>,
}

impl OrderLockFile {
    /// Opens the file and takes a place. Errors: the file cannot be opened or locked, or every place is taken.
    pub(crate) fn open(path: &Path, metrics: Arc<Metrics>) -> io::Result<OrderLockFile> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let first = i64::from(std::process::id()) % PLACES;
        for place in (0..PLACES).map(|n| (first + n) % PLACES) {
            if set(&file, libc::F_WRLCK, place)? {
                let mut locks = OrderLockFile {
                    file,
                    place,
                    held: 0,
                    left_behind: 0,
                    metrics,
                };
                // What the place's former process left is this one's to take note of.
                let free = !locks.live_peers();
                locks.left_behind = locks.unclean(free);
                locks.file.write_all_at(&[AT_WORK], place as u64)?;
                return Ok(locks);
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "every place for a process is taken",
        ))
    }

    /// Those of these places whose last process may have held a key at its end.
    fn unclean(&self, places: PeerProcesses) -> PeerProcesses {
        let mut bytes = [0; PLACES as usize];
        let read = self.file.read_at(&mut bytes, 0).unwrap_or_default();
        let unclean = |place: usize| {
            places >> place & 1 == 1 && !matches!(bytes[place], UNUSED | ENDED_CLEAN)
        };
        (0..read)
            .filter(|place| unclean(*place))
            .map(|place| 1 << place)
            .sum()
    }

    /// Adds to `found` the places from `first` up to `end` that other processes hold.
    fn add_others(&self, first: i64, end: i64, found: &mut PeerProcesses) {
        if first >= end {
            return;
        }
        let mut range = range(libc::F_WRLCK, first, end - first);
        match fcntl(&self.file, FcntlArg::F_OFD_GETLK(&mut range)) {
            Ok(_) if range.l_type == libc::F_UNLCK as libc::c_short => {}
            Ok(_) => {
                let at = range.l_start.clamp(first, end - 1);
                *found |= 1 << at;
                self.add_others(first, at, found);
                self.add_others(at + 1, end, found);
            }
            Err(_) => self.metrics.state_errors.increment(),
        }
    }
}

impl OrderLocks for OrderLockFile {
    fn try_lock(&mut self, key: OrderKey) -> bool {
        // Guard: where the system can keep no further lock, requests go on as without a folder.
        let locked = set(&self.file, libc::F_WRLCK, byte_of(key)).unwrap_or_else(|_| {
            self.metrics.state_errors.increment();
            true
        });
        self.held += usize::from(locked);
        locked
    }

    fn unlock(&mut self, key: OrderKey) {
        self.held = self.held.saturating_sub(1);
        if set(&self.file, libc::F_UNLCK, byte_of(key)).is_err() {
            self.metrics.state_errors.increment();
        }
    }

    fn live_peers(&mut self) -> PeerProcesses {
        let mut found = 0;
        self.add_others(0, PLACES, &mut found);
        found
    }

    fn may_have_held_at_exit(&mut self, gone: PeerProcesses) -> bool {
        self.unclean(gone) != 0
    }

    fn may_be_left_behind(&self) -> bool {
        self.left_behind != 0
    }
}

impl Drop for OrderLockFile {
    fn drop(&mut self) {
        // Guard: what cannot be written leaves the byte as it is, and costs others a rest of their keys.
        let clean = |place: i64| _ = self.file.write_all_at(&[ENDED_CLEAN], place as u64);
        for place in
            (0..PLACES).filter(|place| self.left_behind >> place & 1 == 1 && *place != self.place)
        {
            if matches!(set(&self.file, libc::F_WRLCK, place), Ok(true)) {
                clean(place);
            }
        }
        if self.held == 0 {
            clean(self.place);
        }
    }
}

/// The byte that stands for a key; two keys of one byte run in turn as well.
fn byte_of(key: OrderKey) -> i64 {
    PLACES + (key.get() >> 2) as i64
}

/// Sets a lock on one byte, or ends it; false where another process holds it.
fn set(file: &File, kind: libc::c_int, at: i64) -> io::Result<bool> {
    match fcntl(file, FcntlArg::F_OFD_SETLK(&range(kind, at, 1))) {
        Ok(_) => Ok(true),
        Err(Errno::EAGAIN | Errno::EACCES) => Ok(false),
        Err(problem) => Err(problem.into()),
    }
}

fn range(kind: libc::c_int, first: i64, length: i64) -> libc::flock {
    let (l_type, l_whence) = (kind as libc::c_short, libc::SEEK_SET as libc::c_short);
    libc::flock {
        l_type,
        l_whence,
        l_start: first,
        l_len: length,
        l_pid: 0,
    }
}

#[cfg(test)]
mod tests;
