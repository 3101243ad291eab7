//! Ten typical expressions, to be evaluated on `LiteralRequest::example`.

/// The name and the source of each expression.
pub const TYPICAL: [(&str, &str); 10] = [
    ("prefix", "path.starts_with(\"/book/\")"),
    (
        "segment in set",
        "(segment(1) ?? \"\") in [\"north\", \"south\", \"east\", \"west\"]",
    ),
    (
        "header lower",
        "lower(header(\"x-yard\") ?? \"\") == \"north\"",
    ),
    (
        "header or parameter",
        "header(\"x-yard\") ?? parameter(\"yard\") ?? \"none\"",
    ),
    ("hash to shard", "hash(header(\"x-yard\") ?? \"\") % 16"),
    ("regex", "matches(path, \"^/book/[a-z]+/berth-[0-9]+$\")"),
    ("network", "cidr(peer, \"10.0.0.0/8\", \"192.168.0.0/16\")"),
    (
        "field of the body",
        "first(split(text(body) ?? \"\", \";\", 8), p -> p.starts_with(\"nights=\")) ?? \"\"",
    ),
    (
        "key",
        "let yard = lower(header(\"x-yard\") ?? \"\"); yard + \"/\" + (segment(2) ?? \"\")",
    ),
    (
        "rank",
        "if body_length > 1024 || time_of_day < 6h { 0.1 } else { 0.9 }",
    ),
];
