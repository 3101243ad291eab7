//! An engine and application servers that answer every request at once, so that load tests measure the node
//! and not them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use doortrack_protocols::{Protocol, RequestEvent, RequestReader, ResponseHead, write_response};

const RUN: &[u8] = b"{\"msg\":\"RUN\",\"call\":\"";
const STAT: &[u8] = b"{\"msg\":\"STAT\",\"cookie\":\"";
const ATTACH: &[u8] = b"{\"msg\":\"ATTACH\"";
/// The base64 encoding of `done`.
const RESULT: &str = "ZG9uZQ==";

/// Starts an engine that completes each run at once and reports no load. It accepts any number of links and
/// runs until the process ends.
pub fn start_engine(listener: TcpListener) {
    thread::spawn(move || {
        for link in listener.incoming().flatten() {
            thread::spawn(move || serve_link(link));
        }
    });
}

/// Serves one link. Lines are matched without a JSON parser, as the node writes their keys in a fixed order.
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
        let mut start = 0;
        while let Some(end) = input[start..].iter().position(|byte| *byte == b'\n') {
            let line = &input[start..start + end];
            start += end + 1;
            let quoted_value = |rest: &'_ [u8]| {
                String::from_utf8_lossy(rest.split(|byte| *byte == b'"').next().unwrap_or_default())
                    .into_owned()
            };
            if let Some(rest) = line.strip_prefix(RUN) {
                serial += 1;
                let call = quoted_value(rest);
                write!(
                    out,
                    "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{call}\",\"how\":\"OK\","
                )?;
                writeln!(out, "\"duration\":0,\"blob\":\"{RESULT}\"}}")?;
            } else if let Some(rest) = line.strip_prefix(STAT) {
                let cookie = quoted_value(rest);
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
        input.drain(..start);
        link.write_all(&out)?;
        out.clear();
    }
}

/// Starts a server that answers every request at once and runs until the process ends. Each of its threads
/// serves one connection at a time until that connection ends.
pub fn start_server(protocol: Protocol, threads: usize) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    for _ in 0..threads {
        let listener = listener.try_clone()?;
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                // Errors are ignored here, as the node reports them.
                _ = serve(sock, protocol);
            }
        });
    }
    Ok(address)
}

fn serve(mut sock: TcpStream, protocol: Protocol) -> std::io::Result<()> {
    sock.set_nodelay(true)?;
    let (mut reader, mut buffer, mut out) =
        (RequestReader::new(protocol), [0; 16 * 1024], Vec::new());
    let mut keep_alive = true;
    loop {
        let n = sock.read(&mut buffer)?;
        if n == 0 {
            return Ok(());
        }
        let mut input = &buffer[..n];
        while let Ok(Some(event)) = reader.next(&mut input) {
            match event {
                RequestEvent::Begin {
                    keep_connection: requested,
                    ..
                } => keep_alive = requested,
                RequestEvent::StdinEnd { id } => {
                    let head = ResponseHead {
                        status: "200 OK",
                        headers: &[],
                        extra_lines: b"",
                    };
                    write_response(protocol, &mut out, id, head, b"done");
                    sock.write_all(&out)?;
                    out.clear();
                    if !keep_alive {
                        return Ok(());
                    }
                }
                _ => {}
            }
        }
    }
}
