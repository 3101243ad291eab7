//! Extracts the parts of a condition that an index can look up: comparisons of a request attribute with string
//! literals that are the whole condition or one of its conjuncts.

use doortrack_expr::{Expr, Kind, Op, cgi_name};

/// A request attribute whose value is a string.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Attribute {
    Path,
    Method,
    Front,
    /// A variable, by its CGI name.
    Variable(String),
    /// A path segment, by its index.
    Segment(usize),
}

/// A part of a condition that can be looked up in the index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Predicate {
    /// The path starts with this string.
    Prefix(String),
    /// The attribute equals one of these strings.
    OneOf(Attribute, Vec<String>),
}

/// Maximum length of a string list that is indexed. Each string is an entry of the index.
const MAX_TEXTS: usize = 256;

/// Returns the conjuncts of `when` that can be looked up.
pub(crate) fn predicates(when: &Expr) -> Vec<Predicate> {
    match &when.kind {
        Kind::All(parts) => parts.iter().filter_map(predicate).collect(),
        _ => predicate(when).into_iter().collect(),
    }
}

/// Returns the parts of a condition that must all hold. They are compared to find out whether two conditions are
/// equal or one contains the other.
pub(crate) fn conjuncts(when: &Expr) -> &[Expr] {
    match &when.kind {
        Kind::All(parts) => parts,
        _ => std::slice::from_ref(when),
    }
}

fn predicate(expr: &Expr) -> Option<Predicate> {
    match &expr.kind {
        Kind::Call { name, args, .. } if name == "starts_with" => {
            match (&args[..], &args.get(1)?.kind) {
                ([operand, _], Kind::Str(prefix))
                    if attribute(operand, &[]) == Some(Attribute::Path) && !prefix.is_empty() =>
                {
                    Some(Predicate::Prefix(prefix.clone()))
                }
                _ => None,
            }
        }
        Kind::Binary(Op::Eq, left, right) => match (&left.kind, &right.kind) {
            (_, Kind::Str(text)) => one_of(left, vec![text.clone()]),
            (Kind::Str(text), _) => one_of(right, vec![text.clone()]),
            _ => None,
        },
        Kind::Binary(Op::In, operand, list) => {
            let Kind::List(items) = &list.kind else {
                return None;
            };
            let texts = items.iter().map(|item| {
                if let Kind::Str(text) = &item.kind {
                    Some(text.clone())
                } else {
                    None
                }
            });
            one_of(operand, texts.collect::<Option<Vec<String>>>()?)
        }
        _ => None,
    }
}

fn one_of(operand: &Expr, texts: Vec<String>) -> Option<Predicate> {
    // Some absent or overlong values read as an empty string, so a comparison with one is not indexed.
    if texts.len() > MAX_TEXTS || texts.iter().any(String::is_empty) {
        return None;
    }
    Some(Predicate::OneOf(attribute(operand, &texts)?, texts))
}

/// Returns the attribute that `expr` reads, or `None` if it can't be indexed. An optional attribute can be indexed
/// only if its default is not one of `texts`: the index finds no rule for an absent attribute.
fn attribute(expr: &Expr, texts: &[String]) -> Option<Attribute> {
    match &expr.kind {
        Kind::Name(name) => match name.as_str() {
            "path" => Some(Attribute::Path),
            "method" => Some(Attribute::Method),
            "front" => Some(Attribute::Front),
            _ => None,
        },
        Kind::Binary(Op::Else, operand, default_value) => {
            let Kind::Str(default_value) = &default_value.kind else {
                return None;
            };
            if texts.contains(default_value) {
                return None;
            }
            let Kind::Call { name, args, .. } = &operand.kind else {
                return None;
            };
            match (name.as_str(), args.first().map(|arg| &arg.kind)) {
                ("header", Some(Kind::Str(name))) => Some(Attribute::Variable(cgi_name(name))),
                ("variable", Some(Kind::Str(name))) => Some(Attribute::Variable(name.clone())),
                ("segment", Some(Kind::Int(nth))) => {
                    usize::try_from(*nth).ok().map(Attribute::Segment)
                }
                _ => None,
            }
        }
        _ => None,
    }
}
