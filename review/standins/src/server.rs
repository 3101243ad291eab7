//! An application server that speaks uwsgi: a thread for each connection, which carries one request.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A request as the server reads it.
pub struct Request {
    pub variables: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn variable(&self, name: &str) -> &str {
        let found = self.variables.iter().find(|(found, _)| found == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Serves each request by `run`, whose result is the body of the answer. Returns the server's address.
pub fn serve(run: impl Fn(&Request) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server's port");
    let address = listener.local_addr().expect("its address");
    let run = Arc::new(run);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run = Arc::clone(&run);
            std::thread::spawn(move || {
                _ = answer(stream, &*run);
            });
        }
    });
    address
}

fn answer(mut stream: TcpStream, run: &dyn Fn(&Request) -> Vec<u8>) -> Result<()> {
    stream.set_nodelay(true)?;
    let request = read(&mut stream)?;
    let body = run(&request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nContent-Type: text/plain\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), &body].concat())
}

fn read(stream: &mut TcpStream) -> Result<Request> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut block = vec![0; usize::from(u16::from_le_bytes([head[1], head[2]]))];
    stream.read_exact(&mut block)?;
    let (mut rest, mut texts) = (&block[..], Vec::new());
    while rest.len() >= 2 {
        let length = usize::from(u16::from_le_bytes([rest[0], rest[1]])).min(rest.len() - 2);
        texts.push(String::from_utf8_lossy(&rest[2..2 + length]).into_owned());
        rest = &rest[2 + length..];
    }
    let variables = texts
        .chunks(2)
        .filter(|pair| pair.len() == 2)
        .map(|pair| (pair[0].clone(), pair[1].clone()))
        .collect();
    let mut request = Request {
        variables,
        body: Vec::new(),
    };
    let length = request.variable("CONTENT_LENGTH").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body)?;
    Ok(request)
}
