//! Tests of this module. Each open file stands for a process: its locks are its description's.

use super::*;
use std::fs;
use std::path::PathBuf;

fn file(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "magpiechute-test-{}-{name}.order",
        std::process::id()
    ));
    let _ = fs::remove_file(&path);
    path
}

fn open(path: &Path) -> OrderLockFile {
    OrderLockFile::open(path, Arc::default()).expect("locks")
}

fn key(n: u8) -> OrderKey {
    OrderKey::new(&[n])
}

#[test]
fn a_key_is_locked_by_one_process() {
    let path = file("one");
    let (mut old, mut new) = (open(&path), open(&path));
    assert!(old.try_lock(key(1)) && !new.try_lock(key(1)) && new.try_lock(key(2)));
    assert!(!old.try_lock(key(2)));
    old.unlock(key(1));
    assert!(new.try_lock(key(1)) && !old.try_lock(key(1)));
    let _ = fs::remove_file(&path);
}

/// Many keys take one descriptor and no room in the file.
#[test]
fn the_file_stays_small() {
    let path = file("small");
    let mut locks = open(&path);
    let keys: Vec<OrderKey> = (0..1024u32)
        .map(|n| OrderKey::new(&n.to_be_bytes()))
        .collect();
    assert!(keys.iter().all(|key| locks.try_lock(*key)));
    assert!(fs::metadata(&path).expect("file").len() <= PLACES as u64);
    let mut other = open(&path);
    assert!(!keys.iter().any(|key| other.try_lock(*key)));
    let _ = fs::remove_file(&path);
}

#[test]
fn processes_see_each_other_and_how_one_ended() {
    let path = file("ends");
    let mut old = open(&path);
    assert_eq!(old.live_peers(), 0);
    let (mut new, mut third) = (open(&path), open(&path));
    let places = [1 << old.place, 1 << new.place, 1 << third.place];
    assert_eq!(old.live_peers(), places[1] | places[2]);
    assert_eq!(third.live_peers(), places[0] | places[1]);
    assert!(old.try_lock(key(1)) && old.try_lock(key(2)));
    old.unlock(key(1));
    drop(old);
    assert_eq!(third.live_peers(), places[1]);
    assert!(third.may_have_held_at_exit(places[0]), "it held a key");
    assert!(new.try_lock(key(2)), "which is free");
    new.unlock(key(2));
    drop(new);
    assert_eq!(third.live_peers(), 0);
    assert!(
        !third.may_have_held_at_exit(places[1])
            && third.may_have_held_at_exit(places[0] | places[1])
    );
    let _ = fs::remove_file(&path);
}

/// One that starts after a kill takes note of it, as long as nobody has ended as planned since.
#[test]
fn a_kill_before_the_start_is_noticed() {
    let path = file("kill");
    let mut first = open(&path);
    assert!(!first.may_be_left_behind() && first.try_lock(key(1)));
    let beside = open(&path);
    assert!(!beside.may_be_left_behind(), "the first one lives");
    drop(first);
    let second = open(&path);
    assert!(second.may_be_left_behind());
    drop((beside, second));
    assert!(!open(&path).may_be_left_behind());
    let _ = fs::remove_file(&path);
}

/// Guard: a file that holds anything else counts as an end with keys, and one that is too long harms nothing.
#[test]
fn a_spoilt_file_makes_keys_rest() {
    let path = file("spoilt");
    fs::write(&path, "?".repeat(1000)).expect("file");
    let mut locks = open(&path);
    let nobodys = (0..PLACES)
        .find(|place| *place != locks.place)
        .expect("a place");
    assert!(
        locks.live_peers() == 0
            && locks.may_have_held_at_exit(1 << nobodys)
            && locks.may_be_left_behind()
    );
    assert!(locks.try_lock(key(1)));
    let _ = fs::remove_file(&path);
}

#[test]
fn places_are_bounded() {
    let path = file("places");
    let mut all: Vec<OrderLockFile> = (0..PLACES).map(|_| open(&path)).collect();
    assert!(OrderLockFile::open(&path, Arc::default()).is_err());
    assert_eq!(all[0].live_peers().count_ones(), PeerProcesses::BITS - 1);
    let _ = fs::remove_file(&path);
}
