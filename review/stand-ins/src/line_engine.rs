//! An engine of the platform's line protocol. It runs each statement for the time that the case
//! gives, and answers with one page.

use crate::record::Record;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What an engine saw of one statement.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: usize,
    /// The client's reference.
    pub reference: String,
    pub statement: String,
    /// When it began, in ms of the record.
    pub began_ms: u128,
    /// When its end was written, in ms of the record; `None` if it was given up.
    pub ended_ms: Option<u128>,
}

/// All runs on all engines of a case, in the order in which they began.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an engine. `run_time` gives the time that a statement runs.
pub fn start(
    number: usize,
    record: Record,
    runs: Runs,
    run_time: impl Fn(&str) -> Duration + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let run_time = Arc::new(run_time);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, run_time) = (record.clone(), runs.clone(), run_time.clone());
            thread::spawn(move || _ = serve(number, stream, &record, &runs, &*run_time));
        }
    });
    address
}

/// The rows of a result: one, or about 5.5 kB if the statement asks for a wide result. The last one
/// holds the request's reference.
fn rows_of(statement: &str, reference: &str) -> String {
    let filler = if statement.contains("wide") {
        "north\tseats in use over the hour\t000000000042\n".repeat(120)
    } else {
        String::new()
    };
    format!("{filler}a\tb\t{reference}\n")
}

fn serve(
    engine: usize,
    stream: TcpStream,
    record: &Record,
    runs: &Runs,
    run_time: &(impl Fn(&str) -> Duration + ?Sized),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    // The references that are open on this connection.
    let open: Arc<Mutex<HashSet<String>>> = Arc::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            open.lock().expect("lock").clear();
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ASK", reference, fields, length] => {
                let length: usize = length.parse().expect("length");
                let mut body = vec![0; length + 2];
                reader.read_exact(&mut body)?;
                let statement = String::from_utf8_lossy(&body[..length]).into_owned();
                record.line(format!(
                    "engine {engine}: ASK {reference} {fields}; runs `{statement}`"
                ));
                open.lock().expect("lock").insert(reference.to_owned());
                let place = {
                    let mut runs = runs.lock().expect("lock");
                    runs.push(Run {
                        engine,
                        reference: reference.to_owned(),
                        statement: statement.clone(),
                        began_ms: record.now_ms(),
                        ended_ms: None,
                    });
                    runs.len() - 1
                };
                let wait = run_time(&statement);
                let (reference, open) = (reference.to_owned(), open.clone());
                let statement = statement.clone();
                let (writer, record, runs) = (writer.clone(), record.clone(), runs.clone());
                thread::spawn(move || {
                    thread::sleep(wait);
                    if !open.lock().expect("lock").remove(&reference) {
                        return;
                    }
                    let rows = rows_of(&statement, &reference);
                    let answer = format!(
                        "{reference} served batches=1,cpu={},used=10 {}\r\n{rows}\r\n",
                        wait.as_millis().max(1),
                        rows.len()
                    );
                    runs.lock().expect("lock")[place].ended_ms = Some(record.now_ms());
                    record.line(format!("engine {engine}: {reference} served"));
                    let _ = writer.lock().expect("lock").write_all(answer.as_bytes());
                });
            }
            ["QUIT", reference] => {
                record.line(format!("engine {engine}: QUIT {reference}"));
                open.lock().expect("lock").remove(reference);
            }
            ["NOOP", tag] => {
                let answer = format!("{tag} green - 0\r\n\r\n");
                writer.lock().expect("lock").write_all(answer.as_bytes())?;
            }
            ["PRIO", ..] | ["FREE", ..] | ["NEXT", ..] => {}
            _ => panic!("an engine cannot read `{line}`"),
        }
    }
}
