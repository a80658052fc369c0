//! Tests of the signal receiver, with signals that the process raises itself.

use super::{Signal, Signals};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;
use std::time::Duration;

async fn next_signal(signals: &mut Signals) -> Signal {
    let max_wait = Duration::from_secs(10);
    let received = tokio::time::timeout(max_wait, signals.next())
        .await
        .expect("a signal within the bound");
    received.expect("the pipe of signals")
}

#[tokio::test(flavor = "current_thread")]
async fn each_signal_is_received_once_and_simultaneous_signals_by_priority() {
    let mut signals = Signals::install().expect("handlers");
    raise(SIGUSR1).expect("raise");
    assert_eq!(next_signal(&mut signals).await, Signal::PrintMetrics);
    // Both before the reader wakes: taken in the fixed order, each once.
    raise(SIGHUP).expect("raise");
    raise(SIGTERM).expect("raise");
    assert_eq!(next_signal(&mut signals).await, Signal::Terminate);
    assert_eq!(next_signal(&mut signals).await, Signal::Reload);
    raise(SIGUSR1).expect("raise");
    assert_eq!(next_signal(&mut signals).await, Signal::PrintMetrics);
    let further = tokio::time::timeout(Duration::from_millis(50), signals.next()).await;
    assert!(further.is_err(), "nothing more was raised");
}
