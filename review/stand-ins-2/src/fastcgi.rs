//! FastCGI 1.0 by its specification: a dispatcher's side and an application server's side.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    out.extend([1, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
}

/// A stream: its content in records, and an empty one as its end.
fn stream(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    for part in content.chunks(0xfff8) {
        record(out, kind, id, part);
    }
    record(out, kind, id, &[]);
}

fn length(out: &mut Vec<u8>, length: usize) {
    if length < 128 {
        out.push(length as u8);
    } else {
        out.extend((length as u32 | 0x8000_0000).to_be_bytes());
    }
}

/// Encodes a request in the role Responder, with KEEP_CONN.
pub fn request(id: u16, variables: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut params = Vec::new();
    for (name, value) in variables {
        length(&mut params, name.len());
        length(&mut params, value.len());
        params.extend(name.bytes());
        params.extend(value.bytes());
    }
    stream(&mut out, PARAMS, id, &params);
    stream(&mut out, STDIN, id, body);
    out
}

/// A final answer as a dispatcher reads it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The CGI status; 0 if there was none.
    pub status: u16,
    /// The protocol status of END_REQUEST; 1 to 3 mean that the request was refused.
    pub protocol_status: u8,
    pub body: Vec<u8>,
}

impl Answer {
    /// By the protocol page: status 429 or 503, or the protocol status OVERLOADED.
    pub fn is_refused(&self) -> bool {
        self.protocol_status == 2 || self.status == 429 || self.status == 503
    }

    pub fn name(&self) -> String {
        match self {
            answer if answer.is_refused() => "refused".into(),
            answer if answer.status == 200 => "served".into(),
            answer => format!("failed ({})", answer.status),
        }
    }
}

fn read_record(sock: &mut TcpStream) -> Option<(u8, u16, Vec<u8>)> {
    let mut header = [0; 8];
    sock.read_exact(&mut header).ok()?;
    let size = usize::from(u16::from_be_bytes([header[4], header[5]]));
    let mut content = vec![0; size + usize::from(header[6])];
    sock.read_exact(&mut content).ok()?;
    content.truncate(size);
    Some((
        header[1],
        u16::from_be_bytes([header[2], header[3]]),
        content,
    ))
}

/// A connection of a dispatcher.
pub struct Client {
    pub sock: TcpStream,
    outputs: BTreeMap<u16, Vec<u8>>,
}

impl Client {
    pub fn new(sock: TcpStream) -> Client {
        _ = sock.set_nodelay(true);
        _ = sock.set_read_timeout(Some(Duration::from_secs(20)));
        Client {
            sock,
            outputs: BTreeMap::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Result<Client, String> {
        let sock = TcpStream::connect(address);
        sock.map(Client::new).map_err(|error| error.to_string())
    }

    pub fn send(&mut self, id: u16, variables: &[(&str, &str)], body: &[u8]) -> bool {
        self.sock.write_all(&request(id, variables, body)).is_ok()
    }

    /// Reads the next whole answer; `None` if the connection ended first or nothing came for 20 s.
    pub fn read(&mut self) -> Option<Answer> {
        loop {
            let (kind, id, content) = read_record(&mut self.sock)?;
            match kind {
                STDOUT => self.outputs.entry(id).or_default().extend(content),
                END_REQUEST => {
                    let output = self.outputs.remove(&id).unwrap_or_default();
                    let protocol_status = content.get(4).copied().unwrap_or_default();
                    return Some(parse(protocol_status, &output));
                }
                _ => {}
            }
        }
    }
}

fn parse(protocol_status: u8, output: &[u8]) -> Answer {
    let end = output.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let head = String::from_utf8_lossy(&output[..end.unwrap_or(output.len())]).into_owned();
    let status = head
        .lines()
        .find_map(|line| line.strip_prefix("Status: "))
        .and_then(|status| status.get(..3)?.parse().ok());
    Answer {
        status: status.unwrap_or(if output.is_empty() { 0 } else { 200 }),
        protocol_status,
        body: end
            .map(|end| output[end + 4..].to_vec())
            .unwrap_or_default(),
    }
}

/// A request as an application server received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub variables: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn variable(&self, name: &str) -> &str {
        self.variables.get(name).map_or("", String::as_str)
    }
}

/// Starts an application server that runs each request by `work`, which returns the body of the answer. It keeps connections.
pub fn serve(work: impl Fn(&Received) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let work = Arc::new(work);
    std::thread::spawn(move || {
        for sock in listener.incoming().flatten() {
            let work = Arc::clone(&work);
            std::thread::spawn(move || serve_connection(sock, &*work));
        }
    });
    address
}

fn serve_connection(mut sock: TcpStream, work: &dyn Fn(&Received) -> Vec<u8>) {
    _ = sock.set_nodelay(true);
    let (mut params, mut received) = (Vec::new(), Received::default());
    while let Some((kind, id, content)) = read_record(&mut sock) {
        match kind {
            BEGIN_REQUEST => (params, received) = (Vec::new(), Received::default()),
            PARAMS if content.is_empty() => received.variables = variables(&params),
            PARAMS => params.extend(content),
            STDIN if content.is_empty() => {
                let body = work(&received);
                let mut output = b"Status: 200 OK\r\nContent-Type: text/plain\r\n\r\n".to_vec();
                output.extend(body);
                let mut out = Vec::new();
                stream(&mut out, STDOUT, id, &output);
                record(&mut out, END_REQUEST, id, &[0; 8]);
                if sock.write_all(&out).is_err() {
                    return;
                }
            }
            STDIN => received.body.extend(content),
            _ => {}
        }
    }
}

fn variables(mut bytes: &[u8]) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let take_length = |bytes: &mut &[u8]| -> Option<usize> {
        let first = *bytes.first()?;
        if first < 128 {
            *bytes = &bytes[1..];
            return Some(first.into());
        }
        let four: [u8; 4] = bytes.get(..4)?.try_into().ok()?;
        *bytes = &bytes[4..];
        Some((u32::from_be_bytes(four) & 0x7fff_ffff) as usize)
    };
    while let (Some(name), Some(value)) = (take_length(&mut bytes), take_length(&mut bytes)) {
        if bytes.len() < name + value {
            break;
        }
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        found.insert(text(&bytes[..name]), text(&bytes[name..name + value]));
        bytes = &bytes[name + value..];
    }
    found
}

/// Encodes the withdrawal of a request.
pub fn abort(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, ABORT_REQUEST, id, &[]);
    out
}
