//! An application server over either protocol, whose every answer follows a script.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use doortrack_protocols::{Protocol, RequestEvent, RequestReader, ResponseHead, write_response};
use socket2::SockRef;

use crate::unix_ms;

/// A request as the server read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub id: u16,
    pub keep_alive: bool,
    pub variables: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// The connection on which it came, counted from 0.
    pub connection: usize,
    /// When it was whole, in Unix ms.
    pub received_at_ms: u64,
}

impl ReceivedRequest {
    pub fn variable(&self, name: &str) -> Option<&[u8]> {
        self.variables
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| &value[..])
    }
}

/// What is done with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answered with this status and body, after a while.
    Answer {
        status: &'static str,
        body: Vec<u8>,
        after: Duration,
    },
    /// The first bytes of a sound answer, then the end of the connection.
    Cut {
        body: Vec<u8>,
        at: usize,
        how: Disconnect,
    },
    /// These bytes, then the end of the connection.
    Garbage(Vec<u8>),
    /// Nothing ever.
    Hang,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    Close,
    Reset,
    /// Nothing more is sent, and the connection stays open in the other direction.
    HalfClose,
}

/// A request whose answer waits for the test's word.
pub struct HeldRequest {
    pub request: ReceivedRequest,
    act: Sender<Behavior>,
}

impl HeldRequest {
    pub fn respond(self, act: Behavior) {
        // Its connection may be gone.
        _ = self.act.send(act);
    }
}

impl Behavior {
    pub fn ok(body: impl Into<Vec<u8>>) -> Behavior {
        Behavior::Answer {
            status: "200 OK",
            body: body.into(),
            after: Duration::ZERO,
        }
    }
}

/// A second hand on each connection that is open, by which it can be broken from outside.
type Open = Arc<Mutex<BTreeMap<usize, TcpStream>>>;
type Script = Arc<dyn Fn(&ReceivedRequest) -> Behavior + Send + Sync>;

/// Serves in threads of its own until dropped: one for each connection.
pub struct Server {
    pub address: SocketAddr,
    pub protocol: Protocol,
    got: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
    open: Open,
}

impl Server {
    /// Holds each request until the test says what is to be done with it; one that it forgets hangs.
    pub fn held(protocol: Protocol) -> (Server, Receiver<HeldRequest>) {
        let (held, requests) = channel();
        let server = Server::start(protocol, move |got| {
            let (act, word) = channel();
            _ = held.send(HeldRequest {
                request: got.clone(),
                act,
            });
            word.recv().unwrap_or(Behavior::Hang)
        });
        (server, requests)
    }

    pub fn start(
        protocol: Protocol,
        script: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    ) -> Server {
        Server::start_at("127.0.0.1:0".parse().unwrap(), protocol, script)
    }

    /// Serves at an address; one that was dropped before may be taken again at once.
    pub fn start_at(
        at: SocketAddr,
        protocol: Protocol,
        script: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    ) -> Server {
        let door = TcpListener::bind(at).unwrap();
        let server = Server {
            address: door.local_addr().unwrap(),
            protocol,
            got: Arc::default(),
            connections: Arc::default(),
            over: Arc::default(),
            open: Arc::default(),
        };
        let script: Script = Arc::new(script);
        let (got, connections) = (server.got.clone(), server.connections.clone());
        let (over, open) = (server.over.clone(), server.open.clone());
        thread::spawn(move || {
            for sock in door.incoming() {
                let Ok(sock) = sock else { continue };
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                let Ok(hand) = sock.try_clone() else { continue };
                open.lock().unwrap().insert(connection, hand);
                let (script, got, open) = (script.clone(), got.clone(), open.clone());
                thread::spawn(move || {
                    let sock = serve(sock, protocol, connection, &script, &got);
                    // The last hand on it closes it.
                    open.lock().unwrap().remove(&connection);
                    drop(sock);
                });
            }
        });
        server
    }

    /// What was read so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.got.lock().unwrap().clone()
    }

    /// Connections taken so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// The same, with what it had read by then.
    pub fn kill_and_collect(self) -> Vec<ReceivedRequest> {
        let got = self.got.clone();
        drop(self);
        got.lock().unwrap().clone()
    }

    /// Ends as one that is killed: every connection broken, nothing listening any more.
    pub fn kill(self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // The one who accepts is woken by a last connection, and lets go of its listener.
        drop(TcpStream::connect(self.address));
        for sock in self.open.lock().unwrap().values() {
            break_off(sock);
            _ = sock.shutdown(Shutdown::Both);
        }
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Its close will be told to the peer as a reset.
fn break_off(sock: &TcpStream) {
    _ = SockRef::from(sock).set_linger(Some(Duration::ZERO));
}

fn serve(
    mut sock: TcpStream,
    protocol: Protocol,
    connection: usize,
    script: &Script,
    all: &Mutex<Vec<ReceivedRequest>>,
) -> TcpStream {
    let mut reader = RequestReader::new(protocol);
    let (mut block, mut got) = (Vec::new(), ReceivedRequest::default());
    let mut buffer = [0; 16 * 1024];
    loop {
        let Ok(n) = sock.read(&mut buffer) else {
            return sock;
        };
        if n == 0 {
            return sock;
        }
        let mut input = &buffer[..n];
        loop {
            let piece = match reader.next(&mut input) {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(_) => return sock,
            };
            match piece {
                RequestEvent::Begin {
                    id,
                    keep_connection: keep_alive,
                    ..
                } => {
                    (got, block) = (
                        ReceivedRequest {
                            id,
                            keep_alive,
                            connection,
                            ..ReceivedRequest::default()
                        },
                        Vec::new(),
                    )
                }
                RequestEvent::Params { bytes, .. } => block.extend(bytes),
                RequestEvent::Stdin { bytes, .. } => got.body.extend(bytes),
                RequestEvent::StdinEnd { .. } => {
                    let Ok(pairs) = protocol.read_variables(&block) else {
                        return sock;
                    };
                    let word = |name| String::from_utf8_lossy(name).into_owned();
                    got.variables = pairs
                        .iter()
                        .map(|(name, value)| (word(name), value.to_vec()))
                        .collect();
                    got.received_at_ms = unix_ms();
                    all.lock().unwrap().push(got.clone());
                    if !act(&mut sock, protocol, &got, script(&got)) {
                        return sock;
                    }
                }
                _ => {}
            }
        }
    }
}

/// Carries out one act; whether the connection goes on.
fn act(sock: &mut TcpStream, protocol: Protocol, got: &ReceivedRequest, act: Behavior) -> bool {
    let mut out = Vec::new();
    match act {
        Behavior::Answer {
            status,
            body,
            after,
        } => {
            thread::sleep(after);
            let headers = [
                ("Content-Type", "text/plain"),
                ("X-From", "a server"),
                ("X-Load-Signal", "9"),
            ];
            write_response(
                protocol,
                &mut out,
                got.id,
                ResponseHead {
                    status,
                    headers: &headers,
                    extra_lines: b"",
                },
                &body,
            );
            sock.write_all(&out).is_ok() && got.keep_alive && protocol == Protocol::FastCgi
        }
        Behavior::Cut { body, at, how } => {
            write_response(
                protocol,
                &mut out,
                got.id,
                ResponseHead {
                    status: "200 OK",
                    headers: &[],
                    extra_lines: b"",
                },
                &body,
            );
            _ = sock.write_all(&out[..at.min(out.len())]);
            match how {
                Disconnect::Close => false,
                Disconnect::Reset => {
                    break_off(sock);
                    false
                }
                Disconnect::HalfClose => {
                    _ = sock.shutdown(Shutdown::Write);
                    true
                }
            }
        }
        Behavior::Garbage(bytes) => {
            _ = sock.write_all(&bytes);
            false
        }
        Behavior::Hang => true,
    }
}
