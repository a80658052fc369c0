//! One answer of a Flight SQL engine arrives spoilt: a length in it does not fit. Other requests are
//! open on the connection of the client that gets it.

use super::setup::{Protocol, Site, request};
use crate::config::Machine;
use crate::plan::{End, Plan, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict};
use std::error::Error;
use std::time::Duration;
use tokio::time::sleep;

/// A final answer still counts half a second after the time of its request; each time limit is 50
/// ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);

const ROWS: &str = "a\tb\tc\n";

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 192,
        sockets: 1024,
    };
    let mut site = Site::start(run, 2, Protocol::Flight, machine).await?;
    let plans = &site.plans;
    plans.set("load", vec![Plan::new(2000, End::Serve(ROWS))]);
    plans.set("report", vec![Plan::new(2500, End::Serve(ROWS))]);
    let spoilt_end = if run.trouble {
        End::SpoiltLength
    } else {
        End::Serve(ROWS)
    };
    plans.set(
        "spoilt",
        vec![Plan::new(300, spoilt_end), Plan::new(300, End::Serve(ROWS))],
    );

    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    let mut sent = Vec::new();
    let requests = [
        (1, "log-load", 25000, "load", 4000),
        (2, "usage-report", 15000, "report", 7500),
        (3, "seat-check", 2500, "spoilt", 300),
    ];
    for (id, class, allow_ms, label, effort_ms) in requests {
        let text = statement(class, label);
        sent.push((
            id,
            allow_ms,
            gateway
                .send(&request(id, class, allow_ms, &text, effort_ms))
                .await?,
        ));
        sleep(Duration::from_millis(20)).await;
    }
    let mut lost = Vec::new();
    for (id, allow_ms, sent_at) in sent {
        gateway
            .wait(id, sent_at + Duration::from_millis(allow_ms) + SLACK)
            .await;
        let answers = gateway.answers(id).len();
        record.line(format!("request {id}: {answers} answer(s)"));
        // What is passed on spoilt or cut off has failed, so request 3 is not counted.
        if id != 3 && answers != 1 {
            lost.push(format!("request {id} got {answers} answers"));
        }
    }
    sleep(Duration::from_millis(2500)).await;
    record.line(format!(
        "the process still runs: {}",
        site.manager.is_running()
    ));
    site.manager.record_log();
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    let loads = site.plans.arrivals_of("load").len();
    Ok(Verdict::Broken(format!(
        "a spoilt answer to request 3 lost other requests: {}; the log-load ran {loads} time(s)",
        lost.join(", ")
    )))
}
