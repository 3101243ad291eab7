//! Source to words, on winnow. What can't be a word is told and passed over, so that the rest is read as
//! well.

use winnow::Parser;
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, opt, preceded, repeat};
use winnow::error::EmptyError;
use winnow::token::{one_of, take_till, take_while};

use crate::{Diagnostic, Span};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Word {
    Int(i64),
    Float(f64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    Name(String),
    /// A sign or a bracket.
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 28] = [
    "->", "??", "==", "!=", "<=", ">=", "&&", "||", "(", ")", "[", "]", "{", "}", ",", ";", ".",
    "=", "<", ">", "+", "-", "*", "/", "%", "!", ":", "|",
];
/// Microseconds in each unit.
const UNITS: [(&str, f64); 5] = [
    ("ms", 1e3),
    ("us", 1.0),
    ("s", 1e6),
    ("m", 6e7),
    ("h", 3.6e9),
];

type Lexed<T> = Result<T, EmptyError>;

fn blank(input: &mut &str) -> Lexed<()> {
    let comment = ("#", take_till(0.., '\n')).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn number(input: &mut &str) -> Lexed<(String, bool)> {
    let digits = (
        digit1,
        take_while(0.., |c: char| c.is_ascii_digit() || c == '_'),
    )
        .take();
    let (whole, part): (&str, Option<&str>) =
        (digits, opt(preceded('.', digit1))).parse_next(input)?;
    let whole = whole.replace('_', "");
    Ok(match part {
        Some(part) => (format!("{whole}.{part}"), true),
        None => (whole, false),
    })
}

fn name<'a>(input: &mut &'a str) -> Lexed<&'a str> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    (
        first,
        take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_'),
    )
        .take()
        .parse_next(input)
}

/// What stands between two quotes, with its escapes; none where there is no second one.
fn quoted(input: &mut &str) -> Result<Vec<u8>, &'static str> {
    let mut out = Vec::new();
    let mut chars = input.char_indices();
    chars.next();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => {
                *input = &input[at + 1..];
                return Ok(out);
            }
            '\\' => match chars.next().map(|(_, c)| c) {
                Some('n') => out.push(b'\n'),
                Some('r') => out.push(b'\r'),
                Some('t') => out.push(b'\t'),
                Some('0') => out.push(0),
                Some(c @ ('"' | '\\')) => out.push(c as u8),
                Some('x') => {
                    let digits = (chars.next(), chars.next());
                    let digit = |c: Option<(usize, char)>| c.and_then(|(_, c)| c.to_digit(16));
                    match (digit(digits.0), digit(digits.1)) {
                        (Some(high), Some(low)) => out.push((high * 16 + low) as u8),
                        _ => return Err("an escape \\x wants two hex digits"),
                    }
                }
                _ => return Err("an escape is one of \\n \\r \\t \\0 \\\" \\\\ \\xHH"),
            },
            c => out.extend(c.encode_utf8(&mut [0; 4]).bytes()),
        }
    }
    Err("a string without its end")
}

pub(crate) fn lex(source: &str) -> (Vec<(Word, Span)>, Vec<Diagnostic>) {
    let (mut words, mut faults) = (Vec::new(), Vec::new());
    let mut input = source;
    loop {
        _ = blank(&mut input);
        let from = source.len() - input.len();
        let Some(first) = input.chars().next() else {
            words.push((Word::End, Span { from, to: from }));
            return (words, faults);
        };
        let word = word(&mut input, first);
        let span = Span {
            from,
            to: source.len() - input.len(),
        };
        match word {
            Ok(word) => words.push((word, span)),
            Err(what) => {
                if what.contains("string") || what.contains("escape") {
                    // Where it ends is not known, so nothing after it is read.
                    let span = Span {
                        from,
                        to: source.len(),
                    };
                    faults.push(Diagnostic::new(span, what, "from here"));
                    words.push((Word::End, span));
                    return (words, faults);
                }
                faults.push(Diagnostic::new(span, what, "here"));
            }
        }
    }
}

fn word(input: &mut &str, first: char) -> Result<Word, &'static str> {
    if first.is_ascii_digit() {
        let (digits, is_float) = number(input).map_err(|_| "a number that can't be read")?;
        let before = *input;
        if let Ok(unit) = name(input) {
            let Some((_, micros)) = UNITS.iter().find(|(known, _)| *known == unit) else {
                return Err("a unit of time is us, ms, s, m or h");
            };
            let number: f64 = digits.parse().map_err(|_| "a number that can't be read")?;
            return Ok(Word::Duration((number * micros) as i64));
        }
        *input = before;
        return match is_float {
            true => digits
                .parse()
                .map(Word::Float)
                .map_err(|_| "a number that can't be read"),
            false => digits
                .parse()
                .map(Word::Int)
                .map_err(|_| "a whole number is at most 9223372036854775807"),
        };
    }
    if input.starts_with("b\"") {
        *input = &input[1..];
        return quoted(input).map(Word::Bytes);
    }
    if first == '"' {
        let bytes = quoted(input)?;
        return String::from_utf8(bytes)
            .map(Word::Str)
            .map_err(|_| "this is no text; write b\"...\" for bytes");
    }
    if let Ok(name) = name(input) {
        return Ok(Word::Name(name.to_string()));
    }
    match SIGNS.iter().find(|sign| input.starts_with(**sign)) {
        Some(sign) => {
            *input = &input[sign.len()..];
            Ok(Word::Sign(sign))
        }
        None => {
            *input = &input[first.len_utf8()..];
            Err("this sign means nothing here")
        }
    }
}
