//! An application server over either protocol that answers each request as a script says.

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

/// A request as the server received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub id: u16,
    pub keep_alive: bool,
    pub variables: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// The index of the connection it came on, from 0.
    pub connection: usize,
    /// When the whole request had arrived, in Unix ms.
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

/// What the server does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answers with this status and body after a delay.
    Answer {
        status: &'static str,
        body: Vec<u8>,
        after: Duration,
    },
    /// Sends the first `at` bytes of a valid answer, then ends the connection.
    Cut {
        body: Vec<u8>,
        at: usize,
        how: Disconnect,
    },
    /// Sends these bytes, then closes the connection.
    Garbage(Vec<u8>),
    /// Never answers.
    Hang,
}

/// How the server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    Close,
    Reset,
    /// Closes the sending direction only.
    HalfClose,
}

/// A request that the server answers when the test calls [`HeldRequest::respond`].
pub struct HeldRequest {
    pub request: ReceivedRequest,
    behavior: Sender<Behavior>,
}

impl HeldRequest {
    pub fn respond(self, behavior: Behavior) {
        // Sending fails if the connection has been closed.
        _ = self.behavior.send(behavior);
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

/// A duplicate of each open socket by connection index, so that the server can close it from another thread.
type OpenConnections = Arc<Mutex<BTreeMap<usize, TcpStream>>>;
type Script = Arc<dyn Fn(&ReceivedRequest) -> Behavior + Send + Sync>;

/// A running server, with one thread for each connection. Dropping it closes its listener and resets all connections.
pub struct Server {
    pub address: SocketAddr,
    pub protocol: Protocol,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    open: OpenConnections,
}

impl Server {
    /// Starts a server that leaves the answer to each request to the test. A dropped [`HeldRequest`] is never answered.
    pub fn held(protocol: Protocol) -> (Server, Receiver<HeldRequest>) {
        let (sender, requests) = channel();
        let server = Server::start(protocol, move |request| {
            let (behavior, chosen) = channel();
            _ = sender.send(HeldRequest {
                request: request.clone(),
                behavior,
            });
            chosen.recv().unwrap_or(Behavior::Hang)
        });
        (server, requests)
    }

    pub fn start(
        protocol: Protocol,
        script: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    ) -> Server {
        Server::start_at("127.0.0.1:0".parse().unwrap(), protocol, script)
    }

    /// Starts a server at an address, which may be that of a server dropped before.
    pub fn start_at(
        address: SocketAddr,
        protocol: Protocol,
        script: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind(address).unwrap();
        let server = Server {
            address: listener.local_addr().unwrap(),
            protocol,
            received: Arc::default(),
            connections: Arc::default(),
            stopped: Arc::default(),
            open: Arc::default(),
        };
        let script: Script = Arc::new(script);
        let (received, connections) = (server.received.clone(), server.connections.clone());
        let (stopped, open) = (server.stopped.clone(), server.open.clone());
        thread::spawn(move || {
            for sock in listener.incoming() {
                let Ok(sock) = sock else { continue };
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                let Ok(copy) = sock.try_clone() else { continue };
                open.lock().unwrap().insert(connection, copy);
                let (script, received, open) = (script.clone(), received.clone(), open.clone());
                thread::spawn(move || {
                    let sock = serve(sock, protocol, connection, &script, &received);
                    // The connection is closed once both sockets are dropped.
                    open.lock().unwrap().remove(&connection);
                    drop(sock);
                });
            }
        });
        server
    }

    /// The requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// The number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// As [`Server::kill`], but returns the requests received by then.
    pub fn kill_and_collect(self) -> Vec<ReceivedRequest> {
        let received = self.received.clone();
        drop(self);
        received.lock().unwrap().clone()
    }

    /// Resets every connection and stops listening, as a killed process does. Returns the address.
    pub fn kill(self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // A last connection wakes the accepting thread, which then closes its listener.
        drop(TcpStream::connect(self.address));
        for sock in self.open.lock().unwrap().values() {
            reset_on_close(sock);
            _ = sock.shutdown(Shutdown::Both);
        }
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Makes the socket send a TCP reset when it is closed.
fn reset_on_close(sock: &TcpStream) {
    _ = SockRef::from(sock).set_linger(Some(Duration::ZERO));
}

fn serve(
    mut sock: TcpStream,
    protocol: Protocol,
    connection: usize,
    script: &Script,
    received: &Mutex<Vec<ReceivedRequest>>,
) -> TcpStream {
    let mut reader = RequestReader::new(protocol);
    let (mut variables_block, mut request) = (Vec::new(), ReceivedRequest::default());
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
            let event = match reader.next(&mut input) {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return sock,
            };
            match event {
                RequestEvent::Begin {
                    id,
                    keep_connection: keep_alive,
                    ..
                } => {
                    (request, variables_block) = (
                        ReceivedRequest {
                            id,
                            keep_alive,
                            connection,
                            ..ReceivedRequest::default()
                        },
                        Vec::new(),
                    )
                }
                RequestEvent::Params { bytes, .. } => variables_block.extend(bytes),
                RequestEvent::Stdin { bytes, .. } => request.body.extend(bytes),
                RequestEvent::StdinEnd { .. } => {
                    let Ok(pairs) = protocol.read_variables(&variables_block) else {
                        return sock;
                    };
                    let text = |name| String::from_utf8_lossy(name).into_owned();
                    request.variables = pairs
                        .iter()
                        .map(|(name, value)| (text(name), value.to_vec()))
                        .collect();
                    request.received_at_ms = unix_ms();
                    received.lock().unwrap().push(request.clone());
                    if !carry_out(&mut sock, protocol, &request, script(&request)) {
                        return sock;
                    }
                }
                _ => {}
            }
        }
    }
}

/// Carries out a behavior. Returns true if the connection stays open.
fn carry_out(
    sock: &mut TcpStream,
    protocol: Protocol,
    request: &ReceivedRequest,
    behavior: Behavior,
) -> bool {
    let mut out = Vec::new();
    match behavior {
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
                request.id,
                ResponseHead {
                    status,
                    headers: &headers,
                    extra_lines: b"",
                },
                &body,
            );
            sock.write_all(&out).is_ok() && request.keep_alive && protocol == Protocol::FastCgi
        }
        Behavior::Cut { body, at, how } => {
            write_response(
                protocol,
                &mut out,
                request.id,
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
                    reset_on_close(sock);
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
