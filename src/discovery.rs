//! The list of engines: the control feed, followed by one actor that connects anew whenever it fails.

use crate::core::{CoreMessage, Handle};
use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{EndpointListEvent, EngineRecord, address, engine_id};
use crate::settings_json::PlatformSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const RECORD: usize = 27;
const FRAME_HEAD: usize = 9;
/// Bytes that stay with the reader of frames between two of them.
const FRAME_KEPT: usize = 4096;

/// Why the feed has to be connected anew.
#[derive(Debug, PartialEq, Eq)]
enum Fault {
    Lost,
    Silent,
    Malformed,
}

impl From<std::io::Error> for Fault {
    fn from(_: std::io::Error) -> Fault {
        Fault::Lost
    }
}

impl From<tokio::time::error::Elapsed> for Fault {
    fn from(_: tokio::time::error::Elapsed) -> Fault {
        Fault::Silent
    }
}

/// Follows the feed from event `last` on, at whatever address it has by now: the numbers continue there. Each event goes
/// to `core`; `spoken` turns true with the first frame. Records are read against the newest `settings`. It ends once the
/// sender of `feed` is dropped.
pub async fn follow(
    mut feed: watch::Receiver<SocketAddr>,
    mut last: u64,
    core: Handle,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
    spoken: watch::Sender<bool>,
    settings: watch::Receiver<Arc<PlatformSettings>>,
) {
    let (first, longest) = limits.feed_reconnect_backoff;
    let mut wait = first;
    loop {
        let (before, at) = (last, *feed.borrow_and_update());
        // Guard: a feed that has moved tells nothing further where it was, though the connection stays open for
        // a while; it is left at once. The session can be dropped at any point, as `last` counts applied events.
        let moved = tokio::select! {
            biased;
            moved = feed.changed() => Some(moved),
            done = session(at, &mut last, &core, &limits, &metrics, &spoken, &settings) => {
                match done {
                    Ok(()) | Err(Fault::Lost) => {}
                    Err(Fault::Silent) => metrics.feed_timeouts.increment(),
                    Err(Fault::Malformed) => metrics.feed_malformed.increment(),
                }
                wait = if last > before { first } else { (wait * 2).min(longest) };
                tokio::select! {
                    moved = feed.changed() => Some(moved),
                    () = sleep(wait) => None,
                }
            }
        };
        match moved {
            Some(Ok(())) => wait = first,
            Some(Err(_)) => return, // the program has ended
            None => {}
        }
    }
}

async fn session(
    feed: SocketAddr,
    last: &mut u64,
    core: &Handle,
    limits: &Limits,
    metrics: &Metrics,
    spoken: &watch::Sender<bool>,
    settings: &watch::Receiver<Arc<PlatformSettings>>,
) -> Result<(), Fault> {
    // A feed that accepts nothing, or says nothing, may have been cut off while engines drain: go elsewhere in
    // time, as what it has to tell counts as told.
    let mut stream = timeout(limits.feed_connect_timeout, TcpStream::connect(feed)).await??;
    metrics.feed_connections.increment();
    stream.write_all(&last.to_be_bytes()).await?;
    let mut frame = Vec::new();
    loop {
        // Guard: the whole frame is due in time; one that comes byte by byte is as good as none.
        timeout(
            limits.feed_read_timeout,
            receive(&mut stream, &mut frame, limits.feed_frame_bytes),
        )
        .await??;
        let event = read_frame(&frame, &settings.borrow()).ok_or(Fault::Malformed)?;
        // Later events come without a pause, so that the first word tells what the start was not told.
        spoken.send_replace(true);
        let Some(event) = event else { continue };
        if event.number <= *last {
            continue; // told already, over an earlier connection
        }
        let number = event.number;
        core.send(CoreMessage::EndpointList(event)).await;
        *last = number; // only now: where this was dropped before, the event is asked for again
        metrics.feed_events.increment();
        // A whole list is much larger than a change, and comes once.
        frame.shrink_to(FRAME_KEPT);
    }
}

async fn receive(stream: &mut TcpStream, frame: &mut Vec<u8>, most: usize) -> Result<(), Fault> {
    let length = stream.read_u32().await? as usize;
    if !(FRAME_HEAD..=most).contains(&length) {
        return Err(Fault::Malformed);
    }
    frame.resize(length, 0);
    stream.read_exact(frame).await?;
    Ok(())
}

/// One frame behind its length; `Some(None)` where it tells nothing new, `None` where it cannot be read.
fn read_frame(frame: &[u8], settings: &PlatformSettings) -> Option<Option<EndpointListEvent>> {
    let (head, payload) = frame.split_at_checked(FRAME_HEAD)?;
    let number = u64::from_be_bytes(head[..8].try_into().ok()?);
    let kind = match head[8] {
        0 if payload.is_empty() => return Some(None),
        1 => ListUpdateKind::Full,
        2 => ListUpdateKind::Delta,
        _ => return None,
    };
    let records = payload.chunks_exact(RECORD);
    if !records.remainder().is_empty() {
        return None;
    }
    // Guard: a record that says what nobody knows is passed over alone. Were the frame a fault, it would come again with
    // every connection, and no later event would be heard.
    let (mut entries, mut unusable) = (Vec::new(), Vec::new());
    for record in records {
        let engine = engine_id(u32::from_be_bytes(record[..4].try_into().ok()?));
        match read_record(engine, record, settings) {
            Some(line) => entries.push(line),
            None => unusable.push(engine),
        }
    }
    Some(Some(EndpointListEvent {
        number,
        kind,
        records: entries,
        unusable_engines: unusable,
    }))
}

fn read_record(engine: EngineId, r: &[u8], settings: &PlatformSettings) -> Option<EngineRecord> {
    let four = |at: usize| r.get(at..at + 4).and_then(|b| <[u8; 4]>::try_from(b).ok());
    let two = |at: usize| {
        r.get(at..at + 2)
            .and_then(|b| <[u8; 2]>::try_from(b).ok())
            .map(u16::from_be_bytes)
    };
    let state = match r[10] {
        0 => EngineState::Ready,
        1 => EngineState::Draining,
        2 => EngineState::Removed,
        _ => return None,
    };
    let among = |names: &[String], at: u8| names.is_empty() || usize::from(at) < names.len();
    let known = among(&settings.zones, r[11]) && among(&settings.machine_types, r[12]);
    if state == EngineState::Ready && !known {
        return None;
    }
    let started = u64::from_be_bytes(r.get(19..27)?.try_into().ok()?);
    let entry = EngineEntry {
        engine,
        zone: r[11],
        machine_type: u16::from(r[12]),
        cell: two(13)?,
        state,
        nominal_capacity: f64::from(u32::from_be_bytes(four(15)?)) / 1000.0,
        started_at_ms: started as f64,
        sharing: None,
    };
    Some(EngineRecord {
        entry,
        address: address(four(4)?, two(8)?),
    })
}

#[cfg(test)]
mod tests;
