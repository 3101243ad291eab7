//! FastCGI records built byte by byte, independently of the code under test, and a dispatcher's connection for them.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use crate::{attempt_id, unix_ms};

/// An answer. If the request was refused by FastCGI itself, `status` is the protocol status of END_REQUEST.
#[derive(Debug, PartialEq)]
pub struct Reply {
    pub id: u16,
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// A dispatcher's connection to a node.
pub struct Client {
    pub sock: TcpStream,
}

/// Fields of a request that replace the defaults; a field that is given twice is sent twice.
pub type Fields<'a> = &'a [(&'a str, &'a str)];

pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![1, kind];
    bytes.extend(id.to_be_bytes());
    bytes.extend((content.len() as u16).to_be_bytes());
    bytes.extend([3, 0]);
    bytes.extend(content);
    bytes.extend([0xaa; 3]);
    bytes
}

/// Encodes the records of one request. `overrides` replaces default fields of the same name.
pub fn request(
    id: u16,
    attempt_number: u64,
    script: &str,
    overrides: Fields,
    body: &[u8],
) -> Vec<u8> {
    let (attempt, now) = (attempt_id(attempt_number), unix_ms().to_string());
    let mut fields = vec![
        ("SCRIPT_NAME", script),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_X_REQUEST_ID", &attempt),
    ];
    fields.extend([
        ("HTTP_X_REQUEST_START", &*now),
        ("HTTP_X_CALLER", "1"),
        ("HTTP_X_MEMORY_KB", "2.5"),
    ]);
    fields.push(("HTTP_X_RANK", "0.5"));
    fields.retain(|(name, _)| overrides.iter().all(|(other, _)| other != name));
    fields.extend(overrides);
    let mut params = Vec::new();
    for (name, value) in fields {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend(name.bytes().chain(value.bytes()));
    }
    let (first_half, second_half) = params.split_at(params.len() / 2);
    let mut bytes = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend(
        [
            record(4, id, first_half),
            record(4, id, second_half),
            record(4, id, b""),
        ]
        .concat(),
    );
    bytes.extend(if body.is_empty() {
        Vec::new()
    } else {
        record(5, id, body)
    });
    bytes.extend(record(5, id, b""));
    bytes
}

pub const IDEMPOTENCY_KEY: (&str, &str) =
    ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.sock.write_all(bytes).unwrap();
    }

    /// Sends a request of the endpoint group `look`.
    pub fn send_look(&mut self, id: u16, attempt_number: u64) {
        self.send(&request(id, attempt_number, "/svc/look", &[], b"body"));
    }

    /// Waits for the first byte of an answer. Returns false if the connection ends before.
    pub fn has_reply(&mut self) -> bool {
        loop {
            match self.sock.peek(&mut [0]) {
                Ok(count) => return count > 0,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return false,
                Err(e) => panic!("waiting for an answer failed: {e}"),
            }
        }
    }

    /// Reads the next whole answer.
    pub fn reply(&mut self) -> Reply {
        let mut out = Vec::new();
        loop {
            let mut head = [0; 8];
            self.sock.read_exact(&mut head).unwrap();
            let mut content =
                vec![0; u16::from_be_bytes([head[4], head[5]]) as usize + head[6] as usize];
            self.sock.read_exact(&mut content).unwrap();
            let id = u16::from_be_bytes([head[2], head[3]]);
            match head[1] {
                6 => out.extend(content),
                3 if out.is_empty() => {
                    return Reply {
                        id,
                        status: content[4].into(),
                        head: String::new(),
                        body: out,
                    };
                }
                3 => {
                    let end = out.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
                    let head = String::from_utf8(out[..end + 2].to_vec()).unwrap();
                    let status = head.strip_prefix("Status: ").unwrap()[..3].parse().unwrap();
                    return Reply {
                        id,
                        status,
                        head,
                        body: out[end + 4..].to_vec(),
                    };
                }
                kind => panic!("record of kind {kind}"),
            }
        }
    }

    pub fn is_closed(&mut self) -> bool {
        loop {
            match self.sock.read(&mut [0]) {
                Ok(n) => return n == 0,
                // EINTR if the test process was stopped and resumed; the connection may still be open.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
            }
        }
    }
}
