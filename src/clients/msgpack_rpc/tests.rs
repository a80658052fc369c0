//! Tests of client connections on real sockets.

use super::listen;
use crate::clients::Frontend;
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::timeout;

/// A client that sends calls and never reads the answers must not keep its slot forever: the
/// connection is closed when no answer could be written for the idle timeout.
#[tokio::test]
async fn connection_is_closed_when_client_reads_no_answers() {
    let (core, _inputs) = Handle::new(64, Clock::new());
    let mut limits = Limits::clone(&EngineContext::for_tests(core.clone()).limits);
    limits.client_idle_timeout = Duration::from_millis(50);
    let (metrics, lifecycle) = (Arc::<Metrics>::default(), Arc::new(Lifecycle::new()));
    let (_settings_sender, settings) =
        watch::channel(Arc::new(EngineContext::settings_for_tests()));
    let limits = Arc::new(limits);
    let frontend = Frontend {
        core,
        settings,
        limits,
        metrics: metrics.clone(),
        lifecycle,
        buffer_pools: Arc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(listen(listener, frontend));
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(2048)
        .expect("set the size of the receive buffer");
    let mut client = socket.connect(address).await.expect("connect");
    let send_until_closed = async {
        for batch in 1u32.. {
            let mut calls = Vec::new();
            for id in batch * 4096..(batch + 1) * 4096 {
                calls.extend([0x94, 0, 0xce]);
                calls.extend(id.to_be_bytes());
                calls.extend(b"\xa6health\x91\x80");
            }
            if client.write_all(&calls).await.is_err() {
                return;
            }
        }
    };
    timeout(Duration::from_secs(20), send_until_closed)
        .await
        .expect("the connection is closed in time");
    assert_eq!(metrics.client_read_timeouts.get(), 1);
}
