//! The parts of a condition that an index can look up: comparisons of an attribute of the request with literal
//! texts, where they are the whole condition or one of several parts that must all hold.

use doortrack_expr::{Expr, Kind, Op, cgi_name};

/// A value of a request that is one text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Attribute {
    Path,
    Method,
    Front,
    /// By its CGI name.
    Variable(String),
    Segment(usize),
}

/// One part of a condition that can be looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Predicate {
    /// The path begins so.
    Prefix(String),
    /// This attribute is one of these texts.
    OneOf(Attribute, Vec<String>),
}

/// Texts beyond which a list is not lifted: each is an entry of the index.
const MAX_TEXTS: usize = 256;

pub(crate) fn predicates(when: &Expr) -> Vec<Predicate> {
    match &when.kind {
        Kind::All(parts) => parts.iter().filter_map(predicate).collect(),
        _ => predicate(when).into_iter().collect(),
    }
}

/// Conditions side by side that must all hold; by these two can be told to be the same, or one to be
/// contained.
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
                ([of, _], Kind::Str(start))
                    if attribute(of, &[]) == Some(Attribute::Path) && !start.is_empty() =>
                {
                    Some(Predicate::Prefix(start.clone()))
                }
                _ => None,
            }
        }
        Kind::Binary(Op::Eq, left, right) => match (&left.kind, &right.kind) {
            (_, Kind::Str(text)) => one_of(left, vec![text.clone()]),
            (Kind::Str(text), _) => one_of(right, vec![text.clone()]),
            _ => None,
        },
        Kind::Binary(Op::In, of, list) => {
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
            one_of(of, texts.collect::<Option<Vec<String>>>()?)
        }
        _ => None,
    }
}

fn one_of(of: &Expr, texts: Vec<String>) -> Option<Predicate> {
    // What is too long or absent reads as an empty text here and there, so those are asked.
    if texts.len() > MAX_TEXTS || texts.iter().any(String::is_empty) {
        return None;
    }
    Some(Predicate::OneOf(attribute(of, &texts)?, texts))
}

/// What of the request this is the text of. Where it may be absent, what stands for it must be none of the
/// texts.
fn attribute(expr: &Expr, texts: &[String]) -> Option<Attribute> {
    match &expr.kind {
        Kind::Name(name) => match name.as_str() {
            "path" => Some(Attribute::Path),
            "method" => Some(Attribute::Method),
            "front" => Some(Attribute::Front),
            _ => None,
        },
        Kind::Binary(Op::Else, of, other) => {
            let Kind::Str(other) = &other.kind else {
                return None;
            };
            if texts.contains(other) {
                return None;
            }
            let Kind::Call { name, args, .. } = &of.kind else {
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
