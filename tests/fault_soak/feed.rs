//! The discovery feed of a run: engines drain and come back, and its connections are resumed after the last event.

use crate::scene::list_feed::feed_frame;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The kind of a frame with changes, and the states of a record.
const KIND_CHANGES: u8 = 2;
const STATE_READY: u8 = 0;
const STATE_DRAINING: u8 = 1;

/// The number of the event that the configuration has.
const CONFIGURED_EVENT: u64 = 1;

/// The events so far, which each connection follows.
#[derive(Clone)]
pub(crate) struct Feed {
    pub(crate) address: SocketAddr,
    frames: watch::Sender<Arc<Vec<Vec<u8>>>>,
}

impl Feed {
    pub(crate) async fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (frames, receiver) = watch::channel(Arc::default());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_events(stream, receiver.clone()));
            }
        });
        Feed { address, frames }
    }

    /// Tells that an engine, by its place in the list, drains or is ready again.
    pub(crate) fn publish_state(&self, engine: usize, address: SocketAddr, draining: bool) {
        let state = if draining {
            STATE_DRAINING
        } else {
            STATE_READY
        };
        self.frames.send_modify(|frames| {
            let event_number = CONFIGURED_EVENT + 1 + frames.len() as u64;
            let frame = feed_frame(event_number, KIND_CHANGES, engine, address, state, 0);
            Arc::make_mut(frames).push(frame);
        });
    }
}

async fn send_events(
    mut stream: TcpStream,
    mut frames_receiver: watch::Receiver<Arc<Vec<Vec<u8>>>>,
) {
    let Ok(last_event) = stream.read_u64().await else {
        return;
    };
    let mut sent_count = (last_event - CONFIGURED_EVENT) as usize;
    loop {
        let frames = frames_receiver.borrow_and_update().clone();
        for frame in &frames[sent_count..] {
            if stream.write_all(frame).await.is_err() {
                return;
            }
        }
        sent_count = frames.len();
        if frames_receiver.changed().await.is_err() {
            return;
        }
    }
}
