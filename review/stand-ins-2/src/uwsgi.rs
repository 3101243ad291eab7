//! uwsgi by its specification, a front end's side: one request a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fastcgi::Answer;

/// Sends a request and reads its answer to the end of the connection; `None` if there was no whole answer.
pub fn ask(address: SocketAddr, variables: &[(&str, &str)], body: &[u8]) -> Option<Answer> {
    let mut sock = TcpStream::connect(address).ok()?;
    sock.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let length = body.len().to_string();
    let mut block = Vec::new();
    for (name, value) in variables
        .iter()
        .copied()
        .chain([("CONTENT_LENGTH", length.as_str())])
    {
        for text in [name, value] {
            block.extend((text.len() as u16).to_le_bytes());
            block.extend(text.bytes());
        }
    }
    let mut out = vec![0];
    out.extend((block.len() as u16).to_le_bytes());
    out.push(0);
    out.extend(block);
    out.extend(body);
    sock.write_all(&out).ok()?;
    let mut input = Vec::new();
    sock.read_to_end(&mut input).ok()?;
    let end = input.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let status = head.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        body: input[end + 4..].to_vec(),
        ..Answer::default()
    })
}
