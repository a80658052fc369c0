//! Bad clients send calls whose lengths are wrong, and wait. A usual client has a request open and
//! sends further ones on the same connection, the first of them in two pieces.

use super::setup::{Protocol, Site, request};
use crate::config::Machine;
use crate::plan::{End, Plan, statement};
use crate::platform_client::{Client, call};
use crate::record::Record;
use crate::{Run, Verdict};
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Sizes of the bad calls, and their numbers: 150 connections in all. Clients hold at most a third
/// of the descriptors, which are 1,024 here: 341.
const BAD_CALLS: [(usize, usize); 4] = [(60_000, 70), (10_000, 30), (2_000, 25), (300, 25)];

/// A final answer still counts half a second after the time of its request; each time limit is 50
/// ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 32,
        sockets: 1024,
    };
    let site = Site::start(run, 2, Protocol::Lines, machine).await?;
    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    site.plans
        .set("report", vec![Plan::new(4000, End::Serve("a\tb\tc\n"))]);
    let report = statement("usage-report", "report");
    let mut sent = vec![(
        1,
        15000,
        gateway
            .send(&request(1, "usage-report", 15000, &report, 12_000))
            .await?,
    )];
    sleep(Duration::from_millis(100)).await;

    let mut bad_clients = Vec::new();
    if run.trouble {
        bad_clients = send_bad_calls(site.listen, record).await?;
        sleep(Duration::from_millis(200)).await;
    }

    // The first further request comes in two pieces, the others in one.
    // A bulk load of about 8 kB.
    let rows = "(17, 12, 4), ".repeat(600);
    let load = format!("INSERT INTO lic_7.log VALUES {rows}(0, 0, 0) -- load");
    let in_pieces = request(2, "log-load", 6000, &load, 100);
    let bytes = gateway.encode(&in_pieces);
    let (head, rest) = bytes.split_at(bytes.len() / 2);
    sent.push((
        2,
        6000,
        gateway.send_pieces(&in_pieces, &[head, rest], 50).await?,
    ));
    for id in 3..6 {
        sleep(Duration::from_millis(50)).await;
        let check = statement("seat-check", &format!("check-{id}"));
        sent.push((
            id,
            2500,
            gateway
                .send(&request(id, "seat-check", 2500, &check, 50))
                .await?,
        ));
    }
    let mut lost = Vec::new();
    for (id, allow_ms, sent_at) in sent {
        let until = sent_at + Duration::from_millis(allow_ms) + SLACK;
        gateway.wait(id, until).await;
        let answers = gateway.answers(id).len();
        if answers != 1 {
            lost.push(format!("request {id} got {answers} answers"));
        }
        record.line(format!("request {id}: {answers} answer(s)"));
    }
    if let Some(closed_at) = gateway.closed_at() {
        let ago = Instant::now().duration_since(closed_at).as_millis();
        record.line(format!(
            "the connection of the usual client was ended by the manager {ago} ms ago"
        ));
    }
    record.line(format!("{} bad clients", bad_clients.len()));
    let figures = site.manager.call("STATS").await?;
    record.line(
        figures
            .lines()
            .filter(|line| line.starts_with("node."))
            .collect::<Vec<_>>()
            .join(" "),
    );
    site.manager.record_log();
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "a usual client's requests were lost: {}",
        lost.join(", ")
    )))
}

/// Connects bad clients. Each sends a call whose body is shorter than its length says, at full
/// speed, and reads what it is sent.
async fn send_bad_calls(
    address: SocketAddr,
    record: &Record,
) -> Result<Vec<TcpStream>, Box<dyn Error>> {
    let mut clients = Vec::new();
    for (bytes, count) in BAD_CALLS {
        for _ in 0..count {
            let fields = [
                ("ref", "00000000000000ff"),
                ("allow", "2000"),
                ("project", "member-north"),
            ];
            let mut message = call(1, "usage-report", &fields, Some(&vec![b'x'; bytes]));
            message.truncate(message.len() - 100);
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(&message).await?;
            clients.push(stream);
        }
    }
    record.line(format!(
        "{} bad clients have sent calls with a wrong length",
        clients.len()
    ));
    Ok(clients)
}
