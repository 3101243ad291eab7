//! Tests of the program over standard input and output: its replies, and the errors with which it stops.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

/// Deployment settings with one endpoint group and all gauges.
fn settings() -> Value {
    json!({
        "bounds": {"max_retry_after": 1_000_000, "retry_after": true},
        "family_info": {
            "below": "silent", "calls_by_class": [false], "calls_out": 0, "class_skip_worth": [0],
            "cores": 4, "dep_window": 5_000_000, "fresh": 0, "fresh_start": false,
            "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "drop",
            "keepalive_max": 30_000_000, "key_kb": 50, "linger": 0, "memory_kb": 10_000,
            "run_factor": 8, "said_for": 1_000_000, "say": "min_rank"
        },
        "lanes": [{"deadline": 30_000_000, "idempotency": "safe", "late_worth": 0, "name": "look",
            "target": 20_000_000, "window": 5_000_000, "worth": 1}],
        "over_share_worth": 0.1,
        "safety": {"drain_grace": 1_000_000, "overload_for": 2_000_000, "ramp_time": 10_000_000,
            "start_capacity": 0.25, "tip_multiple": 5},
        "servers": 3, "tick": 4000, "worth_by": "request"
    })
}

/// Encodes a batch of records at the time `micros`.
fn batch(micros: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let records = records.concat();
    let mut batch = (records.len() as u32).to_le_bytes().to_vec();
    batch.extend(micros.to_le_bytes());
    batch.extend(records);
    batch
}

fn record(code: u8, node: u32, fields: &[&[u8]]) -> Vec<u8> {
    let mut record = vec![code];
    record.extend(node.to_le_bytes());
    record.extend(fields.concat());
    record
}

fn provision(node: u32, env: &str) -> Vec<u8> {
    let seed = 7_u64.to_le_bytes();
    let length = (env.len() as u32).to_le_bytes();
    record(1, node, &[&seed, &length, env.as_bytes()])
}

/// Encodes a request of 50 bytes for the first endpoint group, without a deadline and with 10 kB of memory.
fn request(node: u32, id: u32) -> Vec<u8> {
    let fields: [&[u8]; 12] = [
        &id.to_le_bytes(),
        &[0],
        &0_u16.to_le_bytes(),
        &99_u64.to_le_bytes(),
        &0_u64.to_le_bytes(),
        &12_000_u32.to_le_bytes(),
        &10_f32.to_le_bytes(),
        &0.5_f32.to_le_bytes(),
        &[1],
        &17_u16.to_le_bytes(),
        &1_850_u32.to_le_bytes(),
        &0_u32.to_le_bytes(),
    ];
    record(6, node, &fields)
}

fn run(input: &[u8]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_doortrack-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = program.stdin.take().unwrap();
    // The write fails if the program stops before it has read all input.
    _ = stdin.write_all(input);
    drop(stdin);
    program.wait_with_output().unwrap()
}

/// Runs the program and returns its error message, without the program's name.
fn error_after(input: &[Vec<u8>]) -> String {
    let output = run(&input.concat());
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    let error = text.strip_prefix("doortrack-drill: ").unwrap();
    error.trim_end().to_string()
}

fn started() -> Vec<u8> {
    batch(1_000, &[provision(3, &settings().to_string())])
}

/// Splits off the first reply, without its header. Returns it and the remaining bytes.
fn split_reply(replies: &[u8]) -> (&[u8], &[u8]) {
    let (length, rest) = replies.split_first_chunk().unwrap();
    rest.split_at(u32::from_le_bytes(*length) as usize)
}

#[test]
fn each_batch_gets_one_reply_and_the_program_exits_at_the_end_of_the_input() {
    let output = run(&[batch(0, &[]), batch(5, &[])].concat());
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0; 8]);
    assert!(run(&[]).stdout.is_empty());
}

#[test]
fn a_request_is_answered_with_actions_of_its_node() {
    let arrived = batch(2_000, &[request(3, 0x3d5a_91c4)]);
    let output = run(&[started(), arrived].concat());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let (_, rest) = split_reply(&output.stdout);
    let (reply, rest) = split_reply(rest);
    assert!(rest.is_empty());
    // The node is idle, so the request is run at once.
    let take = record(65, 3, &[&0x3d5a_91c4_u32.to_le_bytes()]);
    assert!(
        reply.windows(take.len()).any(|bytes| bytes == take),
        "{reply:02x?}"
    );
}

#[test]
fn events_for_a_killed_node_are_rejected() {
    let killed = batch(2_000, &[record(4, 3, &[])]);
    let gone = batch(3_000, &[record(3, 3, &[&1_u32.to_le_bytes()])]);
    let offset = started().len() + killed.len() + 12;
    assert_eq!(
        error_after(&[started(), killed, gone]),
        format!("byte {offset}: node 3 was never started")
    );
}

#[test]
fn truncated_input_is_rejected_with_its_offset() {
    assert_eq!(
        error_after(&[vec![0; 5]]),
        "byte 0: a header needs 12 bytes, the input ends after 5"
    );
    let mut cut = batch(0, &[record(4, 3, &[])]);
    cut.pop();
    assert_eq!(
        error_after(&[cut]),
        "byte 12: the frame length is 5 bytes, the input ends after 4"
    );
}

#[test]
fn a_truncated_field_is_rejected_with_its_name_and_offset() {
    let truncated =
        |fields: &[u8], code: u8| error_after(&[batch(0, &[record(code, 3, &[fields])])]);
    assert_eq!(
        truncated(&[0; 3], 2),
        "byte 17: req needs 4 bytes, the frame has 3 left"
    );
    assert_eq!(
        truncated(&[], 1),
        "byte 17: init_seed needs 8 bytes, the frame has 0 left"
    );
    assert_eq!(
        truncated(&[1; 12], 1),
        "byte 29: env needs 16843009 bytes, the frame has 0 left"
    );
    assert_eq!(
        truncated(&[1; 10], 5),
        "byte 26: a gauge needs 4 bytes, the frame has 1 left"
    );
    assert_eq!(
        error_after(&[batch(0, &[vec![4, 1]])]),
        "byte 13: node_id needs 4 bytes, the frame has 1 left"
    );
    let request = request(3, 1);
    for (length, field) in [
        (9, "band needs 1 bytes"),
        (10, "billing needs 2 bytes"),
        (12, "resource needs 8 bytes"),
        (20, "valid_until needs 8 bytes"),
        (28, "hint needs 4 bytes"),
        (32, "kb needs 4 bytes"),
        (36, "place needs 4 bytes"),
        (40, "state_bits needs 1 bytes"),
        (41, "who needs 2 bytes"),
        (43, "lay needs 4 bytes"),
        (47, "prior needs 4 bytes"),
    ] {
        assert_eq!(
            error_after(&[batch(0, &[request[..length].to_vec()])]),
            format!("byte {}: {field}, the frame has 0 left", 12 + length)
        );
    }
}

#[test]
fn unknown_codes_are_rejected() {
    assert_eq!(
        error_after(&[batch(0, &[record(10, 3, &[])])]),
        "byte 12: unknown event code 10"
    );
    let id = 1_u32.to_le_bytes();
    let reason = 2_u16.to_le_bytes();
    assert_eq!(
        error_after(&[batch(0, &[record(7, 3, &[&id, &reason])])]),
        "byte 21: unknown outcome of a call: 2"
    );
    assert_eq!(
        error_after(&[batch(0, &[record(8, 3, &[&id, &8_u16.to_le_bytes()])])]),
        "byte 21: unknown outcome of a run: 8"
    );
}

#[test]
fn invalid_settings_are_rejected_with_the_node_and_the_key() {
    let start = |env: &str| error_after(&[batch(0, &[provision(3, env)])]);
    assert_eq!(
        start("{"),
        "byte 12: node 3: env is not JSON: EOF while parsing an object at line 1 column 1"
    );
    let mut changed = settings();
    changed["family_info"]["halt"] = json!("stop");
    assert_eq!(
        start(&changed.to_string()),
        "byte 12: node 3: env.family_info.halt: silent, drop or pause is wanted, found \"stop\""
    );
}
