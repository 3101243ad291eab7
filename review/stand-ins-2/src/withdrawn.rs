//! Bad clients send requests and withdraw them at once, on hundreds of connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Finding;
use crate::fastcgi::{self, Client};
use crate::node::{Node, Setup};
use crate::record::{Record, unix_ms};
use crate::{engine, key_reload};

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 384;
const BAD_CLIENTS: usize = 340;
const PLAY: Duration = Duration::from_secs(15);
/// When the bad clients begin.
const BEGIN: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(20);

pub fn run(record: &Record, trouble: bool) -> Finding {
    // The ids of the dispatcher begin with `ab`; the engine knows no other.
    let engine = engine::start(WORK, |call| call.starts_with("ab"));
    let setup = Setup {
        settings: key_reload::SETTINGS.into(),
        memory_mb: MEMORY_MB,
        stop_ms: 3000,
        sockets: SOCKETS,
        engine: Some(engine),
    };
    let mut node = Node::start(&setup, "")?;
    std::thread::sleep(Duration::from_millis(300));
    record.line(&format!("limit of the node's memory: {MEMORY_MB} MB"));
    let ended = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    let withdrawn: Arc<AtomicUsize> = Arc::default();
    let listen = node.listen;
    let mut threads = Vec::new();
    {
        let (ended, counts) = (Arc::clone(&ended), Arc::clone(&counts));
        threads.push(std::thread::spawn(move || {
            dispatch(listen, &ended, &counts)
        }));
    }
    let limit = u64::from(MEMORY_MB) * 1024 * 1024;
    let begun = Instant::now();
    let (mut most, mut killed, mut bad_began) = (0, false, false);
    while begun.elapsed() < PLAY && !killed {
        if trouble && !bad_began && begun.elapsed() > BEGIN {
            bad_began = true;
            record.line(&format!("{BAD_CLIENTS} bad clients begin"));
            for client in 0..BAD_CLIENTS {
                let (ended, withdrawn) = (Arc::clone(&ended), Arc::clone(&withdrawn));
                threads.push(std::thread::spawn(move || {
                    while !ended.load(Ordering::Relaxed) {
                        misbehave(client, listen, &ended, &withdrawn);
                        std::thread::sleep(Duration::from_millis(50));
                    }
                }));
            }
        }
        let resident = node.resident_bytes().unwrap_or_default();
        if resident > most + 200_000 {
            most = resident;
            record.line(&format!("resident memory: {} kB", resident / 1024));
        }
        if resident > limit {
            record.line("over the limit: the platform kills the node");
            killed = true;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
    ended.store(true, Ordering::Relaxed);
    let crashed = node.has_ended();
    let count = |index: usize| counts[index].load(Ordering::Relaxed);
    record.line(&format!(
        "dispatcher: sent {}, served {}, other ends {}; bad clients: {} requests withdrawn",
        count(0),
        count(1),
        count(2),
        withdrawn.load(Ordering::Relaxed)
    ));
    drop(node);
    for thread in threads {
        _ = thread.join();
    }
    if count(1) == 0 {
        return Err("nothing was served".into());
    }
    Ok(!killed && !crashed)
}

fn dispatch(listen: SocketAddr, ended: &AtomicBool, counts: &[AtomicUsize; 3]) {
    let mut number = 0u64;
    let mut client = None;
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let (id, start) = (format!("ab{number:014x}"), unix_ms().to_string());
        let variables = request_variables(&id, &start);
        if client.is_none() {
            client = Client::connect(listen).ok();
        }
        let Some(connection) = &mut client else {
            continue;
        };
        counts[0].fetch_add(1, Ordering::Relaxed);
        connection.send(1, &variables, b"query");
        let answer = connection.read();
        let served = answer.as_ref().is_some_and(|answer| answer.status == 200);
        counts[if served { 1 } else { 2 }].fetch_add(1, Ordering::Relaxed);
        if answer.is_none() {
            client = None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn request_variables<'a>(id: &'a str, start: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("SCRIPT_NAME", "/svc/search"),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_X_REQUEST_ID", id),
        ("HTTP_X_REQUEST_START", start),
        ("HTTP_X_CALLER", "4"),
        ("HTTP_X_TENANT", "youth-jobs"),
        ("HTTP_X_MEMORY_KB", "24.5"),
        ("HTTP_X_RANK", "0.5"),
    ]
}

/// Sends requests at full speed, each withdrawn right after its last record, and reads whatever is sent to it.
fn misbehave(client: usize, listen: SocketAddr, ended: &AtomicBool, withdrawn: &AtomicUsize) {
    let Ok(mut sock) = TcpStream::connect(listen) else {
        return;
    };
    let Ok(mut reader) = sock.try_clone() else {
        return;
    };
    _ = sock.set_write_timeout(Some(Duration::from_millis(500)));
    let drain = std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let filler = "x".repeat(7800);
    let body = [b'b'; 2048];
    let mut number = 0u32;
    while !ended.load(Ordering::Relaxed) {
        let mut out = Vec::new();
        for _ in 0..16 {
            number += 1;
            let (id, start) = (format!("cd{client:06x}{number:08x}"), unix_ms().to_string());
            let mut variables = request_variables(&id, &start);
            variables.push(("HTTP_COOKIE", &filler));
            out.extend(fastcgi::request(1, &variables, &body));
            out.extend(fastcgi::abort(1));
        }
        if sock.write_all(&out).is_err() {
            break;
        }
        withdrawn.fetch_add(16, Ordering::Relaxed);
    }
    _ = sock.shutdown(std::net::Shutdown::Both);
    _ = drain.join();
}
