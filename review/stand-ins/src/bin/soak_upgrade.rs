//! A search, not a case: upgrades in a row under load and faults of engines, with random choices.
//! Checks: every request is answered once, no attempts of a request overlap, a request of class
//! `once` runs once, and loads of one key do not run at the same time. The order in which loads of
//! one key were taken is not checked. `SEED` and `GENERATIONS` choose the run; `HUP` adds new
//! configurations all the time, `POLICY` an operators' file.

use review_stand_ins::feed::Feed;
use review_stand_ins::manager::{LAHORE_MAIN, Manager, configuration, work_folder};
use review_stand_ins::msgpack::{ArrayForm, Client, call, cancel, reference};
use review_stand_ins::record::Record;
use review_stand_ins::{Verdict, run_case};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An operators' file whose limits on attempts bind, used if `POLICY` is set.
const POLICY: &str = r#"version = 1
[attempts.default]
timeout_ms = 1500
attempt_timeout_ms = 150
max_attempts = 4
retry_on = ["no-connection", "full", "never-sent", "reset", "error", "timed-out"]
backoff = { base_ms = 20, max_ms = 200, jitter = 0.5 }
budget = { ratio = 0.3, min_per_s = 5, window_s = 5 }
"#;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

#[derive(Clone, Debug)]
struct Attempt {
    reference: String,
    class: String,
    key: String,
    began: Instant,
    ended: Option<Instant>,
    never_ran: bool,
    how: &'static str,
}

type Attempts = Arc<Mutex<Vec<Attempt>>>;

fn end(attempts: &Attempts, place: usize, how: &'static str, never_ran: bool) {
    let mut attempts = attempts.lock().unwrap();
    let attempt = &mut attempts[place];
    if attempt.ended.is_none() {
        attempt.ended = Some(Instant::now());
        attempt.how = how;
        attempt.never_ran = never_ran;
    }
}

fn engine(attempts: Attempts, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut random = Random(seed);
        for stream in listener.incoming().flatten() {
            let (attempts, seed) = (attempts.clone(), random.next());
            thread::spawn(move || _ = connection(stream, attempts, seed));
        }
    });
    address
}

fn connection(stream: TcpStream, attempts: Attempts, seed: u64) -> std::io::Result<()> {
    let mut random = Random(seed);
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream.try_clone()?);
    let open: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(bytes) if bytes > 0) {
            for (_, place) in open.lock().unwrap().drain() {
                end(&attempts, place, "closed", false);
            }
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ASK", reference, fields, length] => {
                let length: usize = length.parse().unwrap();
                let mut body = vec![0; length + 2];
                if reader.read_exact(&mut body).is_err() {
                    for (_, place) in open.lock().unwrap().drain() {
                        end(&attempts, place, "closed", false);
                    }
                    return Ok(());
                }
                let statement = String::from_utf8_lossy(&body[..length]).into_owned();
                let key = statement.split("key ").nth(1).unwrap_or("").to_owned();
                let class = fields.split(['=', ',']).nth(1).unwrap().to_owned();
                let place = {
                    let mut all = attempts.lock().unwrap();
                    all.push(Attempt {
                        reference: reference.to_owned(),
                        class,
                        key,
                        began: Instant::now(),
                        ended: None,
                        never_ran: false,
                        how: "open",
                    });
                    all.len() - 1
                };
                open.lock().unwrap().insert(reference.to_owned(), place);
                let fate = random.below(100);
                let wait = Duration::from_millis(5 + random.below(200));
                let (reference, open) = (reference.to_owned(), open.clone());
                let (writer, attempts) = (writer.clone(), attempts.clone());
                let raw = stream.try_clone()?;
                thread::spawn(move || {
                    let wait = if fate >= 96 {
                        wait + Duration::from_millis(2500)
                    } else {
                        wait
                    };
                    thread::sleep(wait);
                    if open.lock().unwrap().remove(&reference).is_none() {
                        return;
                    }
                    let answer = match fate {
                        0..4 => {
                            end(&attempts, place, "overload", true);
                            format!("{reference} overload - 0\r\n\r\n")
                        }
                        4..7 => {
                            end(&attempts, place, "crashed", false);
                            format!("{reference} crashed - 0\r\n\r\n")
                        }
                        7..10 => {
                            end(&attempts, place, "reset", false);
                            let _ = raw.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                        _ => {
                            end(&attempts, place, "served", false);
                            let rows = format!("a\tb\t{reference}\n");
                            format!(
                                "{reference} served batches=1,cpu=20,used=10,l=queue:0;util:0.2 {}\r\n{rows}\r\n",
                                rows.len()
                            )
                        }
                    };
                    let _ = writer.lock().unwrap().write_all(answer.as_bytes());
                });
            }
            ["QUIT", reference] => {
                if let Some(place) = open.lock().unwrap().remove(reference) {
                    end(&attempts, place, "quit", false);
                }
            }
            ["NOOP", tag] => {
                let _ = writer
                    .lock()
                    .unwrap()
                    .write_all(format!("{tag} green - 0\r\n\r\n").as_bytes());
            }
            _ => {}
        }
    }
}

struct Open {
    reference: String,
    sent: Instant,
    allow: u64,
    class: &'static str,
    key: String,
}

struct Totals {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

fn client(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    mut random: Random,
    totals: Arc<Totals>,
    faults: Arc<Mutex<Vec<String>>>,
    told: Arc<Mutex<Instant>>,
) {
    let fault = |text: String| faults.lock().unwrap().push(text);
    while !stop.load(Ordering::SeqCst) {
        let mut client = Client::connect(address);
        let connected = Instant::now();
        let mut open: BTreeMap<u64, Open> = BTreeMap::new();
        let mut last = 0;
        loop {
            // After SIGTERM, requests on open connections come for a while only.
            let told_at = *told.lock().unwrap();
            let leaving = told_at > connected && told_at.elapsed() > Duration::from_millis(500);
            let ending = stop.load(Ordering::SeqCst);
            let stopping = ending || leaving;
            if stopping && open.is_empty() {
                if ending {
                    return;
                }
                break;
            }
            if open.len() < 8 && !stopping {
                let class = ["lookup", "report", "load", "ship"][random.below(4) as usize];
                let reference = reference();
                let key = if class == "load" {
                    format!("{:016x}", random.below(4) + 1)
                } else {
                    String::new()
                };
                let allow = 200 + random.below(2500);
                let allow_text = allow.to_string();
                let replay = format!("{:032x}", random.next());
                let statement = format!("SELECT x FROM s_17.t WHERE key {key}");
                let mut fields = vec![
                    ("ref", reference.as_str()),
                    ("allow", allow_text.as_str()),
                    ("project", "anarkali"),
                    ("effort", "20.0"),
                    ("need_mb", "10"),
                ];
                if class == "load" {
                    fields.push(("replay", replay.as_str()));
                    fields.push(("lookup", key.as_str()));
                }
                let id = client.next_id();
                last = id;
                client.send(&call(id, class, &fields, statement.as_bytes()));
                totals.sent.fetch_add(1, Ordering::SeqCst);
                if random.below(20) == 0 {
                    thread::sleep(Duration::from_millis(random.below(100)));
                    client.send(&cancel(id, ArrayForm::Fix));
                } else {
                    open.insert(
                        id,
                        Open {
                            reference,
                            sent: Instant::now(),
                            allow,
                            class,
                            key,
                        },
                    );
                }
            }
            let answer = client.read_answer(Duration::from_millis(5 + random.below(30)));
            if let Some(answer) = answer {
                match answer.word.as_str() {
                    "served" => totals.served.fetch_add(1, Ordering::SeqCst),
                    "Overloaded" => totals.refused.fetch_add(1, Ordering::SeqCst),
                    _ => totals.failed.fetch_add(1, Ordering::SeqCst),
                };
                if let Some(request) = open.remove(&answer.id) {
                    if answer.word == "served" && !answer.rows.contains(&request.reference) {
                        fault(format!(
                            "{} got foreign rows {:?}",
                            request.reference, answer.rows
                        ));
                    }
                    let late = request.sent.elapsed().as_millis() as u64;
                    if late > request.allow + 600 {
                        fault(format!(
                            "{} answered {} ms late",
                            request.reference,
                            late - request.allow
                        ));
                    }
                } else if answer.id > last {
                    fault(format!("an answer to no call: {answer:?}"));
                }
            }
            for (id, request) in &open {
                if request.sent.elapsed().as_millis() as u64 > request.allow + 1500 {
                    fault(format!(
                        "{} (message {id}, {} {}) unanswered {} ms after its time",
                        request.reference,
                        request.class,
                        request.key,
                        request.sent.elapsed().as_millis() as u64 - request.allow
                    ));
                }
            }
            open.retain(|_, request| {
                request.sent.elapsed().as_millis() as u64 <= request.allow + 1500
            });
            if client.closed {
                for request in open.values() {
                    let age = request.sent.elapsed().as_millis();
                    if age > 100 {
                        fault(format!(
                            "{} ({}): connection closed {age} ms after it was sent",
                            request.reference, request.class
                        ));
                    }
                }
                break;
            }
            if random.below(150) == 0 && open.is_empty() {
                break;
            }
        }
    }
}

fn main() {
    run_case(run);
}

fn run() -> Verdict {
    let record = Record::create();
    let seed: u64 = std::env::var("SEED").map_or(1, |seed| seed.parse().unwrap());
    let generations: u32 = std::env::var("GENERATIONS").map_or(4, |n| n.parse().unwrap());
    let operator_file = std::env::var("POLICY").is_ok().then_some(POLICY);
    let mut random = Random(seed);
    let attempts = Attempts::default();
    let engines: Vec<_> = (0..5)
        .map(|_| engine(attempts.clone(), random.next()))
        .collect();
    let feed = Feed::start();
    let settings = LAHORE_MAIN
        .replace(
            r#"{"aimStretch":2.5,"dedupScope":"all","effect":"by_key""#,
            r#"{"aimStretch":2.5,"dedupScope":"all","effect":"once","giveUpMs":20000.0,"lateWorth":0.6,"memorySpanMs":12000.0,"name":"ship","points":5.0,"promiseMs":3000.0,"streamed":false},{"aimStretch":2.5,"dedupScope":"all","effect":"by_key""#,
        )
        .replace("\"classThreads\":[1,4,2]", "\"classThreads\":[1,4,2,2]")
        .replace("[false,false,true]", "[false,false,true,true]");
    let config = configuration(feed.address, &engines, &settings);
    let shared = work_folder().join("shared");
    std::fs::create_dir_all(&shared).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut current = Manager::start(
        &record,
        "g0",
        &config,
        operator_file,
        Some(&listener),
        &shared,
    );
    let stop = Arc::new(AtomicBool::new(false));
    let totals = Arc::new(Totals {
        sent: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        failed: AtomicU64::new(0),
    });
    let faults = Arc::new(Mutex::new(Vec::new()));
    let told_at = Arc::new(Mutex::new(Instant::now()));
    let clients: Vec<_> = (0..10)
        .map(|_| {
            let (address, stop) = (current.address, stop.clone());
            let (random, totals, faults) = (Random(random.next()), totals.clone(), faults.clone());
            let told = told_at.clone();
            thread::spawn(move || client(address, stop, random, totals, faults, told))
        })
        .collect();
    let hup = std::env::var("HUP").is_ok();
    let pids: Arc<Mutex<Vec<(String, u32)>>> = Arc::default();
    pids.lock()
        .unwrap()
        .push(("g0".to_owned(), current.child.id()));
    if hup {
        let (pids, config, stop) = (pids.clone(), config.clone(), stop.clone());
        let mut random = Random(random.next());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20 + random.below(150)));
                let mut text = config.clone();
                if random.below(2) == 0 {
                    text = text.replace(
                        "\"effect\":\"once\"",
                        "\"effect\":\"once\",\"fifoByKey\":false",
                    );
                    text = text.replace("\"giveUpMs\":7500.0", "\"giveUpMs\":3500.0");
                }
                match random.below(4) {
                    0 => text = text.replace("\"name\":\"report\"", "\"name\":\"reports\""),
                    1 => {
                        text = text.replace(
                            "\"effect\":\"repeatable\",\"giveUpMs\":25000.0",
                            "\"effect\":\"once\",\"giveUpMs\":25000.0",
                        )
                    }
                    2 => text = text.replace("\"attemptsCap\":6", "\"attemptsCap\":2"),
                    _ => {}
                }
                if random.below(10) == 0 {
                    text.truncate(text.len() / 2);
                }
                for (name, pid) in pids.lock().unwrap().iter() {
                    let _ = std::fs::write(work_folder().join(format!("{name}.json")), &text);
                    let _ = std::process::Command::new("kill")
                        .args(["-s", "HUP", &pid.to_string()])
                        .stderr(std::process::Stdio::null())
                        .status();
                }
            }
        });
    }
    for generation in 1..=generations {
        thread::sleep(Duration::from_millis(500 + random.below(1000)));
        let name = format!("g{generation}");
        let next = Manager::start(
            &record,
            &name,
            &config,
            operator_file,
            Some(&listener),
            &shared,
        );
        pids.lock().unwrap().push((name.clone(), next.child.id()));
        thread::sleep(Duration::from_millis(random.below(1500)));
        current.signal("TERM");
        let told = Instant::now();
        *told_at.lock().unwrap() = told;
        loop {
            if let Some(status) = current.ended() {
                record.line(format!(
                    "old ended {status} after {} ms",
                    told.elapsed().as_millis()
                ));
                if !status.contains("exit status: 0") {
                    faults.lock().unwrap().push(format!("ended with {status}"));
                }
                break;
            }
            if told.elapsed() > Duration::from_millis(3700) {
                faults
                    .lock()
                    .unwrap()
                    .push("the old process had to be killed".to_owned());
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        pids.lock().unwrap().remove(0);
        current = next;
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let attempts = attempts.lock().unwrap();
    let mut by_reference: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    let mut by_key: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts.iter() {
        by_reference
            .entry(&attempt.reference)
            .or_default()
            .push(attempt);
        if !attempt.key.is_empty() {
            by_key.entry(&attempt.key).or_default().push(attempt);
        }
    }
    let slack = Duration::from_millis(10);
    let mut faults = faults.lock().unwrap();
    for (reference, list) in by_reference {
        for pair in list.windows(2) {
            let ended = pair[0].ended;
            if ended.is_none_or(|ended| ended > pair[1].began + slack) {
                faults.push(format!("{reference} overlaps: {pair:?}"));
            }
            if pair[0].class == "ship" && !pair[0].never_ran {
                faults.push(format!("{reference} once ran twice: {pair:?}"));
            }
        }
    }
    for (key, list) in by_key {
        for pair in list.windows(2) {
            let ended = pair[0].ended;
            if ended.is_none_or(|ended| ended > pair[1].began + slack) {
                faults.push(format!("key {key} overlaps: {pair:?}"));
            }
            let rested = ended.map(|ended| pair[1].began.saturating_duration_since(ended));
            let may_run = matches!(pair[0].how, "quit" | "closed" | "reset");
            if may_run
                && pair[0].reference != pair[1].reference
                && rested.is_some_and(|rested| rested < Duration::from_millis(440))
            {
                faults.push(format!("key {key} rested {rested:?}: {pair:?}"));
            }
        }
    }
    record.line(format!(
        "seed {seed}: sent {:?} served {:?} refused {:?} failed {:?}, attempts {}",
        totals.sent,
        totals.served,
        totals.refused,
        totals.failed,
        attempts.len()
    ));
    for fault in faults.iter() {
        record.line(fault);
    }
    if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
