//! New settings no longer have a class. A gateway that sends several classes on one connection does
//! not know that.

use super::setup::{Protocol, Site, request};
use crate::config::{self, Machine};
use crate::plan::{End, Plan, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict};
use std::error::Error;
use std::time::Duration;
use tokio::time::sleep;

const SLACK: Duration = Duration::from_millis(550);

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 192,
        sockets: 1024,
    };
    let site = Site::start(run, 3, Protocol::Lines, machine).await?;
    if run.trouble {
        let mut settings = config::settings();
        settings["classes"]
            .as_array_mut()
            .ok_or("classes")?
            .remove(0);
        for list in ["classLoad", "classThreads", "waitsForLoads"] {
            settings["specifics"][list]
                .as_array_mut()
                .ok_or(list)?
                .remove(0);
        }
        site.reload(&settings).await?;
    }
    sleep(Duration::from_millis(2000)).await;
    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    let mut id = 0;
    let mut sent = Vec::new();
    for round in 0..40 {
        for _ in 0..2 {
            id += 1;
            let check = statement("seat-check", &format!("check-{id}"));
            let sent_at = gateway
                .send(&request(id, "seat-check", 2500, &check, 50))
                .await?;
            sent.push((id, 2500, sent_at));
            sleep(Duration::from_millis(25)).await;
        }
        if round % 5 == 0 {
            id += 1;
            let label = format!("load-{id}");
            site.plans
                .set(&label, vec![Plan::new(1500, End::Serve("a\tb\tc\n"))]);
            let load = statement("log-load", &label);
            let sent_at = gateway
                .send(&request(id, "log-load", 6000, &load, 3000))
                .await;
            match sent_at {
                Ok(sent_at) => sent.push((id, 6000, sent_at)),
                Err(error) => record.line(format!("gateway: {error}")),
            }
        }
        if gateway.closed_at().is_some() {
            break;
        }
    }
    let mut lost = Vec::new();
    for (id, allow_ms, sent_at) in sent {
        gateway
            .wait(id, sent_at + Duration::from_millis(allow_ms) + SLACK)
            .await;
        let crossed = gateway
            .closed_at()
            .is_some_and(|at| at < sent_at + Duration::from_millis(50));
        if gateway.answers(id).len() != 1 && !crossed {
            lost.push(id.to_string());
        }
    }
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "requests without an answer: {}",
        lost.join(", ")
    )))
}
