//! A client stands still while its answers arrive, and then sends a further request. Meanwhile its
//! connection is closed, because further clients connect.

use super::setup::{Protocol, Site, request};
use crate::config::Machine;
use crate::plan::{End, Plan, statement};
use crate::platform_client::{Client, call, parse_answer};
use crate::{Run, Verdict};
use std::collections::HashSet;
use std::error::Error;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The machine of the workload manager.
const MACHINE: Machine = Machine {
    memory_mb: 192,
    sockets: 256,
};

/// Other usual clients, which rest. Clients hold at most a third of the descriptors: 85.
const OTHERS: usize = 82;

/// Clients that connect while the first one stands still. With them, and without the disruption
/// only without them, 85 clients are connected.
const NEWCOMERS: usize = 2;

/// Requests that the first client has open. One connection carries up to 32.
const OPEN: u64 = 32;

/// How long the first client stands still.
const STAND_STILL: Duration = Duration::from_millis(370);

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let site = Site::start(run, 6, Protocol::Lines, MACHINE).await?;
    // Not more than one page of a result: 6,000 bytes.
    let rows = "seat\tmember\t1234567890\n".repeat(250);
    let rows: &'static str = Box::leak(rows.into_boxed_str());
    let mut others = Vec::new();
    for number in 0..OTHERS {
        others.push(Client::connect(&format!("other-{number}"), site.listen, record).await?);
        let check = statement("seat-check", &format!("other-{number}"));
        let other = &mut others[number];
        other
            .send(&request(1, "seat-check", 2500, &check, 5))
            .await?;
        other
            .wait(1, std::time::Instant::now() + Duration::from_secs(3))
            .await;
    }

    // The first client: its requests, and then it does not read for some time.
    let mut reader = TcpStream::connect(site.listen).await?;
    reader.set_nodelay(true)?;
    let mut requests = Vec::new();
    for id in 1..=OPEN {
        let label = format!("result-{id}");
        site.plans
            .set(&label, vec![Plan::new(100, End::Serve(rows))]);
        let text = statement("seat-check", &label);
        requests.extend(encode(id, &text));
    }
    reader.write_all(&requests).await?;
    let still_since = Instant::now();
    record.line(format!("reader: sent {OPEN} requests, stands still"));
    sleep(Duration::from_millis(180)).await;
    for other in &mut others {
        let check = statement("seat-check", "again");
        other
            .send(&request(2, "seat-check", 2500, &check, 5))
            .await?;
    }
    sleep(Duration::from_millis(60)).await;
    let mut newcomers = Vec::new();
    for number in 0..NEWCOMERS {
        if run.trouble {
            let name = format!("newcomer-{number}");
            newcomers.push(Client::connect(&name, site.listen, record).await?);
            let check = statement("seat-check", &name);
            newcomers[number]
                .send(&request(1, "seat-check", 2500, &check, 5))
                .await?;
        }
    }
    sleep_until(still_since + STAND_STILL).await;
    // It goes on with its next request and then reads.
    let further = statement("seat-check", "further");
    let written = reader.write_all(&encode(OPEN + 1, &further)).await;
    record.line(format!(
        "reader: goes on, sends a further request: {written:?}"
    ));
    let mut input = Vec::new();
    let mut answered = HashSet::new();
    let end = loop {
        match timeout(Duration::from_secs(2), reader.read_buf(&mut input)).await {
            Ok(Ok(bytes)) if bytes > 0 => {}
            end => break end,
        }
        while let Some((id, _, length)) = parse_answer(&input) {
            input.drain(..length);
            answered.insert(id);
        }
    };
    let whole = (1..=OPEN).filter(|id| answered.contains(id)).count();
    record.line(format!(
        "reader: {whole} of {OPEN} answers are whole, end: {end:?}"
    ));
    let served = site
        .plans
        .arrivals()
        .iter()
        .filter(|run| run.label.starts_with("result-"))
        .count();
    record.line(format!("engines have run {served} of the {OPEN} requests"));
    let closed = others
        .iter()
        .filter(|other| other.closed_at().is_some())
        .count();
    record.line(format!("other connections that have ended: {closed}"));
    site.manager.record_log();
    if whole as u64 == OPEN {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} of {OPEN} answers were cut off or lost although engines had served them",
        OPEN - whole as u64
    )))
}

fn encode(id: u64, statement: &str) -> Vec<u8> {
    let reference = format!("00000abc{id:08x}");
    let fields = [
        ("ref", reference.as_str()),
        ("allow", "2500"),
        ("project", "member-north"),
        ("effort", "100"),
    ];
    call(id, "seat-check", &fields, Some(statement.as_bytes()))
}
