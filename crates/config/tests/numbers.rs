//! Numbers and digits of the node's configuration that were read as something else than what stands there.

use doortrack_config::node_config;
use doortrack_time::MILLISECOND;
use serde_json::{Value, json};

fn parse(key: &str, value: Value) -> Result<node_config::NodeConfig, String> {
    let mut config = doortrack_fakes::fixture::config();
    config[key] = value;
    node_config::parse(config.to_string().as_bytes()).map_err(|errors| errors.to_string())
}

/// Guards against a stop that is rounded to what 32 bits of a float hold, and one that overflows the unit of time.
#[test]
fn the_time_to_the_stop_is_read_exactly_or_refused() {
    let exact = parse("stop_ms", json!(16_777_217)).unwrap().stop_after;
    assert_eq!(exact, 16_777_217 * MILLISECOND);
    let tenths = parse("stop_ms", json!(1500.5)).unwrap().stop_after;
    assert_eq!(tenths, 1500 * MILLISECOND + MILLISECOND / 2);
    for too_long in [json!(u64::from(u32::MAX) + 1), json!(1e30)] {
        let error = parse("stop_ms", too_long).unwrap_err();
        assert!(error.starts_with("config.stop_ms: "), "{error}");
    }
}
