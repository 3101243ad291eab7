//! What of a condition can be looked up instead of asked: comparisons of something of the request with
//! known texts, where they are the whole condition or one part of several that all must hold.

use doortrack_expr::{Expr, Kind, Op, cgi_name};

/// Something of a request that has one text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Place {
    Path,
    Method,
    Front,
    /// By its CGI name.
    Variable(String),
    Segment(usize),
}

/// One part of a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// The path begins so.
    Prefix(String),
    /// This place has one of these texts.
    OneOf(Place, Vec<String>),
}

/// Texts beyond which a list is not lifted: each is an entry of the index.
const MOST_TEXTS: usize = 256;

pub(crate) fn parts(when: &Expr) -> Vec<Part> {
    match &when.kind {
        Kind::All(parts) => parts.iter().filter_map(part).collect(),
        _ => part(when).into_iter().collect(),
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

fn part(expr: &Expr) -> Option<Part> {
    match &expr.kind {
        Kind::Call { name, args, .. } if name == "starts_with" => {
            match (&args[..], &args.get(1)?.kind) {
                ([of, _], Kind::Str(start))
                    if place(of, &[]) == Some(Place::Path) && !start.is_empty() =>
                {
                    Some(Part::Prefix(start.clone()))
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

fn one_of(of: &Expr, texts: Vec<String>) -> Option<Part> {
    // What is too long or absent reads as an empty text here and there, so those are asked.
    if texts.len() > MOST_TEXTS || texts.iter().any(String::is_empty) {
        return None;
    }
    Some(Part::OneOf(place(of, &texts)?, texts))
}

/// What of the request this is the text of. Where it may be absent, what stands for it must be none of the
/// texts.
fn place(expr: &Expr, texts: &[String]) -> Option<Place> {
    match &expr.kind {
        Kind::Name(name) => match name.as_str() {
            "path" => Some(Place::Path),
            "method" => Some(Place::Method),
            "front" => Some(Place::Front),
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
                ("header", Some(Kind::Str(name))) => Some(Place::Variable(cgi_name(name))),
                ("variable", Some(Kind::Str(name))) => Some(Place::Variable(name.clone())),
                ("segment", Some(Kind::Int(nth))) => usize::try_from(*nth).ok().map(Place::Segment),
                _ => None,
            }
        }
        _ => None,
    }
}
