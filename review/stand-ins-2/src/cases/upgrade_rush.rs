//! An upgrade while bulk loads are open on many connections. When the old process has ended, one more
//! client asks the new process.

use super::setup::{Protocol, request, start_engines};
use crate::config::{self, Machine};
use crate::manager::{Manager, RunFolder, Start, free_address};
use crate::plan::{End, Plan, Plans, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict, feed};
use std::error::Error;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Clients with an open bulk load. Clients hold at most a third of the descriptors, which are 256
/// here: 85.
const LOADS: u64 = 44;

/// A final answer still counts half a second after the time of its request; each time limit is 50
/// ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);

const ROWS: &str = "a\tb\tc\n";

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let folder = RunFolder::create()?;
    let plans = Plans::new(record);
    let engines = start_engines(10, Protocol::Lines, &plans).await?;
    let feed = feed::start().await?;
    let socket = TcpListener::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    let listen = socket.local_addr()?;
    let machine = Machine {
        memory_mb: 192,
        sockets: 256,
    };
    let config = folder.path().join("config.json");
    let text = config::text(listen, feed, &engines, &machine, &config::settings());
    std::fs::write(&config, text)?;
    let process = |name, admin| Start {
        name,
        folder: &folder,
        config: &config,
        admin,
        operator_file: None,
        held_socket: Some(&socket),
    };
    let mut old = Manager::start(process("old", free_address()?), record).await?;
    let mut gateway = Client::connect("gateway", listen, record).await?;
    plans.set("load", vec![Plan::new(2500, End::Serve(ROWS))]);
    let load = statement("log-load", "load");
    gateway
        .send(&request(1, "log-load", 25000, &load, 5000))
        .await?;
    sleep(Duration::from_millis(100)).await;
    let mut new = None;
    if run.trouble {
        new = Some(Manager::start(process("new", free_address()?), record).await?);
        old.signal("TERM")?;
        sleep(Duration::from_millis(100)).await;
    }
    let mut clients = Vec::new();
    for number in 0..LOADS {
        let label = format!("load-{number}");
        plans.set(&label, vec![Plan::new(11_000, End::Serve(ROWS))]);
        let mut client = Client::connect(&format!("client-{number}"), listen, record).await?;
        let text = statement("log-load", &label);
        client
            .send(&request(1, "log-load", 25000, &text, 7_000))
            .await?;
        sleep(Duration::from_millis(40)).await;
        clients.push(client);
    }
    if run.trouble {
        while old.is_running() {
            sleep(Duration::from_millis(20)).await;
        }
        record.line("old has ended");
    }
    sleep(Duration::from_millis(1000)).await;
    let running = plans.arrivals().len();
    record.line(format!("{running} statements have reached engines"));
    let mut late = Client::connect("late", listen, record).await?;
    let check = statement("seat-check", "late");
    let sent_at = late
        .send(&request(1, "seat-check", 2500, &check, 50))
        .await?;
    late.wait(1, sent_at + Duration::from_millis(2500) + SLACK)
        .await;
    let answered = late.answers(1).len();
    record.line(format!(
        "late: {answered} answer(s) after {} ms",
        sent_at.elapsed().as_millis()
    ));
    if let Some(new) = &new {
        new.record_log();
        let figures = new.call("STATS").await?;
        record.line(
            figures
                .lines()
                .filter(|line| line.starts_with("node."))
                .collect::<Vec<_>>()
                .join(" "),
        );
    }
    late.wait(1, Instant::now() + Duration::from_secs(10)).await;
    record.line(format!(
        "late: {} answer(s) after {} ms",
        late.answers(1).len(),
        sent_at.elapsed().as_millis()
    ));
    if answered == 1 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(
        "a second after the old process had ended, a request got no final answer in its time"
            .into(),
    ))
}
