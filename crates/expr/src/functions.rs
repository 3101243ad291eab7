//! The built-in names of the language: request fields and functions.

use crate::program::Field;
use crate::types::Type;

/// Returns the request field of this name and its type.
pub(crate) fn field(name: &str) -> Option<(Field, Type)> {
    Some(match name {
        "method" => (Field::Method, Type::Str),
        "path" => (Field::Path, Type::Str),
        "query" => (Field::Query, Type::Str),
        "segments" => (Field::Segments, Type::Str.list()),
        "body" => (Field::Body, Type::Bytes),
        "body_length" => (Field::BodyLength, Type::Int),
        "front" => (Field::Front, Type::Str),
        "peer" => (Field::Peer, Type::Addr),
        "time_of_day" => (Field::TimeOfDay, Type::Duration),
        _ => return None,
    })
}

pub(crate) const FIELDS: [&str; 9] = [
    "method",
    "path",
    "query",
    "segments",
    "body",
    "body_length",
    "front",
    "peer",
    "time_of_day",
];

/// Function names, each with a usage example for error messages.
pub(crate) const FUNCTIONS: [(&str, &str); 29] = [
    ("header", "header(\"x-yard\")"),
    ("raw_header", "raw_header(\"x-yard\")"),
    ("variable", "variable(\"REMOTE_USER\")"),
    ("parameter", "parameter(\"berth\")"),
    ("segment", "segment(0)"),
    ("lower", "lower(text)"),
    ("upper", "upper(text)"),
    ("trim", "trim(text)"),
    ("len", "len(text), len(bytes) or len(list)"),
    ("hash", "hash(text) or hash(bytes)"),
    ("hex", "hex(int)"),
    ("int", "int(text) or int(float)"),
    ("float", "float(text) or float(int)"),
    ("text", "text(bytes)"),
    ("bytes", "bytes(text)"),
    ("present", "present(optional)"),
    ("starts_with", "starts_with(text, start)"),
    ("ends_with", "ends_with(text, end)"),
    ("contains", "contains(text, part)"),
    ("matches", "matches(text, \"regular expression\")"),
    ("split", "split(text, \"separator\", most)"),
    ("substring", "substring(text, from, count)"),
    ("get", "get(list, place)"),
    ("min", "min(one, other)"),
    ("max", "max(one, other)"),
    ("any", "any(list, item -> bool)"),
    ("all", "all(list, item -> bool)"),
    ("first", "first(list, item -> bool)"),
    ("cidr", "cidr(address, \"10.0.0.0/8\", ...)"),
];

pub(crate) fn usage(name: &str) -> Option<&'static str> {
    FUNCTIONS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, usage)| *usage)
}
