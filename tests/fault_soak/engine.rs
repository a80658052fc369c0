//! A fake engine that fails in the same ways as real engines. A seeded random number chooses what
//! it does with each attempt.

use crate::draws::SeededRandom;
use crate::rules::{AttemptEnd, Rules};
use crate::scene::engine_fleet::parse_statement_label;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::time::sleep;

/// Longest time from the receipt of an attempt until the engine notices that the manager had
/// closed another connection before it sent this attempt.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(150);

/// What the engine does with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerPlan {
    /// It serves a result with this number of pages.
    Serve { pages: usize },
    /// It serves the first of this number of pages and has lost the others.
    LosePages { pages: usize },
    /// It rejects the attempt.
    Overload,
    /// It answers with an error.
    Crash,
    /// It never answers.
    Hang,
    /// It closes the connection in the middle of its answer.
    BreakConnection,
    /// It sends a line that is not a valid answer.
    Malformed,
}

/// Chooses at random what the engine does with an attempt.
fn choose_plan(random: &mut SeededRandom) -> AnswerPlan {
    let pages = random.in_range(2, 6) as usize;
    match random.in_range(0, 100) {
        0..45 => AnswerPlan::Serve { pages: 1 },
        45..58 => AnswerPlan::Serve { pages },
        58..74 => AnswerPlan::LosePages { pages },
        74..82 => AnswerPlan::Overload,
        82..90 => AnswerPlan::Crash,
        90..95 => AnswerPlan::Hang,
        95..98 => AnswerPlan::BreakConnection,
        _ => AnswerPlan::Malformed,
    }
}

/// Number of the next connection, over the engines of all runs.
static NEXT_CONNECTION_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Serves connections until the run is over.
pub(crate) async fn serve(
    engine: usize,
    listener: TcpListener,
    rules: Rules,
    mut random: SeededRandom,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (reader, connection) = Connection::new(engine, stream, rules.clone());
        tokio::spawn(connection.run(reader, random.fork()));
    }
}

/// One connection to an engine. Separate tasks write the answers, in any order.
#[derive(Clone)]
struct Connection {
    /// Index of the engine in the endpoint list.
    engine: usize,
    number: u64,
    rules: Rules,
    /// `None` once the connection is closed.
    writer: Arc<Mutex<Option<OwnedWriteHalf>>>,
    /// Notified when a task asks for the connection to be closed.
    break_requested: Arc<Notify>,
}

/// An attempt that was received on a connection.
#[derive(Clone)]
struct Attempt {
    reference: String,
    label: String,
    plan: AnswerPlan,
}

impl Connection {
    fn new(engine: usize, stream: TcpStream, rules: Rules) -> (OwnedReadHalf, Connection) {
        let (reader, writer) = stream.into_split();
        let connection = Connection {
            engine,
            number: NEXT_CONNECTION_NUMBER.fetch_add(1, Ordering::Relaxed),
            rules,
            writer: Arc::new(Mutex::new(Some(writer))),
            break_requested: Arc::default(),
        };
        (reader, connection)
    }

    /// Handles commands until the connection ends, and then marks its attempts as ended.
    async fn run(self, reader: OwnedReadHalf, mut random: SeededRandom) {
        let mut reader = BufReader::new(reader);
        let mut attempts = HashMap::new();
        let mut line = String::new();
        loop {
            line.clear();
            tokio::select! {
                biased;
                // A line without a line feed was cut off by the end of the connection.
                read = reader.read_line(&mut line) => if read.is_err() || !line.ends_with('\n') {
                    break;
                },
                () = self.break_requested.notified() => break,
            }
            let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
            if !self
                .handle_command(&words, &mut reader, &mut attempts, &mut random)
                .await
            {
                break;
            }
        }
        drop(self.writer.lock().await.take());
        for attempt in attempts.values() {
            self.rules
                .attempt_ended(&attempt.label, self.number, AttemptEnd::Closed);
        }
    }

    /// Handles one command. Returns false if the connection ends in the middle of it.
    async fn handle_command(
        &self,
        words: &[String],
        reader: &mut BufReader<OwnedReadHalf>,
        attempts: &mut HashMap<String, Attempt>,
        random: &mut SeededRandom,
    ) -> bool {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words[..] {
            ["ASK", reference, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().expect("length") + 2];
                if reader.read_exact(&mut body).await.is_err() {
                    return false;
                }
                let statement = String::from_utf8(body).expect("text");
                let attempt = Attempt {
                    reference: reference.to_owned(),
                    label: parse_statement_label(statement.trim_end()).0,
                    plan: choose_plan(random),
                };
                self.rules.check_not_draining(&attempt.label, self.engine);
                self.rules
                    .attempt_received(&attempt.label, self.number, patience(fields));
                attempts.insert(reference.to_owned(), attempt.clone());
                tokio::spawn(self.clone().answer_attempt(attempt, random.fork()));
            }
            ["QUIT", reference] => {
                if let Some(attempt) = attempts.get(reference) {
                    self.rules
                        .attempt_ended(&attempt.label, self.number, AttemptEnd::Cancelled);
                }
            }
            ["NEXT", reference, page] => {
                let attempt = attempts[reference].clone();
                let page = page.parse().expect("a page");
                tokio::spawn(self.clone().answer_page(attempt, page, random.fork()));
            }
            ["NOOP", tag] => {
                let text = format!("{tag} green - 0\r\n\r\n");
                let pause = Duration::from_millis(random.in_range(0, 20));
                tokio::spawn(self.clone().write_after(pause, text));
            }
            ["FREE" | "PRIO", ..] => {}
            _ => self
                .rules
                .add_violation(format!("an engine received an unknown command: {words:?}")),
        }
        true
    }

    /// Answers an attempt after a random time, according to its plan.
    async fn answer_attempt(self, attempt: Attempt, mut random: SeededRandom) {
        sleep(Duration::from_millis(random.in_range(1, 120))).await;
        if self.rules.is_overlapped(&attempt.label, self.number) {
            sleep(MAX_CLOSE_DELAY).await;
        }
        let end = match attempt.plan {
            AnswerPlan::Hang => return,
            AnswerPlan::Overload => AttemptEnd::NeverRan,
            _ => AttemptEnd::Ran,
        };
        if !self.rules.attempt_ended(&attempt.label, self.number, end) {
            return; // the attempt was cancelled
        }
        let reference = &attempt.reference;
        let text = match attempt.plan {
            AnswerPlan::Serve { pages } | AnswerPlan::LosePages { pages } => {
                let result: String = (0..pages)
                    .map(|page| result_page(&attempt.label, page))
                    .collect();
                self.rules.add_result(&attempt.label, &result);
                let first_page = result_page(&attempt.label, 0);
                format!(
                    "{reference} served batches={pages} {}\r\n{first_page}\r\n",
                    first_page.len()
                )
            }
            AnswerPlan::Overload => format!("{reference} overload - 0\r\n\r\n"),
            AnswerPlan::Crash | AnswerPlan::Hang => format!("{reference} crashed - 0\r\n\r\n"),
            AnswerPlan::BreakConnection => format!("{reference} served batches=1 9\r\nab"),
            AnswerPlan::Malformed => "lol\r\n".to_owned(),
        };
        let is_repeated = random.one_in(4);
        self.write(&text).await;
        match attempt.plan {
            AnswerPlan::BreakConnection => self.break_requested.notify_one(),
            // An engine may send an answer a second time, up to 7 ms later.
            _ if is_repeated => {
                let pause = Duration::from_millis(random.in_range(0, 8));
                self.write_after(pause, text).await;
            }
            _ => {}
        }
    }

    /// Answers the request for one more page of a result.
    async fn answer_page(self, attempt: Attempt, page: usize, mut random: SeededRandom) {
        let reference = &attempt.reference;
        let text = match attempt.plan {
            AnswerPlan::Serve { .. } => {
                let result_page = result_page(&attempt.label, page);
                format!(
                    "{reference} rows batch={page} {}\r\n{result_page}\r\n",
                    result_page.len()
                )
            }
            _ => format!("{reference} crashed - 0\r\n\r\n"),
        };
        let pause = Duration::from_millis(random.in_range(0, 8));
        self.write_after(pause, text).await;
    }

    async fn write_after(self, pause: Duration, text: String) {
        sleep(pause).await;
        self.write(&text).await;
    }

    /// Writes the text, unless the connection is closed.
    async fn write(&self, text: &str) {
        if let Some(writer) = self.writer.lock().await.as_mut() {
            let _ = writer.write_all(text.as_bytes()).await;
        }
    }
}

/// One page of a result. It has the label of its request, so that clients can check it.
fn result_page(label: &str, page: usize) -> String {
    format!("{label}\t{page}\tx\n")
}

/// The value of the field `patience` of a request.
fn patience(fields: &str) -> Duration {
    let mut fields = fields.split(',');
    let value = fields.find_map(|field| field.strip_prefix("patience="));
    Duration::from_millis(value.and_then(|ms| ms.parse().ok()).expect("patience"))
}
