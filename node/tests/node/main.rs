//! The node: its parts by themselves, and the program on sockets against a stand-in for all it talks to.

mod parts;
mod sockets;

use serde_json::{Value, json};

/// What a node may be handed; every test changes its own copy.
fn config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:9090", "engine": "127.0.0.1:4400", "registry": "127.0.0.1:2379",
        "seed": "8c1f30d27a5be964", "stop_ms": 3200, "more": true,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "bounds": {"max_retry_after": 1_000_000, "retry_after": true},
            "family_info": {
                "below": "silent", "calls_by_class": [false, false], "calls_out": 0,
                "class_skip_worth": [0, 0],
                "cores": 4, "deep_checks": false, "dep_window": 5_000_000, "fresh": 0, "fresh_start": false,
                "gauges": ["core_use"], "halt": "drop", "keepalive_max": 30_000_000, "key_kb": 50,
                "linger": 0, "memory_kb": 10_000, "passes_deadline": false, "readiness": true,
                "run_factor": 8, "said_for": 1_000_000, "say": "min_rank"
            },
            "lanes": [
                {"deadline": 30_000_000, "idempotency": "safe", "late_worth": 0, "name": "look",
                    "target": 20_000_000, "window": 5_000_000, "worth": 1},
                {"deadline": 30_000_000, "idempotency": "keyed", "late_worth": 0, "name": "pay",
                    "target": 20_000_000, "window": 60_000_000, "worth": 10}
            ],
            "over_share_worth": 0.1,
            "safety": {"drain_grace": 1_000_000, "overload_for": 2_000_000, "ramp_time": 10_000_000,
                "start_capacity": 0.25, "tip_multiple": 5},
            "servers": 3, "tick": 4000, "worth_by": "request"
        }
    })
}
