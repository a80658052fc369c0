//! Tests of the actor's view of its peer process.

use super::{
    PREDECESSOR_CAPACITY_DIVISOR, PeerSync, SOLE_CAPACITY_DIVISOR, SUCCESSOR_CAPACITY_DIVISOR,
};
use crate::core::{Clock, Handle};
use crate::hot_restart::StateStore;
use crate::hot_restart::peer_process::OwnState;
use crate::hot_restart::tests::{empty_folder, open_store, run_async};
use crate::lifecycle::Lifecycle;
use crate::limits::SharedLimit;
use std::fs;
use std::path::Path;
use std::sync::Arc;

/// Opens the store of a process that accepts clients.
async fn serving_process(folder: &Path) -> StateStore {
    let mut store = open_store(folder, &Arc::default()).await;
    store.set_own_state(OwnState::Serving);
    store
}

async fn peer_sync(folder: &Path) -> PeerSync {
    let core = Handle::new(1, Clock::new()).0;
    let store = open_store(folder, &Arc::default()).await;
    let limits = store.limits().clone();
    PeerSync::new(store, core, limits, &Lifecycle::new())
}

/// Guards against two processes that both take themselves for the successor, and together use more
/// than all of the budget on engines that are warming up.
#[test]
fn a_successor_is_the_predecessor_in_the_next_hot_restart() {
    let folder = empty_folder("in-a-row");
    run_async(async {
        let first = serving_process(&folder).await;
        let mut second = peer_sync(&folder).await;
        second.synchronize().await;
        assert_eq!(second.capacity_divisor(), SUCCESSOR_CAPACITY_DIVISOR);
        drop(first);
        second.synchronize().await;
        assert_eq!(second.capacity_divisor(), SOLE_CAPACITY_DIVISOR);
        let _third = serving_process(&folder).await;
        second.synchronize().await;
        assert_eq!(second.capacity_divisor(), PREDECESSOR_CAPACITY_DIVISOR);
    });
    let _ = fs::remove_dir_all(&folder);
}

/// A peer takes its share of the limits, and of the budget, once it accepts clients.
#[test]
fn a_peer_takes_its_share_once_it_accepts_clients() {
    let folder = empty_folder("starting");
    run_async(async {
        let mut old = peer_sync(&folder).await;
        let limit = SharedLimit::new(&old.limits, 100);
        let mut new = open_store(&folder, &Arc::default()).await;
        old.synchronize().await;
        assert_eq!(
            (limit.capacity(), old.capacity_divisor()),
            (100, SOLE_CAPACITY_DIVISOR)
        );
        assert_eq!(old.store.metrics().peer_processes.get(), 1);
        new.set_own_state(OwnState::Serving);
        old.synchronize().await;
        assert_eq!(
            (limit.capacity(), old.capacity_divisor()),
            (40, PREDECESSOR_CAPACITY_DIVISOR)
        );
        drop(new);
        old.synchronize().await;
        assert_eq!(
            (limit.capacity(), old.capacity_divisor()),
            (100, SOLE_CAPACITY_DIVISOR)
        );
        assert_eq!(old.store.metrics().peer_processes.get(), 0);
    });
    let _ = fs::remove_dir_all(&folder);
}
