//! Tests of the table of connection slots.

use super::*;
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::engines::connection_load::ConnectionUse;
use crate::limits::PeerUse;
use futures::FutureExt;

/// Creates a table; returns it with its numbers of shared and reserved slots.
fn slots() -> (Arc<ConnectionSlots>, usize, usize) {
    let context = EngineContext::for_tests(Handle::new(1, Clock::new()).0);
    let shared = context.limits.engine_connections;
    let reserved = context.limits.engine_connections_reserved;
    (context.slots, shared, reserved)
}

fn busy_load(since_ms: f64) -> Arc<ConnectionLoad> {
    let load = Arc::<ConnectionLoad>::default();
    load.begin_attempt(ConnectionUse::Shared, since_ms);
    load
}

/// Only engines without a connection get a reserved slot, and a busy connection is not evicted.
#[test]
fn reserved_slots_are_for_first_connections_and_busy_ones_are_not_evicted() {
    let (slots, shared, reserved) = slots();
    let shared_slots: Vec<_> = (0..shared)
        .map(|_| {
            slots
                .acquire(&busy_load(1.0), SlotPurpose::AdditionalConnection)
                .expect("a slot")
        })
        .collect();
    assert!(
        slots
            .acquire(&busy_load(1.0), SlotPurpose::AdditionalConnection)
            .is_none()
            && slots
                .acquire(&busy_load(1.0), SlotPurpose::ExclusiveUse)
                .is_none()
    );
    let reserved_slots: Vec<_> = (0..reserved)
        .map(|_| {
            slots
                .acquire(&busy_load(1.0), SlotPurpose::FirstConnection)
                .expect("a slot")
        })
        .collect();
    assert!(
        slots
            .acquire(&busy_load(1.0), SlotPurpose::FirstConnection)
            .is_none(),
        "all connections are busy"
    );
    drop(reserved_slots);
    assert!(
        slots
            .acquire(&busy_load(1.0), SlotPurpose::FirstConnection)
            .is_some()
            && shared_slots.len() == shared
    );
    assert_eq!(slots.metrics.engine_connections_evicted.get(), 0);
}

/// The connection that has been idle longest is evicted, and only once. Its descriptor is ready
/// only after its slot is dropped.
#[test]
fn longest_idle_connection_is_evicted_once_and_its_descriptor_awaited() {
    let (slots, shared, reserved) = slots();
    let mut acquired = Vec::new();
    for index in 0..shared + reserved {
        let load = busy_load(1000.0 + index as f64);
        acquired.push((
            slots
                .acquire(&load, SlotPurpose::FirstConnection)
                .expect("a slot"),
            load,
        ));
    }
    [7, 3, 5]
        .into_iter()
        .for_each(|index: usize| acquired[index].1.end_attempt(ConnectionUse::Shared));
    let mut replacement = slots
        .acquire(&busy_load(2000.0), SlotPurpose::FirstConnection)
        .expect("a slot");
    assert!(acquired[3].1.is_evicted() && !acquired[5].1.is_evicted());
    assert!(
        acquired[3].0.evicted().now_or_never().is_some()
            && acquired[5].0.evicted().now_or_never().is_none()
    );
    let mut descriptor_ready = Box::pin(replacement.descriptor_ready());
    assert!(
        descriptor_ready.as_mut().now_or_never().is_none(),
        "the socket of the evicted connection is still open"
    );
    let next = slots
        .acquire(&busy_load(2000.0), SlotPurpose::ExclusiveUse)
        .expect("a slot");
    assert!(
        acquired[5].1.is_evicted(),
        "the second longest idle connection, as the longest idle one is already evicted"
    );
    drop(acquired.remove(3));
    assert!(descriptor_ready.now_or_never().is_some());
    drop((replacement, next, acquired));
    assert_eq!(slots.metrics.engine_connections_open.get(), 0);
    assert!(slots.table().entries.is_empty());
}

/// A process whose share has become smaller keeps what the peer's share leaves, and closes the
/// connections that have been idle longest. Busy ones stay.
#[tokio::test]
async fn idle_connections_beyond_a_smaller_share_are_evicted() {
    let context = EngineContext::for_tests(Handle::new(1, Clock::new()).0);
    let (slots, limits) = (context.slots, context.limits);
    tokio::spawn(slots.clone().follow_share());
    let total = limits.engine_connections + limits.engine_connections_reserved;
    let mut acquired = Vec::new();
    for index in 0..total {
        let load = busy_load(1000.0 + index as f64);
        let slot = slots.acquire(&load, SlotPurpose::FirstConnection);
        acquired.push((slot.expect("a slot"), load));
    }
    let busy = 3;
    for (_, load) in &acquired[busy..] {
        load.end_attempt(ConnectionUse::Shared);
    }
    tokio::task::yield_now().await;
    limits.set_peer_use(PeerUse::Share);
    tokio::task::yield_now().await;
    let share = slots.capacity_for(SlotPurpose::FirstConnection);
    let is_evicted = |index: usize| acquired[index].1.is_evicted();
    let evicted: Vec<usize> = (0..total).filter(|index| is_evicted(*index)).collect();
    assert_eq!(evicted, (busy..busy + share).collect::<Vec<_>>());
    assert!(
        slots
            .acquire(&busy_load(2000.0), SlotPurpose::AdditionalConnection)
            .is_none(),
        "the evicted connections still hold their descriptors"
    );
}
