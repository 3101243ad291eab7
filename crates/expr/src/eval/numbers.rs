//! Arithmetic that can't fail: results saturate, and division by zero is absent.

use crate::ast::Op;
use crate::value::Value;

/// Clamps an infinite result to the largest finite float.
fn finite(x: f64) -> f64 {
    x.clamp(f64::MIN, f64::MAX)
}

pub(super) fn arithmetic<'v>(op: Op, left: Value<'v>, right: Value<'v>) -> Value<'v> {
    let whole = |a: i64, b: i64| match op {
        Op::Add => a.saturating_add(b),
        Op::Sub => a.saturating_sub(b),
        _ => a.saturating_mul(b),
    };
    match (left, right) {
        (Value::Int(a), Value::Int(b)) => Value::Int(whole(a, b)),
        (Value::Duration(a), Value::Duration(b) | Value::Int(b)) => Value::Duration(whole(a, b)),
        (Value::Float(a), Value::Float(b)) => Value::Float(finite(match op {
            Op::Add => a + b,
            Op::Sub => a - b,
            _ => a * b,
        })),
        _ => Value::Absent,
    }
}

pub(super) fn divide<'v>(op: Op, left: Value<'v>, right: Value<'v>) -> Value<'v> {
    let whole = |a: i64, b: i64| match (op, b) {
        (_, 0) => None,
        (Op::Div, _) => Some(a.saturating_div(b)),
        // `i64::MIN % -1`, the only overflow, has the remainder 0.
        _ => Some(a.checked_rem(b).unwrap_or(0)),
    };
    match (left, right) {
        (Value::Int(a), Value::Int(b)) => whole(a, b).map_or(Value::Absent, Value::Int),
        (Value::Duration(a), Value::Duration(b) | Value::Int(b)) => {
            whole(a, b).map_or(Value::Absent, Value::Duration)
        }
        (Value::Float(a), Value::Float(b)) if b != 0.0 => Value::Float(finite(a / b)),
        _ => Value::Absent,
    }
}
