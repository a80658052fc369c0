//! Tests of the simulator's adapter: each runs the program and compares its binary replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("simulator-adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    // The adapter ends at malformed input, so it may not read all of it.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("simulator-adapter ends")
}

fn event_record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; 48];
    record[0] = code;
    record[1] = 3;
    for (offset, bytes) in fields {
        record[*offset..offset + bytes.len()].copy_from_slice(bytes);
    }
    record
}

fn batch(clock_ms: f64, number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let record_bytes: usize = records.iter().map(Vec::len).sum();
    let mut frame = ((20 + record_bytes + tail.len()) as u32)
        .to_le_bytes()
        .to_vec();
    frame.extend(clock_ms.to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(number.to_le_bytes());
    frame.extend(records.concat());
    frame.extend(tail);
    frame
}

const SETTINGS: &str = r#"{"nInstances":1,"unknown":[1],"classes":[{"promiseMs":500,"giveUpMs":2000,
"effect":"repeatable","points":1}],"guarantees":{"coldMs":1000,"coldShare":0.3,"drainGraceMs":250,
"overloadForMs":1000,"tipMultiple":2},"limits":{"attemptsCap":3}}"#;

fn tail_reference(offset: usize, length: usize) -> Vec<u8> {
    [(offset as u32).to_le_bytes(), (length as u32).to_le_bytes()].concat()
}

fn start_record(settings: &str) -> Vec<u8> {
    event_record(
        6,
        &[
            (3, &9u64.to_le_bytes()),
            (11, &tail_reference(0, settings.len())),
        ],
    )
}

const ENGINE: [u8; 6] = [10, 18, 74, 7, 0x93, 0x1f];

/// A tail with the settings, followed by a list of one ready engine.
fn settings_and_engine_list(settings: &str) -> Vec<u8> {
    let mut entry = [0u8; 24];
    entry[..6].copy_from_slice(&ENGINE);
    entry[11] = 1;
    [settings.as_bytes(), &entry].concat()
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let output = run_adapter(&batch(53_104.0, 1, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn request_is_sent_to_the_listed_engine() {
    let (tail, offset, engine) = (settings_and_engine_list(SETTINGS), SETTINGS.len(), ENGINE);
    let deadline = 4000f64.to_le_bytes();
    let records = [
        start_record(SETTINGS),
        event_record(
            3,
            &[(1, &0u16.to_le_bytes()), (3, &tail_reference(offset, 1))],
        ),
        event_record(2, &[(3, &[2])]),
        event_record(11, &[(3, &77u32.to_le_bytes()), (18, &deadline)]),
        event_record(4, &[(1, &8u16.to_le_bytes())]),
    ];
    let output = run_adapter(&batch(2000.0, 5, &records, &tail));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let attempts: Vec<&[u8]> = output.stdout[12..]
        .chunks(24)
        .filter(|record| record[0] == 65)
        .collect();
    assert_eq!(attempts.len(), 1);
    assert_eq!(&attempts[0][1..7], [3, 0, 77, 0, 0, 0]);
    assert_eq!(&attempts[0][15..21], engine);
}

#[test]
fn measured_memory_sets_the_memory_grant_of_later_requests() {
    let specifics = r#"{"specifics":{"bills":true,"takesGrants":true},"tenants":[{"quotaPerS":5}],"az":1,"nInst"#;
    let settings = SETTINGS.replacen("{\"nInst", specifics, 1);
    let (tail, offset, engine) = (settings_and_engine_list(&settings), settings.len(), ENGINE);
    let (endpoint_list, engine_list) = (
        event_record(2, &[(3, &[2])]),
        event_record(
            3,
            &[(1, &0u16.to_le_bytes()), (3, &tail_reference(offset, 1))],
        ),
    );
    let mut records = vec![start_record(&settings), engine_list, endpoint_list];
    for id in 1..40u32 {
        let (deadline, estimate) = (9000f64.to_le_bytes(), 100f32.to_le_bytes());
        records.push(event_record(
            11,
            &[(3, &id.to_le_bytes()), (18, &deadline), (34, &estimate)],
        ));
        let (elapsed, statistics) = (50f64.to_le_bytes(), (50u32 << 12 | 75).to_le_bytes());
        let ok = 100u16.to_le_bytes();
        let attempt_ended = [
            (3, &id.to_le_bytes()[..]),
            (7, &elapsed),
            (15, &[1]),
            (16, &engine),
            (24, &statistics),
            (28, &ok),
        ];
        records.push(event_record(9, &attempt_ended));
    }
    let output = run_adapter(&batch(2000.0, 5, &records, &tail));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let terms: Vec<&[u8]> = output.stdout[12..]
        .chunks(24)
        .filter(|record| record[0] == 77)
        .collect();
    let last = terms
        .last()
        .expect("a memory grant after answers with measured memory");
    assert_eq!(&last[1..7], [3, 0, 39, 0, 0, 0]);
    let granted_mb = f32::from_le_bytes(last[7..11].try_into().unwrap());
    assert!(
        (250.0..500.0).contains(&granted_mb),
        "queries needed 300 MB, memory grant {granted_mb} MB"
    );
    assert_eq!(last[11], 1);
}

#[test]
fn invalid_settings_are_reported_with_the_reason() {
    for (settings, reason) in [
        ("{}", "settings"),
        (
            &SETTINGS.replace("\"nInstances\":1", "\"nInstances\":0"),
            "instance",
        ),
    ] {
        let output = run_adapter(&batch(
            0.0,
            1,
            &[start_record(settings)],
            settings.as_bytes(),
        ));
        assert!(output.status.success());
        assert_eq!(output.stdout[12], 74);
        assert!(String::from_utf8_lossy(&output.stdout).contains(reason));
    }
}

#[test]
fn malformed_input_ends_the_adapter_with_one_line_on_stderr() {
    let mut huge_frame = u32::MAX.to_le_bytes().to_vec();
    huge_frame.extend([0; 16]);
    let mut wrong_count = batch(0.0, 7, &[], &[]);
    wrong_count[12] = 200;
    let cases: [(Vec<u8>, &str); 8] = [
        (vec![1, 2, 3], "header"),
        (huge_frame, "input ends"),
        (wrong_count, "batch 7"),
        (batch(f64::NAN, 3, &[], &[]), "clock"),
        (
            batch(0.0, 4, &[event_record(99, &[])], &[]),
            "record 0: unknown event code 99",
        ),
        (
            batch(0.0, 4, &[start_record(SETTINGS)], b"short"),
            "settings",
        ),
        (
            batch(
                0.0,
                4,
                &[event_record(2, &[(12, &9u16.to_le_bytes())])],
                &[],
            ),
            "list number 9",
        ),
        (
            batch(
                0.0,
                4,
                &[event_record(9, &[(28, &55u16.to_le_bytes())])],
                &[],
            ),
            "outcome 55",
        ),
    ];
    for (input, expected) in cases {
        let output = run_adapter(&input);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{expected}");
        assert!(
            text.lines().count() == 1 && text.contains(expected),
            "{expected}: {text}"
        );
    }
}
