//! Tests of the lock file of the order keys. Each open file represents one process, because the
//! locks belong to the open file description.

use super::*;
use std::fs;
use std::path::PathBuf;

fn lock_file_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "magpiechute-test-{}-{name}.order",
        std::process::id()
    ));
    let _ = fs::remove_file(&path);
    path
}

fn open_locks(path: &Path) -> OrderLockFile {
    OrderLockFile::open(path, Arc::default()).expect("locks")
}

fn key(number: u8) -> OrderKey {
    OrderKey::new(&[number])
}

#[test]
fn a_locked_key_is_refused_to_other_processes() {
    let path = lock_file_path("one");
    let (mut old, mut new) = (open_locks(&path), open_locks(&path));
    assert!(old.try_lock(key(1)) && !new.try_lock(key(1)) && new.try_lock(key(2)));
    assert!(!old.try_lock(key(2)));
    old.unlock(key(1));
    assert!(new.try_lock(key(1)) && !old.try_lock(key(1)));
    let _ = fs::remove_file(&path);
}

/// Any number of locked keys needs one descriptor and no space in the file.
#[test]
fn a_thousand_locked_keys_take_no_space_in_the_file() {
    let path = lock_file_path("small");
    let mut locks = open_locks(&path);
    let keys: Vec<OrderKey> = (0..1024u32)
        .map(|n| OrderKey::new(&n.to_be_bytes()))
        .collect();
    assert!(keys.iter().all(|key| locks.try_lock(*key)));
    assert!(fs::metadata(&path).expect("file").len() <= PROCESS_SLOTS as u64);
    let mut other = open_locks(&path);
    assert!(!keys.iter().any(|key| other.try_lock(*key)));
    let _ = fs::remove_file(&path);
}

#[test]
fn peers_detect_a_process_that_exits_with_a_locked_key() {
    let path = lock_file_path("exit");
    let mut old = open_locks(&path);
    assert_eq!(old.live_peers(), 0);
    let (mut new, mut third) = (open_locks(&path), open_locks(&path));
    let slots = [1 << old.own_slot, 1 << new.own_slot, 1 << third.own_slot];
    assert_eq!(old.live_peers(), slots[1] | slots[2]);
    assert_eq!(third.live_peers(), slots[0] | slots[1]);
    assert!(old.try_lock(key(1)) && old.try_lock(key(2)));
    old.unlock(key(1));
    drop(old);
    assert_eq!(third.live_peers(), slots[1]);
    assert!(
        third.may_have_held_keys_at_exit(slots[0]),
        "the process held a key when it exited"
    );
    assert!(new.try_lock(key(2)), "the key is free");
    new.unlock(key(2));
    drop(new);
    assert_eq!(third.live_peers(), 0);
    assert!(
        !third.may_have_held_keys_at_exit(slots[1])
            && third.may_have_held_keys_at_exit(slots[0] | slots[1])
    );
    let _ = fs::remove_file(&path);
}

/// A process that starts after a kill detects the exit with a locked key, until a process that was
/// started after the kill has exited gracefully.
#[test]
fn an_earlier_exit_with_a_locked_key_is_detected_until_a_clean_exit() {
    let path = lock_file_path("kill");
    let mut first = open_locks(&path);
    assert!(!first.earlier_process_may_have_held_keys() && first.try_lock(key(1)));
    let peer = open_locks(&path);
    assert!(
        !peer.earlier_process_may_have_held_keys(),
        "the first process is running"
    );
    drop(first);
    let second = open_locks(&path);
    assert!(second.earlier_process_may_have_held_keys());
    drop((peer, second));
    assert!(!open_locks(&path).earlier_process_may_have_held_keys());
    let _ = fs::remove_file(&path);
}

/// A slot with unknown content counts as the exit of a process with locked keys. A file that is
/// longer than its slots is harmless.
#[test]
fn unknown_slot_content_counts_as_an_exit_with_keys() {
    let path = lock_file_path("unknown-content");
    fs::write(&path, "?".repeat(1000)).expect("file");
    let mut locks = open_locks(&path);
    let unused = (0..PROCESS_SLOTS)
        .find(|slot| *slot != locks.own_slot)
        .expect("a slot");
    assert!(
        locks.live_peers() == 0
            && locks.may_have_held_keys_at_exit(1 << unused)
            && locks.earlier_process_may_have_held_keys()
    );
    assert!(locks.try_lock(key(1)));
    let _ = fs::remove_file(&path);
}

#[test]
fn opening_fails_when_every_slot_is_locked() {
    let path = lock_file_path("slots");
    let mut all: Vec<OrderLockFile> = (0..PROCESS_SLOTS).map(|_| open_locks(&path)).collect();
    assert!(OrderLockFile::open(&path, Arc::default()).is_err());
    assert_eq!(all[0].live_peers().count_ones(), PeerProcesses::BITS - 1);
    let _ = fs::remove_file(&path);
}
