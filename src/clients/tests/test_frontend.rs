//! A front end with a listening socket, for tests that play its core and its clients.

use crate::clients::{ClientMemory, Frontend};
use crate::core::{Clock, Handle, Mailbox};
use crate::engines::EngineContext;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// A test fails if it waits for longer than this for an answer or the end of a connection.
pub(in crate::clients) const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A front end whose core is the test.
pub(in crate::clients) struct TestFrontend {
    pub(in crate::clients) frontend: Frontend,
    pub(in crate::clients) metrics: Arc<Metrics>,
    /// What the front end sends to the core.
    pub(in crate::clients) mailbox: Mailbox,
    pub(in crate::clients) listener: TcpListener,
    pub(in crate::clients) address: SocketAddr,
}

impl TestFrontend {
    /// Creates a front end that does not accept connections yet. The mailbox of its core has space
    /// for this number of messages.
    pub(in crate::clients) async fn new(
        mailbox_messages: usize,
        change_limits: impl FnOnce(&mut Limits),
    ) -> TestFrontend {
        let (core, mailbox) = Handle::new(mailbox_messages, Clock::new());
        let mut limits = Limits::clone(&EngineContext::for_tests(core.clone()).limits);
        change_limits(&mut limits);
        let limits = Arc::new(limits);
        let metrics = Arc::<Metrics>::default();
        let settings = Arc::new(EngineContext::settings_for_tests());
        let frontend = Frontend {
            core,
            settings: watch::channel(settings).1,
            limits: limits.clone(),
            metrics: metrics.clone(),
            lifecycle: Arc::new(Lifecycle::new()),
            client_memory: ClientMemory::new(&limits),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        TestFrontend {
            frontend,
            metrics,
            mailbox,
            listener,
            address,
        }
    }
}

/// Waits until a graceful shutdown would wait for no connection.
pub(in crate::clients) async fn no_connection_pending(metrics: &Metrics) {
    let none_pending = async {
        while metrics.client_connections_pending.get() > 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(ANSWER_TIMEOUT, none_pending)
        .await
        .expect("no connection is pending");
}
