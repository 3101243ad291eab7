//! The answer to one request as who asked reads it: put together from what comes, and told whole or not.

use crate::fastcgi::{ProtocolStatus, Reply, ReplySplitter};
use crate::{Broken, Head, Protocol};

/// Bytes that the head of an answer may have; no sound one comes near it.
pub const MOST_HEAD: usize = 16 * 1024;
/// Headers that it may have.
const MOST_HEADERS: usize = 64;

/// Status without what stands before the number, headers, and the empty line.
pub(crate) fn write_head(out: &mut Vec<u8>, head: &Head) {
    out.extend(head.status.bytes());
    out.extend(b"\r\n");
    for (name, value) in head.headers {
        for part in [name, ": ", value, "\r\n"] {
            out.extend(part.bytes());
        }
    }
    out.extend(head.more);
    out.extend(b"\r\n");
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// Names as they came, values without spaces around them.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// More came than its head announced. The rest was passed over, and its connection is not to be trusted
    /// with another request.
    pub excess: bool,
}

impl Answer {
    /// The first value of a header, whose name may be written in any case.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| &value[..])
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    Whole(Answer),
    /// The peer says that this request was not run, in the protocol's own words.
    Refused(ProtocolStatus),
}

/// Reads the answer to one request, split at any place. A FastCGI answer is whole with its end record; a
/// uwsgi one with as many bytes as its `Content-Length` says, or with its connection where it says none.
#[derive(Debug)]
pub struct AnswerReader {
    protocol: Protocol,
    /// The request that it answers, on FastCGI.
    id: u16,
    records: ReplySplitter,
    /// Bytes of the head, until it is whole.
    raw_head: Vec<u8>,
    head_whole: bool,
    announced: Option<usize>,
    most_body: usize,
    answer: Answer,
}

impl AnswerReader {
    /// `most_body` bounds the bytes of the body.
    pub fn new(protocol: Protocol, id: u16, most_body: usize) -> AnswerReader {
        AnswerReader {
            protocol,
            id,
            records: ReplySplitter::default(),
            raw_head: Vec::new(),
            head_whole: false,
            announced: None,
            most_body,
            answer: Answer::default(),
        }
    }

    /// Whether any byte of an answer has come.
    pub fn has_begun(&self) -> bool {
        self.head_whole || !self.raw_head.is_empty()
    }

    /// Takes in what came, up to the end of the answer; the answer, once it is whole. Then nothing more is
    /// to be handed over.
    ///
    /// # Errors
    /// What is no answer: a head that can't be read or has no end, a body longer than the bound, an end too
    /// soon.
    pub fn take(&mut self, input: &mut &[u8]) -> Result<Option<Answered>, Broken> {
        match self.protocol {
            Protocol::Uwsgi => {
                self.content(std::mem::take(input))?;
                let whole =
                    self.head_whole && self.announced.is_some_and(|n| self.answer.body.len() == n);
                Ok(whole.then(|| Answered::Whole(std::mem::take(&mut self.answer))))
            }
            Protocol::FastCgi => self.records(input),
        }
    }

    fn records(&mut self, input: &mut &[u8]) -> Result<Option<Answered>, Broken> {
        let mut records = std::mem::take(&mut self.records);
        let mut over = None;
        while let (None, Some(reply)) = (&over, records.next(input)?) {
            match reply {
                Reply::Stdout { id, bytes } if id == self.id => self.content(bytes)?,
                Reply::End { id, status } if id == self.id => over = Some(self.ended(status)?),
                // Of a request that was given up.
                _ => {}
            }
        }
        self.records = records;
        Ok(over)
    }

    fn ended(&mut self, status: Option<ProtocolStatus>) -> Result<Answered, Broken> {
        match status {
            Some(ProtocolStatus::Complete) => self.whole().map(Answered::Whole),
            Some(refused) if !self.has_begun() => Ok(Answered::Refused(refused)),
            _ => Err(Broken("an end of no known kind")),
        }
    }

    /// The peer closed the connection in order: the answer, if that makes it whole.
    pub fn closed(&mut self) -> Result<Answer, Broken> {
        match self.protocol {
            Protocol::Uwsgi => self.whole(),
            Protocol::FastCgi => Err(Broken("closed before its end record")),
        }
    }

    fn whole(&mut self) -> Result<Answer, Broken> {
        if !self.head_whole {
            return Err(Broken(if self.has_begun() {
                "a head cut short"
            } else {
                "nothing"
            }));
        }
        if self.announced.is_some_and(|n| self.answer.body.len() < n) {
            return Err(Broken("a body cut short"));
        }
        Ok(std::mem::take(&mut self.answer))
    }

    /// Bytes of the answer proper, whatever carried them.
    fn content(&mut self, mut bytes: &[u8]) -> Result<(), Broken> {
        if !self.head_whole {
            let before = self.raw_head.len();
            self.raw_head
                .extend(&bytes[..bytes.len().min(MOST_HEAD - before)]);
            let Some(end) = head_end(&self.raw_head, before) else {
                return if self.raw_head.len() < MOST_HEAD {
                    Ok(())
                } else {
                    Err(Broken("a head without end"))
                };
            };
            bytes = &bytes[end - before..];
            let raw = std::mem::take(&mut self.raw_head);
            (self.answer.status, self.answer.headers) = read_head(self.protocol, &raw[..end])?;
            self.announced = announced(&self.answer)?;
            self.head_whole = true;
        }
        let room = self
            .announced
            .map_or(usize::MAX, |n| n - self.answer.body.len());
        self.answer.excess |= bytes.len() > room;
        bytes = &bytes[..bytes.len().min(room)];
        if self.answer.body.len() + bytes.len() > self.most_body {
            return Err(Broken("a body longer than any may be"));
        }
        self.answer.body.extend(bytes);
        Ok(())
    }
}

/// Where the head ends, if it does; the first `seen` bytes were looked at before. Lines may end as CGI
/// programs write them, with or without a carriage return.
fn head_end(head: &[u8], seen: usize) -> Option<usize> {
    let from = seen.saturating_sub(3);
    (from..head.len())
        .filter(|at| head[*at] == b'\n')
        .find_map(|at| match &head[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
}

type ReadHead = (u16, Vec<(String, Vec<u8>)>);

/// A uwsgi head begins with a status line, a CGI one has its status among the headers, or means 200.
fn read_head(protocol: Protocol, raw: &[u8]) -> Result<ReadHead, Broken> {
    const UNREADABLE: Broken = Broken("a head that can't be read");
    let mut status = None;
    let mut lines = raw;
    if protocol == Protocol::Uwsgi || raw.starts_with(b"HTTP/") {
        let end = raw.iter().position(|b| *b == b'\n').ok_or(UNREADABLE)?;
        let line = std::str::from_utf8(&raw[..end]).map_err(|_| UNREADABLE)?;
        let rest = line.strip_prefix("HTTP/").ok_or(Broken("no status line"))?;
        let word = rest.split_ascii_whitespace().nth(1);
        status = Some(number(word.ok_or(Broken("no status line"))?)?);
        lines = &raw[end + 1..];
    }
    let mut found = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let headers = match httparse::parse_headers(lines, &mut found) {
        Ok(httparse::Status::Complete((_, headers))) => headers,
        _ => return Err(UNREADABLE),
    };
    let mut kept = Vec::with_capacity(headers.len());
    for header in headers {
        if status.is_none() && header.name.eq_ignore_ascii_case("Status") {
            let text = std::str::from_utf8(header.value).map_err(|_| UNREADABLE)?;
            status = Some(number(
                text.split_ascii_whitespace().next().unwrap_or_default(),
            )?);
        } else {
            kept.push((header.name.to_string(), header.value.to_vec()));
        }
    }
    Ok((status.unwrap_or(200), kept))
}

fn number(word: &str) -> Result<u16, Broken> {
    let digits = word.len() == 3 && word.bytes().all(|b| b.is_ascii_digit());
    let number = word
        .parse()
        .ok()
        .filter(|n| digits && (100..600).contains(n));
    number.ok_or(Broken("a status that is no number of three digits"))
}

fn announced(answer: &Answer) -> Result<Option<usize>, Broken> {
    const FAULT: Broken = Broken("a Content-Length that can't be read");
    let mut lengths = answer
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(None),
        (Some((_, value)), None) if !value.is_empty() && value.iter().all(u8::is_ascii_digit) => {
            let text = std::str::from_utf8(value).map_err(|_| FAULT)?;
            text.parse().map(Some).map_err(|_| FAULT)
        }
        _ => Err(FAULT),
    }
}
