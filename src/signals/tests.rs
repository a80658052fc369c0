//! Tests of the signal receiver, with signals that the process raises itself.

use super::{Signal, Signals};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;
use std::time::Duration;

async fn next(signals: &mut Signals) -> Signal {
    let bound = Duration::from_secs(10);
    let received = tokio::time::timeout(bound, signals.next())
        .await
        .expect("a signal within the bound");
    received.expect("the pipe of signals")
}

#[tokio::test(flavor = "current_thread")]
async fn each_signal_is_received_once_and_in_order_when_several_arrive_together() {
    let mut signals = Signals::install().expect("handlers");
    raise(SIGUSR1).expect("raise");
    assert_eq!(next(&mut signals).await, Signal::Print);
    // Both before the reader wakes: taken in the fixed order, each once.
    raise(SIGHUP).expect("raise");
    raise(SIGTERM).expect("raise");
    assert_eq!(next(&mut signals).await, Signal::Terminate);
    assert_eq!(next(&mut signals).await, Signal::Reload);
    raise(SIGUSR1).expect("raise");
    assert_eq!(next(&mut signals).await, Signal::Print);
    let quiet = tokio::time::timeout(Duration::from_millis(50), signals.next()).await;
    assert!(quiet.is_err(), "nothing more was raised");
}
