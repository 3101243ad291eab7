//! FastCGI built byte by byte, apart from the code under test, and a dispatcher's connection that speaks it.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use crate::{attempt_id, unix_ms};

#[derive(Debug, PartialEq)]
pub struct Reply {
    pub id: u16,
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// A dispatcher's connection.
pub struct Client {
    pub sock: TcpStream,
}

/// A field of a request under test; what is set twice is sent twice.
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

/// The records of one request. `more` replaces fields of the same name.
pub fn request(id: u16, nth: u64, script: &str, more: Fields, body: &[u8]) -> Vec<u8> {
    let (nth, now) = (attempt_id(nth), unix_ms().to_string());
    let mut fields = vec![
        ("SCRIPT_NAME", script),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_X_REQUEST_ID", &nth),
    ];
    fields.extend([
        ("HTTP_X_REQUEST_START", &*now),
        ("HTTP_X_CALLER", "1"),
        ("HTTP_X_MEMORY_KB", "2.5"),
    ]);
    fields.push(("HTTP_X_RANK", "0.5"));
    fields.retain(|(name, _)| more.iter().all(|(other, _)| other != name));
    fields.extend(more);
    let mut params = Vec::new();
    for (name, value) in fields {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend(name.bytes().chain(value.bytes()));
    }
    let (early, late) = params.split_at(params.len() / 2);
    let mut bytes = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend(
        [
            record(4, id, early),
            record(4, id, late),
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

    pub fn send_look(&mut self, id: u16, nth: u64) {
        self.send(&request(id, nth, "/svc/look", &[], b"body"));
    }

    /// The next whole answer. A refusal by the protocol's own status has that as its status.
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
                // The process was stopped and went on: of the connection that says nothing.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
            }
        }
    }
}
