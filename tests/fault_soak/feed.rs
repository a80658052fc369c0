//! The fake discovery feed of a run. It reports engines as draining or ready, and resumes each
//! connection after the last event that the manager has.

use crate::scene::list_feed::feed_frame;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Kind of a frame with a delta.
const KIND_CHANGES: u8 = 2;

/// State of a ready engine in a record.
const STATE_READY: u8 = 0;

/// State of a draining engine in a record.
const STATE_DRAINING: u8 = 1;

/// Number of the last event that is part of the manager's configuration.
const CONFIGURED_EVENT: u64 = 1;

/// A running feed, with the frames of all events since the configuration.
#[derive(Clone)]
pub(crate) struct Feed {
    pub(crate) address: SocketAddr,
    frames: watch::Sender<Arc<Vec<Vec<u8>>>>,
}

impl Feed {
    /// Starts a feed without events.
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

    /// Publishes an event: the engine with this index in the endpoint list is draining, or ready
    /// again.
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

/// Sends one connection all events that the manager does not have, and each further one.
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
