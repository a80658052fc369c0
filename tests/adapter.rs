//! The adapter's frames, through the real binary.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut stdin = child.stdin.take().unwrap();
    // It may end before it has read all: that is what some tests are about.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("ends")
}

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut r = vec![0; 48];
    r[0] = code;
    r[1] = 3;
    for (at, bytes) in fields {
        r[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    r
}

fn batch(clock: f64, number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: usize = records.iter().map(Vec::len).sum();
    let mut out = ((20 + body + tail.len()) as u32).to_le_bytes().to_vec();
    out.extend(clock.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend(records.concat());
    out.extend(tail);
    out
}

const SETUP: &str = r#"{"nInstances":1,"unknown":[1],"classes":[{"promiseMs":500,"giveUpMs":2000,
"effect":"repeatable","points":1}],"guarantees":{"coldMs":1000,"coldShare":0.3,"drainGraceMs":250,
"overloadForMs":1000,"tipMultiple":2},"limits":{"attemptsCap":3}}"#;

fn span(offset: usize, length: usize) -> Vec<u8> {
    [(offset as u32).to_le_bytes(), (length as u32).to_le_bytes()].concat()
}

fn start(setup: &str) -> Vec<u8> {
    record(6, &[(3, &9u64.to_le_bytes()), (11, &span(0, setup.len()))])
}

const ENGINE: [u8; 6] = [10, 18, 74, 7, 0x93, 0x1f];

/// The settings and, behind them, a list of one ready engine.
fn tail_of(setup: &str) -> Vec<u8> {
    let mut line = [0u8; 24];
    line[..6].copy_from_slice(&ENGINE);
    line[11] = 1;
    [setup.as_bytes(), &line].concat()
}

#[test]
fn empty_batch_gets_the_documented_reply() {
    let out = run(&batch(53_104.0, 1, &[], &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn request_is_sent_to_the_listed_engine() {
    let (tail, at, engine) = (tail_of(SETUP), SETUP.len(), ENGINE);
    let due = 4000f64.to_le_bytes();
    let records = [
        start(SETUP),
        record(3, &[(1, &0u16.to_le_bytes()), (3, &span(at, 1))]),
        record(2, &[(3, &[2])]),
        record(11, &[(3, &77u32.to_le_bytes()), (18, &due)]),
        record(4, &[(1, &8u16.to_le_bytes())]),
    ];
    let out = run(&batch(2000.0, 5, &records, &tail));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let sends: Vec<&[u8]> = out.stdout[12..].chunks(24).filter(|r| r[0] == 65).collect();
    assert_eq!(sends.len(), 1);
    assert_eq!(&sends[0][1..7], [3, 0, 77, 0, 0, 0]);
    assert_eq!(&sends[0][15..21], engine);
}

#[test]
fn measured_memory_comes_back_as_a_grant() {
    let specifics = r#"{"specifics":{"bills":true,"takesGrants":true},"tenants":[{"quotaPerS":5}],"az":1,"nInst"#;
    let setup = SETUP.replacen("{\"nInst", specifics, 1);
    let (tail, at, engine) = (tail_of(&setup), setup.len(), ENGINE);
    let (lists, inventory) = (
        record(2, &[(3, &[2])]),
        record(3, &[(1, &0u16.to_le_bytes()), (3, &span(at, 1))]),
    );
    let mut records = vec![start(&setup), inventory, lists];
    for id in 1..40u32 {
        let (due, estimate) = (9000f64.to_le_bytes(), 100f32.to_le_bytes());
        records.push(record(
            11,
            &[(3, &id.to_le_bytes()), (18, &due), (34, &estimate)],
        ));
        let (took, stats) = (50f64.to_le_bytes(), (50u32 << 12 | 75).to_le_bytes());
        let ok = 100u16.to_le_bytes();
        let outcome = [
            (3, &id.to_le_bytes()[..]),
            (7, &took),
            (15, &[1]),
            (16, &engine),
            (24, &stats),
            (28, &ok),
        ];
        records.push(record(9, &outcome));
    }
    let out = run(&batch(2000.0, 5, &records, &tail));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let terms: Vec<&[u8]> = out.stdout[12..].chunks(24).filter(|r| r[0] == 77).collect();
    let last = terms.last().expect("a grant once bills are known");
    assert_eq!(&last[1..7], [3, 0, 39, 0, 0, 0]);
    let granted = f32::from_le_bytes(last[7..11].try_into().unwrap());
    assert!(
        (250.0..500.0).contains(&granted),
        "needed 300 MB: {granted}"
    );
    assert_eq!(last[11], 1);
}

#[test]
fn contradictory_settings_end_in_a_fault_with_the_reason() {
    for (setup, reason) in [
        ("{}", "settings"),
        (
            &SETUP.replace("\"nInstances\":1", "\"nInstances\":0"),
            "instance",
        ),
    ] {
        let out = run(&batch(0.0, 1, &[start(setup)], setup.as_bytes()));
        assert!(out.status.success());
        assert_eq!(out.stdout[12], 74);
        assert!(String::from_utf8_lossy(&out.stdout).contains(reason));
    }
}

#[test]
fn malformed_input_ends_in_one_plain_line() {
    let mut huge = u32::MAX.to_le_bytes().to_vec();
    huge.extend([0; 16]);
    let mut wrong_count = batch(0.0, 7, &[], &[]);
    wrong_count[12] = 200;
    let cases: [(Vec<u8>, &str); 8] = [
        (vec![1, 2, 3], "header"),
        (huge, "input ends"),
        (wrong_count, "batch 7"),
        (batch(f64::NAN, 3, &[], &[]), "clock"),
        (
            batch(0.0, 4, &[record(99, &[])], &[]),
            "record 0: unknown event code 99",
        ),
        (batch(0.0, 4, &[start(SETUP)], b"short"), "settings"),
        (
            batch(0.0, 4, &[record(2, &[(12, &9u16.to_le_bytes())])], &[]),
            "list number 9",
        ),
        (
            batch(0.0, 4, &[record(9, &[(28, &55u16.to_le_bytes())])], &[]),
            "outcome 55",
        ),
    ];
    for (input, what) in cases {
        let out = run(&input);
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{what}");
        assert!(
            text.lines().count() == 1 && text.contains(what),
            "{what}: {text}"
        );
    }
}
