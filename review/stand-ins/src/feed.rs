//! The control feed: it tells each connection the later events, and writes an empty frame each
//! second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// State of an engine in a record.
#[derive(Clone, Copy)]
pub enum State {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

/// The feed, after event 1, which the configuration holds.
#[derive(Clone)]
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let feed = Feed {
            address: listener.local_addr().expect("address"),
            events: Arc::default(),
        };
        let events = feed.events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = events.clone();
                thread::spawn(move || _ = serve(stream, &events));
            }
        });
        feed
    }

    /// Tells a change: this engine, by its place in the known list, has this state now.
    /// `started_ms` is the Unix time of a late start, or 0.
    pub fn tell(&self, engine: usize, address: SocketAddr, state: State, started_ms: u64) {
        let mut events = self.events.lock().expect("lock");
        let number = events.len() as u64 + 2;
        let mut frame = Vec::new();
        frame.extend_from_slice(&(9 + 27u32).to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.push(2);
        frame.extend_from_slice(&(engine as u32 + 1).to_be_bytes());
        frame.extend_from_slice(&[127, 0, 0, 1]);
        frame.extend_from_slice(&address.port().to_be_bytes());
        frame.extend_from_slice(&[state as u8, 0, 0, 0, 0]);
        frame.extend_from_slice(&1000u32.to_be_bytes());
        frame.extend_from_slice(&started_ms.to_be_bytes());
        events.push(frame);
    }
}

fn serve(mut stream: TcpStream, events: &Mutex<Vec<Vec<u8>>>) -> std::io::Result<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    let mut empty = Instant::now();
    loop {
        let frames: Vec<Vec<u8>> = {
            let events = events.lock().expect("lock");
            events
                .iter()
                .skip(last.saturating_sub(1) as usize)
                .cloned()
                .collect()
        };
        for frame in frames {
            stream.write_all(&frame)?;
            last += 1;
        }
        if Instant::now() >= empty {
            empty += Duration::from_secs(1);
            let mut frame = 9u32.to_be_bytes().to_vec();
            frame.extend_from_slice(&last.to_be_bytes());
            frame.push(0);
            stream.write_all(&frame)?;
        }
        thread::sleep(Duration::from_millis(10));
    }
}
