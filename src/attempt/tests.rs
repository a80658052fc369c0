//! Tests of this module.

use super::*;

/// Every phase, and what giving up, an answer and a closed connection prove in it.
#[test]
fn what_each_end_proves() {
    let writing = || {
        let mut life = AttemptState::default();
        life.begin_writing(10);
        life
    };
    let out = || {
        let mut life = writing();
        assert_eq!(life.wrote(10), None);
        life
    };
    assert_eq!(
        AttemptState::default().cancel(false, || unreachable!()),
        Some(AttemptEnd::NeverSent)
    );
    assert_eq!(
        (
            AttemptState::default().connection_closed(99),
            writing().connection_closed(9)
        ),
        (AttemptEnd::NeverSent, AttemptEnd::NeverSent)
    );
    assert_eq!(
        (writing().connection_closed(10), out().connection_closed(10)),
        (AttemptEnd::ConnectionLost, AttemptEnd::ConnectionLost)
    );
    for mut life in [writing(), out()] {
        assert_eq!(
            life.cancel(false, || 20),
            None,
            "not before the cancellation was sent"
        );
        assert!(life.is_cancelling() && life.wrote(19).is_none() && !life.begin_result());
        assert_eq!(
            (life.wrote(20), life.wrote(20)),
            (Some(AttemptEnd::Cancelled), None)
        );
    }
    let mut life = out();
    assert_eq!(life.cancel(true, || 20), None);
    assert_eq!(
        (life.wrote(20), life.is_cancelling()),
        (None, true),
        "it may be read late"
    );
    assert_eq!(
        (life.cancellation_confirmed(), life.cancellation_confirmed()),
        (Some(AttemptEnd::Cancelled), None)
    );
    assert_eq!(out().cancellation_confirmed(), None);
    // Half of the cancellation was sent: the engine has the attempt whole. Half of the attempt: it has not.
    for (written, end) in [(15, AttemptEnd::ConnectionLost), (9, AttemptEnd::NeverSent)] {
        let mut life = writing();
        life.cancel(false, || 20);
        assert_eq!(life.connection_closed(written), end);
    }
    let mut told = out();
    assert!(told.begin_result() && !told.begin_result());
    assert_eq!(told.cancel(false, || 20), Some(AttemptEnd::Answered));
    assert!(!out().answered(false).may_have_run() && out().answered(true).may_have_run());
}

#[test]
fn one_attempt_at_a_time() {
    let at = EngineId::default();
    let mut history = AttemptHistory::default();
    assert_eq!(history.next_attempt(true, 6), Ok(0));
    history.record_sent(
        0,
        at,
        SentTo {
            at_ms: 5.0,
            ..SentTo::default()
        },
    );
    assert!(
        history.may_have_run()
            && history.next_attempt(true, 6) == Err(RetryDenied::AttemptInFlight)
    );
    assert!(
        history.begin_cancellation(6.0, Outcome::TimedOut).is_some()
            && history
                .begin_cancellation(7.0, Outcome::Cancelled)
                .is_none()
    );
    assert_eq!(
        history.next_attempt(true, 6),
        Err(RetryDenied::AttemptInFlight),
        "nothing is proven yet"
    );
    assert!(history.record_end(1, true).is_none() && history.record_end(0, false).is_some());
    assert!(!history.may_have_run());
    assert_eq!(history.next_attempt(false, 6), Ok(3));
    history.record_sent(
        3,
        at,
        SentTo {
            at_ms: 8.0,
            ..SentTo::default()
        },
    );
    assert!(history.record_end(3, true).is_some());
    assert_eq!(history.next_attempt(false, 6), Err(RetryDenied::MayHaveRun));
    assert_eq!(
        (history.next_attempt(true, 6), history.next_attempt(true, 6)),
        (Ok(5), Err(RetryDenied::AttemptsExhausted))
    );
    assert_eq!(
        history.first_possible_run().map(|sent| sent.at_ms),
        Some(8.0),
        "the one before did not run"
    );
}
