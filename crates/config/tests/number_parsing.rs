//! Numbers and hex digits of the configuration that were parsed to a different value.

use doortrack_config::fleet::read_key;
use doortrack_config::node_config;
use doortrack_time::MILLISECOND;
use serde_json::{Value, json};

fn parse(key: &str, value: Value) -> Result<node_config::NodeConfig, String> {
    let mut config = doortrack_fakes::fixture::config();
    config[key] = value;
    node_config::parse(config.to_string().as_bytes()).map_err(|errors| errors.to_string())
}

/// Guards against a stop time that is rounded to a 32-bit float, or that overflows the unit of time.
#[test]
fn the_stop_time_is_exact_or_rejected() {
    let exact = parse("stop_ms", json!(16_777_217)).unwrap().stop_after;
    assert_eq!(exact, 16_777_217 * MILLISECOND);
    let tenths = parse("stop_ms", json!(1500.5)).unwrap().stop_after;
    assert_eq!(tenths, 1500 * MILLISECOND + MILLISECOND / 2);
    for too_long in [json!(u64::from(u32::MAX) + 1), json!(1e30)] {
        let error = parse("stop_ms", too_long).unwrap_err();
        assert!(error.starts_with("config.stop_ms: "), "{error}");
    }
}

/// Guards against a sign before the digits, which the number parsers of the standard library accept.
#[test]
fn seeds_and_keys_consist_of_hex_digits_only() {
    assert_eq!(parse("seed", json!("00fF")).unwrap().seed, 255);
    let error = parse("seed", json!("+ff")).unwrap_err();
    assert!(error.starts_with("config.seed: "), "{error}");
    let path = std::env::temp_dir().join(format!("doortrack-key-{}", std::process::id()));
    let read = |digits: String| {
        std::fs::write(&path, digits).unwrap();
        read_key(&path).map_err(|error| error.to_string())
    };
    assert_eq!(read("5a".repeat(32)), Ok([0x5a; 32]));
    assert!(read("+a".repeat(32)).unwrap_err().contains("64 hex digits"));
    std::fs::remove_file(path).unwrap();
}
