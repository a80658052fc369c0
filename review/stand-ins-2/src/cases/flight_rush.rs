//! A rush of Flight SQL clients: each has one report open on a connection of its own. One more
//! client sends a bulk load.

use super::setup::{Protocol, Site};
use crate::config::Machine;
use crate::flight_client::{fetch, plan, update};
use crate::grpc::Connection;
use crate::plan::{End, Plan, statement};
use crate::{Run, Verdict};
use std::error::Error;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Clients with an open report. Clients hold at most a third of the descriptors, which are 256
/// here: 85.
const RUSH: usize = 24;
const QUIET: usize = 8;

/// How long the last client waits for its answer.
const ALLOW_MS: u64 = 4000;

/// A final answer still counts half a second after the time of its request; each time limit is 50
/// ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 192,
        sockets: 256,
    };
    let site = Site::start(run, 8, Protocol::Lines, machine).await?;
    let reports = if run.trouble { RUSH } else { QUIET };
    let mut open = Vec::new();
    for number in 0..reports {
        let label = format!("report-{number}");
        site.plans
            .set(&label, vec![Plan::new(8000, End::Serve("a\tb\tc\n"))]);
        let text = statement("usage-report", &label);
        let (address, record) = (site.flight, record.clone());
        open.push(tokio::spawn(async move {
            let reply = async {
                let connection = Connection::open(address).await?;
                let ticket = plan(&connection, "usage-report", &text, 24_000).await?;
                fetch(&connection, &ticket, 15000).await
            };
            let seen = match reply.await {
                Ok(reply) => format!("status {:?}", reply.status),
                Err(error) => format!("{error}"),
            };
            record.line(format!("flight client {label}: {seen}"));
        }));
    }
    sleep(Duration::from_millis(1000)).await;
    let running = site.plans.arrivals().len();
    record.line(format!(
        "{reports} clients have sent a report; {running} reports run"
    ));

    let connection = Connection::open(site.flight).await?;
    let text = statement("log-load", "load");
    let sent_at = Instant::now();
    record.line(format!("last client: sends log-load, time {ALLOW_MS} ms"));
    let limit = Duration::from_millis(ALLOW_MS) + SLACK;
    let reply = timeout(limit, update(&connection, "log-load", &text, ALLOW_MS, 100)).await;
    let after = sent_at.elapsed().as_millis();
    let answered = match &reply {
        Ok(Ok(reply)) => {
            record.line(format!(
                "last client: status {:?} after {after} ms",
                reply.status
            ));
            reply.status.is_some()
        }
        Ok(Err(error)) => {
            record.line(format!("last client: {error} after {after} ms"));
            false
        }
        Err(_) => {
            record.line(format!("last client: no answer after {after} ms"));
            false
        }
    };
    for report in open {
        let _ = report.await;
    }
    record.line(format!(
        "runs of the log-load: {}",
        site.plans.arrivals_of("load").len()
    ));
    site.manager.record_log();
    if answered {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "with {running} reports open, a log-load got no final answer within its {ALLOW_MS} ms and {} ms more",
        SLACK.as_millis()
    )))
}
