//! Bad Flight SQL clients send calls with much more data than their command. The memory of the
//! process is compared with its limit.

use super::setup::{Protocol, Site};
use crate::config::Machine;
use crate::grpc::{Connection, frame};
use crate::plan::{End, Plan, statement};
use crate::{Run, Verdict};
use arrow_flight::sql::{CommandStatementUpdate, ProstMessageExt};
use arrow_flight::{FlightData, FlightDescriptor};
use prost::Message;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Bad clients, with a connection each. Clients hold at most a third of the descriptors, which are
/// 1,024 here: 341.
const BAD_CLIENTS: usize = 64;

/// What each of them tries to send, in MB. The operators name bodies of 60 MB.
const BODY_MB: usize = 4;

const MEMORY_MB: u32 = 32;

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: MEMORY_MB,
        sockets: 1024,
    };
    let mut site = Site::start(run, 8, Protocol::Lines, machine).await?;
    let before = site.manager.anonymous_memory_kb()?;
    record.line(format!("memory before: {before} kB"));
    if run.trouble {
        for number in 0..BAD_CLIENTS {
            let label = format!("bad-{number}");
            site.plans
                .set(&label, vec![Plan::new(15_000, End::Serve("1\t\t\n"))]);
            let (address, record) = (site.flight, record.clone());
            tokio::spawn(async move {
                // Sends the same again as soon as it is turned away.
                for turn in 0..40 {
                    if let Err(error) = send_large_call(address, &label).await {
                        record.line(format!("{label}, turn {turn}: {error}"));
                    }
                    sleep(Duration::from_millis(200)).await;
                }
            });
        }
    }
    let until = Instant::now() + Duration::from_secs(10);
    let mut peak = before;
    while Instant::now() < until && site.manager.is_running() {
        peak = peak.max(site.manager.anonymous_memory_kb().unwrap_or(0));
        sleep(Duration::from_millis(50)).await;
    }
    record.line(format!(
        "highest memory: {peak} kB of {} kB",
        MEMORY_MB * 1024
    ));
    site.manager.record_log();
    if peak <= u64::from(MEMORY_MB) * 1024 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the process took {} MB of anonymous memory; it is killed over {MEMORY_MB} MB",
        peak / 1024
    )))
}

/// Sends a bulk load, and then data that no call needs.
async fn send_large_call(address: SocketAddr, label: &str) -> Result<(), Box<dyn Error>> {
    let connection = Connection::open(address).await?;
    let command = CommandStatementUpdate {
        query: statement("log-load", label),
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData::new().with_descriptor(descriptor);
    let metadata = [
        ("magpiechute-class", "log-load"),
        ("magpiechute-tenant", "member-north"),
        ("magpiechute-effort", "400"),
        ("grpc-timeout", "20000m"),
    ];
    let mut body = frame(&data.encode_to_vec()).to_vec();
    body.extend_from_slice(&frame(&vec![0; BODY_MB << 20]));
    connection.upload("DoPut", &metadata, body.into()).await
}
