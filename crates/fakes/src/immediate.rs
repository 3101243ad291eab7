//! Work that takes no time: an engine and application servers that answer at once, fast enough not to be
//! what a load measures.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use doortrack_protocols::{Protocol, RequestEvent, RequestReader, ResponseHead, write_response};

const RUN: &[u8] = b"{\"msg\":\"RUN\",\"call\":\"";
const STAT: &[u8] = b"{\"msg\":\"STAT\",\"cookie\":\"";
const ATTACH: &[u8] = b"{\"msg\":\"ATTACH\"";
/// `done` in base64.
const RESULT: &str = "ZG9uZQ==";

/// An engine for any number of nodes, one after the other, that ends each run at once and is never busy. It
/// goes on as long as the process.
pub fn start_engine(door: TcpListener) {
    thread::spawn(move || {
        for link in door.incoming().flatten() {
            thread::spawn(move || serve_link(link));
        }
    });
}

/// Reads lines as the node writes them, without a JSON parser: the keys stand in one order.
fn serve_link(mut link: TcpStream) -> std::io::Result<()> {
    link.set_nodelay(true)?;
    let (mut input, mut out, mut buffer) = (Vec::new(), Vec::new(), vec![0; 256 * 1024]);
    let mut serial = 0u64;
    loop {
        let n = link.read(&mut buffer)?;
        if n == 0 {
            return Ok(());
        }
        input.extend(&buffer[..n]);
        let mut from = 0;
        while let Some(end) = input[from..].iter().position(|byte| *byte == b'\n') {
            let line = &input[from..from + end];
            from += end + 1;
            let word = |rest: &'_ [u8]| {
                String::from_utf8_lossy(rest.split(|byte| *byte == b'"').next().unwrap_or_default())
                    .into_owned()
            };
            if let Some(rest) = line.strip_prefix(RUN) {
                serial += 1;
                let call = word(rest);
                write!(
                    out,
                    "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{call}\",\"how\":\"OK\","
                )?;
                writeln!(out, "\"duration\":0,\"blob\":\"{RESULT}\"}}")?;
            } else if let Some(rest) = line.strip_prefix(STAT) {
                let cookie = word(rest);
                writeln!(
                    out,
                    "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0,0]}}"
                )?;
            } else if line.starts_with(ATTACH) {
                serial = 0;
                writeln!(
                    out,
                    "{{\"msg\":\"HELLO\",\"how\":\"WARM\",\"duration\":60000}}"
                )?;
            }
        }
        input.drain(..from);
        link.write_all(&out)?;
        out.clear();
    }
}

/// A server that answers every request at once, with a few threads that each take connections and serve one
/// after the other to its end. It goes on as long as the process.
pub fn start_server(protocol: Protocol, threads: usize) -> std::io::Result<SocketAddr> {
    let door = TcpListener::bind("127.0.0.1:0")?;
    let at = door.local_addr()?;
    for _ in 0..threads {
        let door = door.try_clone()?;
        thread::spawn(move || {
            for sock in door.incoming().flatten() {
                // What breaks here is the node's to tell.
                _ = serve(sock, protocol);
            }
        });
    }
    Ok(at)
}

fn serve(mut sock: TcpStream, protocol: Protocol) -> std::io::Result<()> {
    sock.set_nodelay(true)?;
    let (mut reader, mut buffer, mut out) =
        (RequestReader::new(protocol), [0; 16 * 1024], Vec::new());
    let mut keeps = true;
    loop {
        let n = sock.read(&mut buffer)?;
        if n == 0 {
            return Ok(());
        }
        let mut input = &buffer[..n];
        while let Ok(Some(piece)) = reader.next(&mut input) {
            match piece {
                RequestEvent::Begin {
                    keep_connection: keep,
                    ..
                } => keeps = keep,
                RequestEvent::StdinEnd { id } => {
                    let head = ResponseHead {
                        status: "200 OK",
                        headers: &[],
                        extra_lines: b"",
                    };
                    write_response(protocol, &mut out, id, head, b"done");
                    sock.write_all(&out)?;
                    out.clear();
                    if !keeps {
                        return Ok(());
                    }
                }
                _ => {}
            }
        }
    }
}
