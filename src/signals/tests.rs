//! Tests of the signal receiver. The test process raises the signals itself.

use super::{Signal, Signals};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;
use std::time::Duration;

async fn next_signal(signals: &mut Signals) -> Signal {
    let max_wait = Duration::from_secs(10);
    let received = tokio::time::timeout(max_wait, signals.next())
        .await
        .expect("a signal within the maximum wait");
    received.expect("the signal pipe is readable")
}

#[tokio::test(flavor = "current_thread")]
async fn each_signal_is_received_once_and_simultaneous_signals_by_priority() {
    let mut signals = Signals::install().expect("install the signal handlers");
    raise(SIGUSR1).expect("raise a signal");
    assert_eq!(next_signal(&mut signals).await, Signal::PrintMetrics);
    // Both signals arrive before the reader wakes. Each is returned once, in the order of priority.
    raise(SIGHUP).expect("raise a signal");
    raise(SIGTERM).expect("raise a signal");
    assert_eq!(next_signal(&mut signals).await, Signal::Terminate);
    assert_eq!(next_signal(&mut signals).await, Signal::Reload);
    raise(SIGUSR1).expect("raise a signal");
    assert_eq!(next_signal(&mut signals).await, Signal::PrintMetrics);
    let further = tokio::time::timeout(Duration::from_millis(50), signals.next()).await;
    assert!(further.is_err(), "received a signal that was not raised");
}
