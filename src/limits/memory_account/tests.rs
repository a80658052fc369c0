//! Tests of memory accounts.

use super::{AccountSize, MemoryAccount, MemoryReservation};
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::limits::{Limits, PeerUse};
use std::sync::Arc;

/// An account of 1,000 bytes with this number of quotas.
fn account(owners: usize) -> Arc<MemoryAccount> {
    account_under(&limits(), owners)
}

fn limits() -> Arc<Limits> {
    let (core, _) = Handle::new(1, Clock::new());
    EngineContext::for_tests(core).limits
}

fn account_under(limits: &Arc<Limits>, owners: usize) -> Arc<MemoryAccount> {
    let size = AccountSize {
        limit_bytes: 1000,
        owners,
    };
    MemoryAccount::new(limits, size)
}

/// Lets a new owner reserve as much as it can, one byte at a time.
fn reserve_all(account: &Arc<MemoryAccount>) -> Vec<MemoryReservation> {
    let owner = account.add_owner();
    std::iter::from_fn(|| owner.reserve(1)).collect()
}

#[test]
fn an_owner_gets_its_quota_and_half_of_what_is_left() {
    let account = account(10);
    let owner = account.add_owner();
    // The quota is 50. Of the excess of 166, twice as much is left of 500.
    let mut reservation = owner.reserve(216).expect("a share");
    assert!(owner.reserve(1).is_none());
    assert!(!reservation.try_grow(217));
    assert_eq!(account.held_bytes(), 216);
    drop(reservation);
    assert_eq!(account.held_bytes(), 0);
}

/// Guards against a bystander that is refused because of what others hold.
#[test]
fn every_owner_gets_its_quota_however_much_the_others_hold() {
    let account = account(10);
    let held: Vec<_> = (0..10).map(|_| reserve_all(&account)).collect();
    assert!(held.iter().all(|reservations| reservations.len() >= 50));
    assert!(account.held_bytes() <= 1000);
}

#[test]
fn owners_without_quotas_leave_memory_for_others() {
    let account = account(0);
    let held: Vec<_> = (0..5).map(|_| reserve_all(&account)).collect();
    assert!(held.iter().all(|reservations| !reservations.is_empty()));
    assert!(account.held_bytes() <= 1000);
}

#[test]
fn data_holds_its_memory_until_its_last_slice_is_dropped() {
    let account = account(1);
    let owner = account.add_owner();
    let reservation = owner.reserve(100).expect("memory");
    let data = reservation.attach_to(vec![b'x'; 100]);
    let slice = data.slice(10..20);
    drop((data, owner));
    assert_eq!(account.held_bytes(), 100);
    drop(slice);
    assert_eq!(account.held_bytes(), 0);
}

/// While a peer process runs, this process has two fifths of the limit.
#[test]
fn peer_processes_share_the_limit() {
    let limits = limits();
    let account = account_under(&limits, 0);
    limits.set_peer_use(PeerUse::Share);
    assert!(account.add_owner().reserve(134).is_none());
    assert!(account.add_owner().reserve(133).is_some());
}

/// An owner above its share waits until it has released enough, and never for others.
#[tokio::test]
async fn owner_above_its_share_waits_for_its_own_releases_only() {
    let account = account(0);
    let (owner, other) = (account.add_owner(), account.add_owner());
    let mut large = MemoryReservation::new(&owner);
    let mut of_other = MemoryReservation::new(&other);
    large.set(600);
    of_other.set(400);
    let waiting = tokio::spawn(async move { owner.within_share().await });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    large.set(0);
    waiting.await.expect("the wait ends");
    drop(of_other);
    other.within_share().await;
}

/// Guards against an owner that goes on waiting although the end of the peer process has raised its
/// share.
#[tokio::test]
async fn owner_above_its_share_is_woken_by_the_end_of_the_peer_process() {
    let limits = limits();
    let account = account_under(&limits, 0);
    limits.set_peer_use(PeerUse::Share);
    let owner = account.add_owner();
    let mut large = MemoryReservation::new(&owner);
    large.set(300);
    let waiting = tokio::spawn(async move { owner.within_share().await });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished(), "300 of 400 bytes are above a share");
    limits.set_peer_use(PeerUse::Nothing);
    tokio::task::yield_now().await;
    assert!(waiting.is_finished());
}
