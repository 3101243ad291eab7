//! The lexer, built with winnow. Invalid tokens are reported and skipped, so that later errors are found too.

use winnow::Parser;
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, opt, preceded, repeat};
use winnow::error::EmptyError;
use winnow::token::{one_of, take_till, take_while};

use crate::ast::Span;
use crate::diagnostic::Diagnostic;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Token {
    Int(i64),
    Float(f64),
    Duration(i64),
    Str(String),
    Bytes(Vec<u8>),
    Name(String),
    /// An operator, bracket or other punctuation.
    Symbol(&'static str),
    End,
}

const SYMBOLS: [&str; 28] = [
    "->", "??", "==", "!=", "<=", ">=", "&&", "||", "(", ")", "[", "]", "{", "}", ",", ";", ".",
    "=", "<", ">", "+", "-", "*", "/", "%", "!", ":", "|",
];
/// Duration units, each with its length in microseconds.
const UNITS: [(&str, f64); 5] = [
    ("ms", 1e3),
    ("us", 1.0),
    ("s", 1e6),
    ("m", 6e7),
    ("h", 3.6e9),
];

/// Why a piece of the source is not a valid token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LexError {
    #[error("an escape \\x wants two hex digits")]
    HexEscape,
    #[error("an escape is one of \\n \\r \\t \\0 \\\" \\\\ \\xHH")]
    UnknownEscape,
    #[error("a string without its end")]
    UnterminatedString,
    #[error("a number that can't be read")]
    InvalidNumber,
    #[error("a unit of time is us, ms, s, m or h")]
    UnknownUnit,
    #[error("a whole number is at most 9223372036854775807")]
    IntTooLarge,
    #[error("this is no text; write b\"...\" for bytes")]
    NotUtf8,
    #[error("this sign means nothing here")]
    UnknownSymbol,
}

impl LexError {
    /// Returns true if the end of the token is unknown, so that lexing can't continue after it.
    fn is_unrecoverable(self) -> bool {
        matches!(
            self,
            LexError::HexEscape | LexError::UnknownEscape | LexError::UnterminatedString
        )
    }
}

type Lexed<T> = Result<T, EmptyError>;

fn skip_blank(input: &mut &str) -> Lexed<()> {
    let comment = ("#", take_till(0.., '\n')).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn number(input: &mut &str) -> Lexed<(String, bool)> {
    let digits = (
        digit1,
        take_while(0.., |c: char| c.is_ascii_digit() || c == '_'),
    )
        .take();
    let (whole, fraction): (&str, Option<&str>) =
        (digits, opt(preceded('.', digit1))).parse_next(input)?;
    let whole = whole.replace('_', "");
    Ok(match fraction {
        Some(fraction) => (format!("{whole}.{fraction}"), true),
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

/// Reads a quoted string and decodes its escapes.
fn quoted(input: &mut &str) -> Result<Vec<u8>, LexError> {
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
                        _ => return Err(LexError::HexEscape),
                    }
                }
                _ => return Err(LexError::UnknownEscape),
            },
            c => out.extend(c.encode_utf8(&mut [0; 4]).bytes()),
        }
    }
    Err(LexError::UnterminatedString)
}

pub(crate) fn lex(source: &str) -> (Vec<(Token, Span)>, Vec<Diagnostic>) {
    let (mut tokens, mut errors) = (Vec::new(), Vec::new());
    let mut input = source;
    loop {
        _ = skip_blank(&mut input);
        let from = source.len() - input.len();
        let Some(first) = input.chars().next() else {
            tokens.push((Token::End, Span { from, to: from }));
            return (tokens, errors);
        };
        let token = token(&mut input, first);
        let span = Span {
            from,
            to: source.len() - input.len(),
        };
        match token {
            Ok(token) => tokens.push((token, span)),
            Err(error) => {
                if error.is_unrecoverable() {
                    let span = Span {
                        from,
                        to: source.len(),
                    };
                    errors.push(Diagnostic::new(span, error.to_string(), "from here"));
                    tokens.push((Token::End, span));
                    return (tokens, errors);
                }
                errors.push(Diagnostic::new(span, error.to_string(), "here"));
            }
        }
    }
}

fn token(input: &mut &str, first: char) -> Result<Token, LexError> {
    if first.is_ascii_digit() {
        let (digits, is_float) = number(input).map_err(|_| LexError::InvalidNumber)?;
        let before = *input;
        if let Ok(unit) = name(input) {
            let Some((_, micros)) = UNITS.iter().find(|(known, _)| *known == unit) else {
                return Err(LexError::UnknownUnit);
            };
            let number: f64 = digits.parse().map_err(|_| LexError::InvalidNumber)?;
            return Ok(Token::Duration((number * micros) as i64));
        }
        *input = before;
        return match is_float {
            true => digits
                .parse()
                .map(Token::Float)
                .map_err(|_| LexError::InvalidNumber),
            false => digits
                .parse()
                .map(Token::Int)
                .map_err(|_| LexError::IntTooLarge),
        };
    }
    if input.starts_with("b\"") {
        *input = &input[1..];
        return quoted(input).map(Token::Bytes);
    }
    if first == '"' {
        let bytes = quoted(input)?;
        return String::from_utf8(bytes)
            .map(Token::Str)
            .map_err(|_| LexError::NotUtf8);
    }
    if let Ok(name) = name(input) {
        return Ok(Token::Name(name.to_string()));
    }
    match SYMBOLS.iter().find(|symbol| input.starts_with(**symbol)) {
        Some(symbol) => {
            *input = &input[symbol.len()..];
            Ok(Token::Symbol(symbol))
        }
        None => {
            *input = &input[first.len_utf8()..];
            Err(LexError::UnknownSymbol)
        }
    }
}
