//! A text of an expression that does not depend on how the expression is laid out in its source.

use doortrack_expr::{Expr, Kind};

/// Formats an expression without its spans, so that equal expressions at different positions have equal texts.
pub(crate) fn without_spans(expr: &Expr) -> String {
    let all = |exprs: &[Expr]| {
        exprs
            .iter()
            .map(without_spans)
            .collect::<Vec<_>>()
            .join(",")
    };
    match &expr.kind {
        Kind::List(items) => format!("[{}]", all(items)),
        Kind::Not(operand) => format!("!({})", without_spans(operand)),
        Kind::Neg(operand) => format!("-({})", without_spans(operand)),
        Kind::All(parts) => format!("all({})", all(parts)),
        Kind::Any(parts) => format!("any({})", all(parts)),
        Kind::Binary(op, left, right) => {
            format!(
                "({}{}{})",
                without_spans(left),
                op.sign(),
                without_spans(right)
            )
        }
        Kind::If(when, then, other) => {
            format!(
                "if({},{},{})",
                without_spans(when),
                without_spans(then),
                without_spans(other)
            )
        }
        Kind::Let {
            name, value, body, ..
        } => {
            format!(
                "let({name},{},{})",
                without_spans(value),
                without_spans(body)
            )
        }
        Kind::Call { name, args, .. } => format!("{name}({})", all(args)),
        Kind::Each { name, body, .. } => format!("{name}->{}", without_spans(body)),
        other => format!("{other:?}"),
    }
}
