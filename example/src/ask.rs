//! A toy dispatcher: one exchange over FastCGI, and its answer.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

const BEGIN: u8 = 1;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

pub fn ask(node: &str, group: &str, text: &str, customer: &str, mark: Option<&str>) -> io::Result<()> {
    let mut sock = TcpStream::connect(node)?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    let (script, start) = (format!("/svc/{group}"), since.as_millis().to_string());
    // Any 16 hex digits that are new with each try; the clock's will do for a person at a keyboard.
    let try_id = format!("{:016x}", since.as_nanos() as u64);
    let mut fields = vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", &script),
        ("HTTP_X_REQUEST_ID", &try_id),
        ("HTTP_X_REQUEST_START", &start),
        ("HTTP_X_CALLER", "0"),
        ("HTTP_X_TENANT", customer),
        ("HTTP_X_MEMORY_KB", "20"),
        ("HTTP_X_RANK", "0.5"),
    ];
    fields.extend(mark.map(|mark| ("HTTP_IDEMPOTENCY_KEY", mark)));
    let mut params = Vec::new();
    for (name, value) in fields {
        for part in [name, value] {
            let length = u8::try_from(part.len()).ok().filter(|length| *length < 0x80);
            params
                .push(length.ok_or_else(|| io::Error::other(format!("'{part}' is too long for this toy")))?);
        }
        params.extend(name.bytes().chain(value.bytes()));
    }
    send(&mut sock, BEGIN, &[0, 1, 1, 0, 0, 0, 0, 0])?;
    send(&mut sock, PARAMS, &params)?;
    send(&mut sock, PARAMS, &[])?;
    if !text.is_empty() {
        send(&mut sock, STDIN, text.as_bytes())?;
    }
    send(&mut sock, STDIN, &[])?;
    loop {
        let mut head = [0; 8];
        sock.read_exact(&mut head)?;
        let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6])];
        sock.read_exact(&mut content)?;
        match head[1] {
            STDOUT => io::stdout().write_all(&content)?,
            END => {
                println!("\n(protocol status {})", content.get(4).copied().unwrap_or_default());
                return Ok(());
            }
            _ => {}
        }
    }
}

fn send(sock: &mut TcpStream, kind: u8, content: &[u8]) -> io::Result<()> {
    let length = u16::try_from(content.len()).map_err(io::Error::other)?.to_be_bytes();
    sock.write_all(&[1, kind, 0, 1, length[0], length[1], 0, 0])?;
    sock.write_all(content)
}
