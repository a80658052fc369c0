//! An engine of the line protocol.

use crate::plan::{End, Plan, Plans};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval of the notes of a running attempt: `progressMs` of the settings.
const NOTE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts an engine and returns its address.
pub async fn start(number: usize, plans: Plans) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(number, stream, plans.clone()));
        }
    });
    Ok(address)
}

type Writer = Arc<Mutex<OwnedWriteHalf>>;

/// Serves one connection until it ends. Closing it gives up everything open on it.
async fn serve(number: usize, stream: TcpStream, plans: Plans) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let writer: Writer = Arc::new(Mutex::new(writer));
    let reset = Arc::new(Notify::new());
    let mut running: HashMap<String, JoinHandle<()>> = HashMap::new();
    loop {
        let mut line = String::new();
        let read = tokio::select! {
            read = reader.read_line(&mut line) => read,
            () = reset.notified() => {
                // Ends the attempts first, as they hold the writing half of the connection.
                for (_, attempt) in running.drain() {
                    attempt.abort();
                    let _ = attempt.await;
                }
                let halves = Arc::try_unwrap(writer).map(Mutex::into_inner);
                if let Ok(Ok(stream)) = halves.map(|writer| reader.into_inner().reunite(writer)) {
                    let _ = stream.set_zero_linger();
                }
                return;
            }
        };
        if !matches!(read, Ok(bytes) if bytes > 0) {
            break;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["ASK", id, _, length] => {
                let length: usize = length.parse().unwrap_or(0);
                let mut body = vec![0; length + 2];
                if reader.read_exact(&mut body).await.is_err() {
                    break;
                }
                let text = String::from_utf8_lossy(&body[..length]).into_owned();
                let (label, plan) = plans.arrive(number, &text);
                let attempt = run(
                    number,
                    id.to_owned(),
                    label,
                    plan,
                    writer.clone(),
                    reset.clone(),
                    plans.clone(),
                );
                running.insert(id.to_owned(), tokio::spawn(attempt));
            }
            ["QUIT", id] => {
                if let Some(attempt) = running.remove(id).filter(|run| !run.is_finished()) {
                    attempt.abort();
                    plans.note(format!("engine {number}: {id} is given up"));
                }
            }
            ["NOOP", tag] => answer(&writer, &format!("{tag} green - 0\r\n\r\n")).await,
            _ => {}
        }
    }
    running.values().for_each(JoinHandle::abort);
}

async fn answer(writer: &Writer, text: &str) {
    let _ = writer.lock().await.write_all(text.as_bytes()).await;
}

/// Runs one attempt by its plan, with notes while it runs.
async fn run(
    number: usize,
    id: String,
    label: String,
    plan: Plan,
    writer: Writer,
    reset: Arc<Notify>,
    plans: Plans,
) {
    let began_at = Instant::now();
    let end_at = began_at + plan.runs_for;
    while Instant::now() + NOTE_INTERVAL < end_at {
        sleep(NOTE_INTERVAL).await;
        let share = began_at.elapsed().as_secs_f64() / plan.runs_for.as_secs_f64();
        answer(
            &writer,
            &format!("{id} update n=pct,num={share:.2} 0\r\n\r\n"),
        )
        .await;
    }
    sleep_until(end_at).await;
    match plan.end {
        End::Serve(rows) => {
            plans.note(format!("engine {number}: serves {label}"));
            let work_ms = plan.runs_for.as_millis();
            let head = format!(
                "{id} served batches=1,cpu={work_ms},used=16,l=inflight:1 {}",
                rows.len()
            );
            answer(&writer, &format!("{head}\r\n{rows}\r\n")).await;
        }
        End::Reset | End::SpoiltLength | End::ServeLarge(..) => {
            plans.note(format!(
                "engine {number}: resets the connection under {label}"
            ));
            drop(writer);
            reset.notify_one();
        }
    }
}
