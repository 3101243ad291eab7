//! Parsing of `time_of_day` in a request that `doortrack expr eval` reads.

use std::process::Command;

use serde_json::json;

/// Guards against unreadable seconds that are taken for 0, and against times outside a day.
#[test]
fn a_time_of_day_is_read_completely_or_refused() {
    let file = std::env::temp_dir().join(format!("doortrack-time-{}.json", std::process::id()));
    let eval = |time: &str, source: &str| {
        std::fs::write(&file, json!({"time_of_day": time}).to_string()).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_doortrack"))
            .args(["expr", "eval", source, "--request"])
            .arg(&file)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let is_true = |time: &str, source: &str| eval(time, source).1.starts_with("true");
    assert!(is_true("09:30", "time_of_day == 9h + 30m"));
    assert!(is_true("09:30:15", "time_of_day == 9h + 30m + 15s"));
    for time in [
        "09:30:xx", "09:30:", "09:30:+5", "09:60", "24:00", "-1:00", "09",
    ] {
        let (code, output_text) = eval(time, "time_of_day");
        assert_eq!(code, Some(1), "{time}: {output_text}");
        assert!(
            output_text.contains("request.time_of_day: a time as"),
            "{time}: {output_text}"
        );
    }
    std::fs::remove_file(file).unwrap();
}
