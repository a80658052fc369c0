//! Tests of shared limits.

use super::{PeerUse, SharedLimit};
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::limits::Limits;
use futures::FutureExt;
use rstest::rstest;
use std::pin::pin;
use std::sync::Arc;
use tokio::sync::Notify;

fn limits() -> Arc<Limits> {
    EngineContext::for_tests(Handle::new(1, Clock::new()).0).limits
}

/// A process with a peer never has more than two fifths, and never nothing of a limit that is not 0.
#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(2, 1)]
#[case(5, 2)]
#[case(97, 38)]
fn a_process_with_a_peer_has_two_fifths_of_a_limit(#[case] total: usize, #[case] share: usize) {
    let limits = limits();
    let limit = SharedLimit::new(&limits, total);
    assert_eq!(limit.capacity(), total);
    limits.set_peer_use(PeerUse::Share);
    assert_eq!(limit.capacity(), share);
    limits.set_peer_use(PeerUse::Nothing);
    assert_eq!(limit.capacity(), total);
}

/// Every wait under a shared limit checks its condition again after a change of the share, and after
/// a release.
#[tokio::test]
async fn a_wait_checks_its_condition_after_each_change_of_the_share() {
    let limits = limits();
    let limit = SharedLimit::new(&limits, 10);
    let released = Notify::new();
    let mut checks = 0;
    {
        let mut waiting = pin!(limit.wait_until(&released, || {
            checks += 1;
            checks == 4
        }));
        assert!(waiting.as_mut().now_or_never().is_none());
        limits.set_peer_use(PeerUse::Share);
        assert!(waiting.as_mut().now_or_never().is_none());
        limits.set_peer_use(PeerUse::Share);
        assert!(waiting.as_mut().now_or_never().is_none(), "nothing changed");
        released.notify_one();
        assert!(waiting.as_mut().now_or_never().is_none());
        limits.set_peer_use(PeerUse::Nothing);
        assert!(waiting.as_mut().now_or_never().is_some());
    }
    assert_eq!(checks, 4);
}

/// Once the peer accepts no more clients, this process may have all connections that the peer does
/// not have any more, and never fewer than its share.
#[test]
fn a_process_takes_over_the_client_connections_that_a_closing_peer_has_closed() {
    let limits = limits();
    let limit = SharedLimit::of_client_connections(&limits);
    let total = limits.client_connections;
    limits.set_peer_use(PeerUse::Share);
    let share = limit.capacity();
    for (open, capacity) in [
        (total, share),
        (total - share, share),
        (7, total - 7),
        (0, total),
    ] {
        limits.set_peer_use(PeerUse::ClosingClientConnections(open));
        assert_eq!(limit.capacity(), capacity, "{open} open");
    }
    let other_limit = SharedLimit::new(&limits, total);
    assert_eq!(other_limit.capacity(), share);
}
