//! Confirms the end of attempts whose calls were dropped.
//!
//! Dropping a call resets its HTTP/2 stream. The attempt has ended once the reset was sent. If
//! another attempt may follow, the engine must also have read the reset.

use super::engine_link::EngineLink;
use super::http2_connection::Http2Connection;
use crate::attempt::{AttemptEnd, AttemptState};
use crate::core::AttemptEvent;
use crate::decision::Outcome;
use crate::engines::context::{AfterCancellation, AttemptId};
use std::sync::{Arc, OnceLock};
use tokio::time::timeout;

/// Reports the end of an attempt whose task was aborted, once that end is confirmed. `cancelled` is
/// `None` if the core did not cancel the attempt.
pub(super) async fn report_aborted(
    link: Arc<EngineLink>,
    attempt: AttemptId,
    used_connection: Arc<OnceLock<Http2Connection>>,
    cancelled: Option<AfterCancellation>,
) {
    let after_cancellation = cancelled.unwrap_or(AfterCancellation::NoRetry);
    let end = match used_connection.get() {
        None => end_without_connection(after_cancellation),
        Some(connection) => confirm_reset(&link, connection.clone(), after_cancellation).await,
    };
    let event = match (cancelled, end) {
        (Some(_), end) => AttemptEvent::Cancelled(end),
        (None, AttemptEnd::NeverSent) => AttemptEvent::end(Outcome::NoConnection),
        (None, _) => AttemptEvent::end(Outcome::Reset),
    };
    link.send_event_without_report(attempt, event).await;
}

/// The end of an attempt that was aborted before it had a connection.
fn end_without_connection(after_cancellation: AfterCancellation) -> AttemptEnd {
    let nothing_to_send = || 0;
    AttemptState::default()
        .cancel(after_cancellation.retry_may_follow(), nothing_to_send)
        .unwrap_or(AttemptEnd::NeverSent)
}

/// Waits until the end of an attempt is confirmed. The calls of the attempt on this connection have
/// already been dropped. The wait has a timeout, after which the connection is closed. The other
/// attempts on it then end as on any connection that failed.
pub(super) async fn confirm_reset(
    link: &EngineLink,
    mut connection: Http2Connection,
    after_cancellation: AfterCancellation,
) -> AttemptEnd {
    let limits = &link.context().limits;
    let mut state = AttemptState::default();
    let reset_mark = connection.request_flush();
    // It is not known when the attempt was sent. It may have been sent as soon as it had a
    // connection.
    state.begin_writing(0);
    state.cancel(after_cancellation.retry_may_follow(), || reset_mark);
    let flushed = connection.wait_for_flush(reset_mark);
    let was_flushed = timeout(limits.cancellation_write_timeout, flushed).await;
    let mut end = match was_flushed {
        Ok(true) => state.wrote(reset_mark),
        _ => None,
    };
    if end.is_none() && after_cancellation.retry_may_follow() {
        let confirmed = connection.confirm_read();
        let was_confirmed = timeout(limits.cancellation_confirm_timeout, confirmed).await;
        if was_confirmed == Ok(true) {
            end = state.cancellation_confirmed();
        }
    }
    if end.is_none() && !connection.is_closed() {
        link.context().metrics.cancellations_unconfirmed.increment();
        connection.close();
        connection.wait_until_closed().await;
    }
    end.unwrap_or_else(|| state.connection_closed(0))
}
