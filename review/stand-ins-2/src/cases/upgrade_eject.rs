//! While an old and a new process serve beside each other, on-call staff return engines to service
//! at one of them and take them out again at the other.

use super::setup::{Protocol, request, start_engines};
use crate::config::{self, Machine, engine_id};
use crate::manager::{Manager, RunFolder, Start, free_address};
use crate::plan::{End, Plan, Plans};
use crate::platform_client::Client;
use crate::record::Record;
use crate::{Run, Verdict, feed};
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// `drainGraceMs` of the settings; each time limit is 50 ms longer on sockets.
const GRACE: Duration = Duration::from_millis(300);

/// The engines that are taken out, of six.
const TAKEN_OUT: [usize; 3] = [0, 1, 2];

/// Rounds of the traffic, 50 ms each.
const TURNS: usize = 160;

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let folder = RunFolder::create()?;
    let plans = Plans::new(record);
    let engines = start_engines(6, Protocol::Lines, &plans).await?;
    let feed = feed::start().await?;
    let socket = TcpListener::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    let listen = socket.local_addr()?;
    let machine = Machine {
        memory_mb: 192,
        sockets: 1024,
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
    let old = Manager::start(process("old", free_address()?), record).await?;
    for engine in TAKEN_OUT {
        old.operate(&format!("DISABLE {}", engine_id(engine)))
            .await?;
    }
    let new = Manager::start(process("new", free_address()?), record).await?;
    sleep(Duration::from_millis(500)).await;

    // All engines come back at the old process, and go out again at the new one.
    let mut out_since = Vec::new();
    for engine in TAKEN_OUT {
        let id = engine_id(engine);
        if run.trouble {
            expect_yes(&old.operate(&format!("ENABLE {id}")).await?)?;
        }
        expect_yes(&new.operate(&format!("DISABLE {id}")).await?)?;
        out_since.push((engine, Instant::now()));
    }
    old.signal("TERM")?;
    send_traffic(listen, &plans, record).await?;
    let late: Vec<_> = plans
        .arrivals()
        .into_iter()
        .filter(|run| {
            out_since
                .iter()
                .any(|(engine, since)| *engine == run.engine && run.at > *since + GRACE)
        })
        .collect();
    new.record_log();
    record.line(format!("attempts on engines that are out: {}", late.len()));
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "engines that were taken out got {} attempts later than {} ms after the yes",
        late.len(),
        GRACE.as_millis()
    )))
}

/// Sends requests on many data sets for some seconds, twenty a second on each of four connections.
async fn send_traffic(
    listen: SocketAddr,
    plans: &Plans,
    record: &Record,
) -> Result<(), Box<dyn Error>> {
    let mut gateways: Vec<(Client, u64)> = Vec::new();
    for turn in 0..TURNS {
        for number in 0..4 {
            if gateways.len() <= number {
                let name = format!("gateway-{number}");
                gateways.push((Client::connect(&name, listen, record).await?, 0));
            }
            let (gateway, id) = &mut gateways[number];
            if gateway.closed_at().is_some() {
                let name = format!("gateway-{number}-{turn}");
                (*gateway, *id) = (Client::connect(&name, listen, record).await?, 0);
            }
            *id += 1;
            let label = format!("check-{turn}-{number}");
            plans.set(&label, vec![Plan::new(100, End::Serve("a\tb\tc\n"))]);
            let text = format!(
                "SELECT a FROM lic_{}.log -- {label}",
                1 + (turn * 4 + number) % 40
            );
            gateway
                .send(&request(*id, "seat-check", 2500, &text, 100))
                .await?;
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

fn expect_yes(answer: &str) -> Result<(), Box<dyn Error>> {
    if answer.starts_with("200") {
        return Ok(());
    }
    Err(format!("an unexpected answer: {answer}").into())
}
