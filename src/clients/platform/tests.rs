//! Tests of clients' connections against bare sockets.

use super::*;
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::time::timeout;

/// Guard: a client that asks and never reads has its connection closed, so that its place is free again.
#[tokio::test]
async fn a_client_that_takes_no_answer() {
    let (core, _inputs) = Handle::new(64, Clock::new());
    let mut limits = Limits::clone(&EngineContext::for_tests(core.clone()).limits);
    limits.client_idle_timeout = Duration::from_millis(50);
    let (metrics, lifecycle) = (Arc::<Metrics>::default(), Arc::new(Lifecycle::new()));
    let (_settings, parsed) = watch::channel(Arc::new(EngineContext::settings_for_tests()));
    let limits = Arc::new(limits);
    let front = Front {
        core,
        parsed,
        limits,
        metrics: metrics.clone(),
        lifecycle,
        pools: Arc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let at = listener.local_addr().expect("address");
    tokio::spawn(listen(listener, front));
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(2048).expect("option");
    let mut client = socket.connect(at).await.expect("connect");
    let asks = async {
        for n in 1u32.. {
            let mut calls = Vec::new();
            for id in n * 4096..(n + 1) * 4096 {
                calls.extend([0x94, 0, 0xce]);
                calls.extend(id.to_be_bytes());
                calls.extend(b"\xa6health\x91\x80");
            }
            if client.write_all(&calls).await.is_err() {
                return;
            }
        }
    };
    timeout(Duration::from_secs(20), asks)
        .await
        .expect("closed");
    assert_eq!(metrics.client_read_timeouts.get(), 1);
}
