//! Tests of the attempt's state and of a request's attempt history.

use super::*;
use crate::decision::EngineId;

/// An attempt that is being written and ends at mark 10.
fn writing() -> AttemptState {
    let mut state = AttemptState::default();
    state.begin_writing(10);
    state
}

/// An attempt that is completely written.
fn sent() -> AttemptState {
    let mut state = writing();
    assert_eq!(state.wrote(10), None);
    state
}

/// Checks the end that a cancellation, an answer or a closed connection gives in each state.
#[test]
fn cancel_answer_and_close_give_the_end_implied_by_each_state() {
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
        (
            writing().connection_closed(10),
            sent().connection_closed(10)
        ),
        (AttemptEnd::ConnectionLost, AttemptEnd::ConnectionLost)
    );
    for mut state in [writing(), sent()] {
        assert_eq!(
            state.cancel(false, || 20),
            None,
            "the attempt has not ended before the cancellation is sent"
        );
        assert!(state.is_cancelling() && state.wrote(19).is_none() && !state.begin_result());
        assert_eq!(
            (state.wrote(20), state.wrote(20)),
            (Some(AttemptEnd::Cancelled), None)
        );
    }
    let mut state = sent();
    assert_eq!(state.cancel(true, || 20), None);
    assert_eq!(
        (state.wrote(20), state.is_cancelling()),
        (None, true),
        "the engine may not have read the cancellation yet"
    );
    assert_eq!(
        (
            state.cancellation_confirmed(),
            state.cancellation_confirmed()
        ),
        (Some(AttemptEnd::Cancelled), None)
    );
    assert_eq!(sent().cancellation_confirmed(), None);
    // The attempt ends at mark 10 and the cancellation at 20. At 15 the engine has received the
    // complete attempt, at 9 it has not.
    for (written, end) in [(15, AttemptEnd::ConnectionLost), (9, AttemptEnd::NeverSent)] {
        let mut state = writing();
        state.cancel(false, || 20);
        assert_eq!(state.connection_closed(written), end);
    }
    let mut answering = sent();
    assert!(answering.begin_result() && !answering.begin_result());
    assert_eq!(answering.cancel(false, || 20), Some(AttemptEnd::Answered));
    assert!(!sent().answered(false).may_have_run() && sent().answered(true).may_have_run());
}

#[test]
fn next_attempt_is_allowed_only_after_the_previous_end_is_confirmed() {
    let engine = EngineId::default();
    let mut history = AttemptHistory::default();
    assert_eq!(history.next_attempt(true, 6), Ok(0));
    history.record_sent(
        0,
        engine,
        SentTo {
            sent_at_ms: 5.0,
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
        "the end of the cancelled attempt is not confirmed yet"
    );
    assert!(history.record_end(1, true).is_none() && history.record_end(0, false).is_some());
    assert!(!history.may_have_run());
    assert_eq!(history.next_attempt(false, 6), Ok(3));
    history.record_sent(
        3,
        engine,
        SentTo {
            sent_at_ms: 8.0,
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
        history.first_possible_run().map(|sent| sent.sent_at_ms),
        Some(8.0),
        "the previous attempt did not run"
    );
}
