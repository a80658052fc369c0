//! Graceful shutdown: the node answers what is open and what still arrives, within a bound on the time.

use super::Node;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a shutdown looks whether anything is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// When a shutdown is complete.
struct CompletionCheck {
    /// Requests may arrive until then.
    accept_until: Instant,
    /// The time from which on no request has been open.
    idle_since: Option<Instant>,
    /// How long clients may take to read their last answers.
    read_timeout: Duration,
}

impl Node {
    /// Begins a graceful shutdown: from now on the node reports that it is not ready.
    pub fn begin_shutdown(&self) {
        self.lifecycle.update(|state| {
            state.shutting_down = true;
            state.listener_handed_over = self.listener_is_inherited;
        });
    }

    /// Shuts down gracefully: accepts and answers until the time for late arrivals is over and nothing is open. Where a
    /// successor accepts on the same socket, none arrive late, and it ends once all accepted connections are closed.
    pub async fn shut_down(&self) {
        self.begin_shutdown();
        let handed_over = self.lifecycle.current().listener_handed_over;
        self.send_deadline_to_core().await;
        let mut completion_check = CompletionCheck {
            accept_until: Instant::now() + self.accept_window(handed_over),
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

    /// Sends the core the time at which the process ends. The platform kills the process after the longest client
    /// timeout, which counts as no longer than the bound of the limits; a request that is open then has no answer.
    async fn send_deadline_to_core(&self) {
        let (max_timeout, margin) = self.limits.planned_shutdown;
        let longest_timeout_ms = self
            .current_settings
            .borrow()
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout_ms)
            .fold(0.0, f64::max);
        let bounded_ms = longest_timeout_ms.min(milliseconds(max_timeout));
        let deadline_ms = self.core.now() + bounded_ms + milliseconds(margin);
        self.core.set_shutdown_deadline(deadline_ms).await;
    }

    /// How long requests may still arrive.
    fn accept_window(&self, handed_over: bool) -> Duration {
        if handed_over {
            Duration::ZERO
        } else {
            self.limits.shutdown_accept_window
        }
    }
}

impl CompletionCheck {
    /// Whether the shutdown is complete. A client that reads none of its answers is waited for no longer than the read
    /// timeout, as the process would be killed otherwise.
    fn is_complete(&mut self, now: Instant, is_idle: bool, all_answered: bool) -> bool {
        self.idle_since = match self.idle_since {
            _ if !is_idle => None,
            None => Some(now),
            since => since,
        };
        let answers_unread = self
            .idle_since
            .is_some_and(|since| now >= since.max(self.accept_until) + self.read_timeout);
        now >= self.accept_until && (all_answered || answers_unread)
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
