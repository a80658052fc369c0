//! Tests of the decision whether a graceful shutdown is complete.

use super::CompletionCheck;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// What a shutdown still waits for.
#[derive(Clone, Copy, Debug)]
enum Remaining {
    Nothing,
    /// Clients that have not read their answers.
    UnreadAnswers,
    /// Requests without an answer.
    OpenRequests,
}

/// A shutdown that accepts requests for 1 s, waits for 2 s for clients that do not read, and ends
/// after 3.6 s.
fn check(started_at: Instant) -> CompletionCheck {
    CompletionCheck {
        accept_until: started_at + Duration::from_secs(1),
        end_at: started_at + Duration::from_millis(3600),
        idle_since: None,
        read_timeout: Duration::from_secs(2),
    }
}

/// A shutdown ends when all is answered and read, else after the limits for reading and for the
/// process. No client can hold it for longer.
#[rstest]
#[case::all_answered_in_the_accept_window(Remaining::Nothing, 0, 1000)]
#[case::all_answered_later(Remaining::Nothing, 2500, 2500)]
#[case::unread_since_the_accept_window(Remaining::UnreadAnswers, 0, 3000)]
#[case::unread_until_the_process_ends(Remaining::UnreadAnswers, 2500, 3600)]
#[case::never_answered(Remaining::OpenRequests, 0, 3600)]
fn shutdown_ends_within_its_limits(
    #[case] remaining: Remaining,
    #[case] answered_at_ms: u64,
    #[case] expected_ms: u64,
) {
    let started_at = Instant::now();
    let mut check = check(started_at);
    let is_complete = |at_ms: &u64| {
        let open = matches!(remaining, Remaining::OpenRequests) || *at_ms < answered_at_ms;
        let all_answered = matches!(remaining, Remaining::Nothing) && !open;
        let now = started_at + Duration::from_millis(*at_ms);
        check.is_complete(now, !open, all_answered)
    };
    let ended_ms = (0..=10_000).step_by(20).find(is_complete);
    assert_eq!(ended_ms, Some(expected_ms));
}
