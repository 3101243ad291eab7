//! A front end's side of uwsgi: one request on a connection.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends one request and returns the status (0 if there is none) and the body of the answer.
pub fn ask(
    address: SocketAddr,
    variables: &[(String, String)],
    body: &[u8],
) -> Result<(u16, Vec<u8>)> {
    let mut block = Vec::new();
    let length = ("CONTENT_LENGTH".to_string(), body.len().to_string());
    for (name, value) in variables.iter().chain([&length]) {
        for text in [name, value] {
            block.extend((text.len() as u16).to_le_bytes());
            block.extend(text.bytes());
        }
    }
    let [low, high] = (block.len() as u16).to_le_bytes();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(&[&[0, low, high, 0], &block[..], body].concat())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let split = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let (head, body) = split.map_or((&bytes[..], &[][..]), |at| (&bytes[..at], &bytes[at + 4..]));
    let head = String::from_utf8_lossy(head);
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|digits| digits.parse().ok());
    Ok((status.unwrap_or(0), body.to_vec()))
}
