//! Graceful shutdown: the node answers open requests and those that still arrive, within a time
//! limit.

use super::Node;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a shutdown checks for open requests and connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The state that decides whether a shutdown is complete.
struct CompletionCheck {
    /// New requests are accepted until this time.
    accept_until: Instant,
    /// The process ends at this time, even if clients have not read all answers. The platform kills
    /// it soon after.
    end_at: Instant,
    /// The time since which no request has been open; `None` while one is open.
    idle_since: Option<Instant>,
    /// How long the node waits for clients to read their last answers.
    read_timeout: Duration,
}

impl Node {
    /// Begins a graceful shutdown. From now on the node reports that it is not ready.
    pub fn begin_shutdown(&self) {
        self.lifecycle.update(|state| {
            state.shutting_down = true;
            state.listener_handed_over = self.listener_is_inherited;
        });
    }

    /// Shuts down gracefully. Requests are accepted and answered until the accept window is over
    /// and no request is open. If a successor process accepts connections on the same socket, there
    /// is no accept window, and the shutdown is complete when all accepted connections are closed.
    pub async fn shut_down(&self) {
        self.begin_shutdown();
        let handed_over = self.lifecycle.current().listener_handed_over;
        let answer_time = self.time_to_answer_requests();
        let deadline_ms = self.core.now() + milliseconds(answer_time);
        self.core.set_shutdown_deadline(deadline_ms).await;
        let now = Instant::now();
        let mut completion_check = CompletionCheck {
            accept_until: now + self.accept_window(handed_over),
            end_at: now + answer_time + self.limits.shutdown_last_answers_timeout,
            idle_since: None,
            read_timeout: self.limits.client_read_timeout,
        };
        loop {
            sleep(POLL_INTERVAL).await;
            let open_requests = self.metrics.requests_open.get();
            let unanswered = self.metrics.client_connections_pending.get() + open_requests;
            let connections_closed =
                !handed_over || self.metrics.client_connections_open.get() == 0;
            let all_answered = unanswered == 0 && connections_closed;
            if completion_check.is_complete(Instant::now(), open_requests == 0, all_answered) {
                return;
            }
        }
    }

    /// Returns how long the core may take to answer open requests: the longest client timeout of all
    /// classes plus a margin. The platform kills the process soon after that time, and a request
    /// that is still open then gets no answer. The maximum of the timeout and the margin are in
    /// [`Limits::shutdown_timeout_and_margin`](crate::limits::Limits::shutdown_timeout_and_margin).
    fn time_to_answer_requests(&self) -> Duration {
        let (max_timeout, margin) = self.limits.shutdown_timeout_and_margin;
        let longest_timeout_ms = self
            .current_settings
            .borrow()
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout_ms)
            .fold(0.0, f64::max);
        let bounded_ms = longest_timeout_ms.min(milliseconds(max_timeout));
        Duration::from_secs_f64(bounded_ms / MILLISECONDS_PER_SECOND) + margin
    }

    /// Returns how long new requests are accepted after the shutdown has begun.
    fn accept_window(&self, handed_over: bool) -> Duration {
        if handed_over {
            Duration::ZERO
        } else {
            self.limits.shutdown_accept_window
        }
    }
}

impl CompletionCheck {
    /// Returns true if the shutdown is complete. The node waits no longer than the read timeout, and
    /// not beyond the end of the process, for a client that does not read its answers.
    fn is_complete(&mut self, now: Instant, is_idle: bool, all_answered: bool) -> bool {
        self.idle_since = match self.idle_since {
            _ if !is_idle => None,
            None => Some(now),
            since => since,
        };
        let answers_unread = self
            .idle_since
            .is_some_and(|since| now >= since.max(self.accept_until) + self.read_timeout);
        let is_answered = now >= self.accept_until && (all_answered || answers_unread);
        is_answered || now >= self.end_at
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * MILLISECONDS_PER_SECOND
}

#[cfg(test)]
mod tests;
