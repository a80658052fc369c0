//! One HTTP/2 connection to a Flight engine, of which it is known what has left. A call that is dropped queues its
//! reset at once; the next flush of the connection after that has written it (RFC 9113, 5.4.2 and 6.4).

use crate::engines::connection_slots::ConnectionSlot;
use crate::limits::Limits;
use bytes::Bytes;
use futures::task::AtomicWaker;
use h2::client::{Connection, SendRequest};
use h2::{Ping, Reason, RecvStream, SendStream};
use http_body::{Body, Frame};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tower_service::Service;

/// Bytes of results on their way that one call, and all together, may hold.
const WINDOWS: (u32, u32) = (256 << 10, 1 << 20);

/// A connection that is up, shared by the calls on it.
#[derive(Clone)]
pub(super) struct Wire {
    send: SendRequest<Bytes>,
    flushes: watch::Receiver<u64>,
    /// Pings answered; `Shared::pings` of them are wanted.
    answered: watch::Receiver<u64>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// The connection is to be closed.
    cut: AtomicBool,
    reader: AtomicWaker,
    /// Pings wanted so far.
    pings: AtomicU64,
    /// Calls open.
    calls: AtomicU64,
    /// The connection is to be looked at, and so to be flushed.
    look: Notify,
}

impl Wire {
    /// Connects; none where that fails or takes too long, so that nothing was sent.
    #[expect(clippy::similar_names, reason = "not split yet")]
    pub(super) async fn connect(
        address: SocketAddr,
        limits: &Limits,
        mut slot: ConnectionSlot,
    ) -> Option<Wire> {
        let up = async {
            slot.descriptor_ready().await;
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let shared = Arc::<Shared>::default();
            let (flushed, flushes) = watch::channel(0);
            let tap = Tap {
                stream,
                flushed,
                shared: shared.clone(),
            };
            let mut build = h2::client::Builder::new();
            build
                .initial_window_size(WINDOWS.0)
                .initial_connection_window_size(WINDOWS.1)
                .enable_push(false);
            let (send, connection) = build.handshake::<_, Bytes>(tap).await.ok()?;
            let (pongs, answered) = watch::channel(0);
            tokio::spawn(drive(
                slot,
                connection,
                shared.clone(),
                pongs,
                limits.flight_keep_alive,
            ));
            Some(Wire {
                send,
                flushes,
                answered,
                shared,
            })
        };
        timeout(limits.engine_connect_timeout, up)
            .await
            .ok()
            .flatten()
    }

    /// Whether it is over.
    pub(super) fn closed(&self) -> bool {
        self.flushes.has_changed().is_err()
    }

    /// The mark of a flush that is yet to come, after all that is queued by now.
    pub(super) fn mark(&self) -> u64 {
        self.shared.look.notify_one();
        *self.flushes.borrow() + 1
    }

    /// Waits until what lies before this mark has left; false where the connection ended first.
    pub(super) async fn left(&mut self, mark: u64) -> bool {
        self.flushes.wait_for(|n| *n >= mark).await.is_ok()
    }

    /// Waits until the peer has read what has left by now: it answers a ping that follows, and reads in order (RFC
    /// 9113, 6.7). False where the connection ended first.
    pub(super) async fn heard(&mut self) -> bool {
        let ping = self.shared.pings.fetch_add(1, Ordering::Relaxed) + 1;
        self.shared.look.notify_one();
        self.answered.wait_for(|n| *n >= ping).await.is_ok()
    }

    /// Closes it, with what its peer has not taken.
    pub(super) fn cut(&self) {
        self.shared.cut.store(true, Ordering::Relaxed);
        self.shared.reader.wake();
    }
}

/// Carries the connection until it ends, and ends it where a ping finds no answer. Pings go out one at a time: each
/// stands for all that are wanted as it is sent. The descriptor is free again after the socket: it is dropped last.
#[expect(clippy::similar_names, reason = "not split yet")]
async fn drive(
    slot: ConnectionSlot,
    mut connection: Connection<Tap, Bytes>,
    shared: Arc<Shared>,
    pongs: watch::Sender<u64>,
    (every, patience): (Duration, Duration),
) {
    let Some(mut pings) = connection.ping_pong() else {
        return;
    };
    let mut sent: Option<(u64, Instant)> = None;
    let mut idle = Instant::now() + every;
    loop {
        let wanted = shared.pings.load(Ordering::Relaxed);
        // Guard: servers close a connection that is pinged while nothing is open on it.
        if shared.calls.load(Ordering::Relaxed) == 0 {
            idle = idle.max(Instant::now() + every);
        }
        if sent.is_none() && (wanted > *pongs.borrow() || Instant::now() >= idle) {
            if pings.send_ping(Ping::opaque()).is_err() {
                return;
            }
            sent = Some((wanted, Instant::now()));
        }
        let until = sent.map_or(idle, |(_, at)| at + patience);
        tokio::select! {
            _ = &mut connection => return,
            pong = poll_fn(|cx| pings.poll_pong(cx)), if sent.is_some() => {
                let Some((stands_for, _)) = sent.take().filter(|_| pong.is_ok()) else { return };
                pongs.send_replace(stands_for);
                idle = Instant::now() + every;
            }
            () = shared.look.notified() => {}
            () = slot.evicted() => return,
            () = sleep_until(until) => if sent.is_some() {
                return;
            }
        }
    }
}

/// The socket, with a count of its flushes.
struct Tap {
    stream: TcpStream,
    flushed: watch::Sender<u64>,
    shared: Arc<Shared>,
}

impl Tap {
    fn open(&self) -> io::Result<()> {
        match self.shared.cut.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        // Guard: what its peer has not taken by now it shall not take any more.
        if self.shared.cut.load(Ordering::Relaxed) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.shared.reader.register(cx.waker());
        self.open()?;
        Pin::new(&mut self.stream).poll_read(cx, to)
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.open()?;
        Pin::new(&mut self.stream).poll_write(cx, from)
    }

    /// Called once all that is queued has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open()?;
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.flushed.send_modify(|n| *n += 1);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A call's way out. Dropped before the call is over, it resets that at once, with what is queued of it.
struct Way {
    stream: SendStream<Bytes>,
    over: bool,
    shared: Arc<Shared>,
}

impl Drop for Way {
    fn drop(&mut self) {
        self.shared.calls.fetch_sub(1, Ordering::Relaxed);
        if !self.over {
            self.stream.send_reset(Reason::CANCEL);
        }
    }
}

/// A call that the connection did not take: nothing of it was sent.
#[derive(Debug)]
pub(super) struct Untaken(h2::Error);

impl std::fmt::Display for Untaken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the connection takes no call: {}", self.0)
    }
}

impl std::error::Error for Untaken {}

/// What an engine answers, as it comes.
pub(super) struct Answer {
    from: RecvStream,
    way: Way,
    told: bool,
}

impl Body for Answer {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        if !self.told {
            if let Some(data) = ready!(self.from.poll_data(cx)) {
                let data = data?;
                let _ = self.from.flow_control().release_capacity(data.len());
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            self.told = true;
        }
        let trailers = ready!(self.from.poll_trailers(cx))?;
        self.way.over = true;
        Poll::Ready(trailers.map(|t| Ok(Frame::trailers(t))))
    }
}

impl Service<http::Request<tonic::body::Body>> for Wire {
    type Response = http::Response<Answer>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(())) // each call waits for its own turn
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        let (send, shared) = (self.send.clone(), self.shared.clone());
        Box::pin(async move {
            let (head, mut body) = request.into_parts();
            let mut send = send.ready().await.map_err(Untaken)?;
            let head = http::Request::from_parts(head, ());
            let (response, stream) = send.send_request(head, false).map_err(Untaken)?;
            shared.calls.fetch_add(1, Ordering::Relaxed);
            shared.look.notify_one();
            let mut way = Way {
                stream,
                over: false,
                shared,
            };
            while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
                if let Ok(data) = frame?.into_data() {
                    way.stream.send_data(data, false)?;
                }
            }
            way.stream.send_data(Bytes::new(), true)?;
            let (head, from) = response.await?.into_parts();
            Ok(http::Response::from_parts(
                head,
                Answer {
                    from,
                    way,
                    told: false,
                },
            ))
        })
    }
}
