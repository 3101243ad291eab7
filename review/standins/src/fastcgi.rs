//! A dispatcher's side of FastCGI 1.0: requests of the platform's protocol on a kept connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::unix_ms;

/// The answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: u16,
    /// 0 if the answer has no head, as with OVERLOADED.
    pub status: u16,
    /// Protocol status of the end record; 2 is OVERLOADED.
    pub protocol_status: u8,
    pub body: Vec<u8>,
}

impl Answer {
    /// The word of the protocol page for the answer.
    pub fn word(&self) -> &'static str {
        match (self.status, self.protocol_status) {
            (200, 0) => "served",
            (429 | 503, _) | (_, 2) => "refused",
            _ => "failed",
        }
    }
}

fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let [id_high, id_low] = id.to_be_bytes();
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, id_high, id_low, high, low, 0, 0], content].concat()
}

fn pair(name: &str, value: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for length in [name.len(), value.len()] {
        if length < 128 {
            out.push(length as u8);
        } else {
            out.extend((length as u32 | 1 << 31).to_be_bytes());
        }
    }
    out.extend(name.bytes());
    out.extend(value.bytes());
    out
}

/// Variables of a request by the platform's protocol. `tenant` may be empty.
pub fn variables(
    attempt: &str,
    group: &str,
    tenant: &str,
    key: Option<&str>,
) -> Vec<(String, String)> {
    let mut list = vec![
        ("REQUEST_METHOD", "POST".to_string()),
        ("SCRIPT_NAME", format!("/svc/{group}")),
        ("HTTP_X_REQUEST_ID", attempt.to_string()),
        ("HTTP_X_REQUEST_START", unix_ms().to_string()),
        ("HTTP_X_CALLER", "1".to_string()),
        ("HTTP_X_MEMORY_KB", "4.0".to_string()),
        ("HTTP_X_RANK", "0.5000".to_string()),
    ];
    if !tenant.is_empty() {
        list.push(("HTTP_X_TENANT", tenant.to_string()));
    }
    if let Some(key) = key {
        list.push(("HTTP_IDEMPOTENCY_KEY", key.to_string()));
    }
    list.into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

/// Encodes a request with the flag KEEP_CONN.
pub fn request(id: u16, variables: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut params = Vec::new();
    for (name, value) in variables {
        params.extend(pair(name, value));
    }
    let mut out = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(record(4, id, &params));
    out.extend(record(4, id, &[]));
    if !body.is_empty() {
        out.extend(record(5, id, body));
    }
    out.extend(record(5, id, &[]));
    out
}

/// Connects without delay of small writes.
pub fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads answers from a connection that may carry several requests.
#[derive(Default)]
pub struct Reader {
    partial: Vec<(u16, Vec<u8>)>,
}

impl Reader {
    /// Reads the next complete answer.
    pub fn next(&mut self, stream: &mut impl Read) -> Result<Answer> {
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head)?;
            let id = u16::from_be_bytes([head[2], head[3]]);
            let length = u16::from_be_bytes([head[4], head[5]]);
            let mut content = vec![0; usize::from(length) + usize::from(head[6])];
            stream.read_exact(&mut content)?;
            content.truncate(length.into());
            match head[1] {
                6 => match self.partial.iter_mut().find(|(found, _)| *found == id) {
                    Some((_, bytes)) => bytes.extend(content),
                    None => self.partial.push((id, content)),
                },
                3 => {
                    let index = self.partial.iter().position(|(found, _)| *found == id);
                    let bytes = index.map_or(Vec::new(), |index| self.partial.remove(index).1);
                    return Ok(parse(id, content[4], &bytes));
                }
                _ => return Err(Error::new(ErrorKind::InvalidData, "unexpected record")),
            }
        }
    }
}

fn parse(id: u16, protocol_status: u8, bytes: &[u8]) -> Answer {
    let split = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let (head, body) = split.map_or((bytes, &[][..]), |at| (&bytes[..at], &bytes[at + 4..]));
    let head = String::from_utf8_lossy(head);
    let status = head
        .lines()
        .find_map(|line| line.strip_prefix("Status: "))
        .and_then(|rest| rest.get(..3))
        .and_then(|digits| digits.parse().ok());
    Answer {
        id,
        status: status.unwrap_or(0),
        protocol_status,
        body: body.to_vec(),
    }
}

/// Sends one request on an open connection and waits for its answer.
pub fn ask(stream: &mut TcpStream, variables: &[(String, String)], body: &[u8]) -> Result<Answer> {
    stream.write_all(&request(1, variables, body))?;
    Reader::default().next(stream)
}
