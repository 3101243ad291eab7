//! The engine of the protocol page, as far as these cases need it: it runs what it is sent and answers with a result.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Starts an engine whose runs take `work`. `ran` gets the id of each run.
pub fn start(work: Duration, ran: impl Fn(&str) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let ran: Arc<dyn Fn(&str) -> bool + Send + Sync> = Arc::new(ran);
    std::thread::spawn(move || {
        for sock in listener.incoming().flatten() {
            let ran = Arc::clone(&ran);
            std::thread::spawn(move || serve(sock, work, &ran));
        }
    });
    address
}

/// The text of a field of a command, which has no escapes here.
fn field<'l>(line: &'l str, name: &str) -> Option<&'l str> {
    let (_, rest) = line.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next()
}

fn serve(sock: TcpStream, work: Duration, ran: &Arc<dyn Fn(&str) -> bool + Send + Sync>) {
    _ = sock.set_nodelay(true);
    let Ok(writer) = sock.try_clone() else { return };
    let (writer, serial) = (Arc::new(Mutex::new(writer)), Arc::new(AtomicU64::new(0)));
    let send = |writer: &Mutex<TcpStream>, line: String| {
        _ = writer
            .lock()
            .unwrap()
            .write_all(format!("{line}\n").as_bytes());
    };
    for line in BufReader::new(sock).lines() {
        let Ok(line) = line else { return };
        match field(&line, "msg") {
            Some("ATTACH") => send(
                &writer,
                r#"{"msg":"HELLO","how":"WARM","duration":60000}"#.into(),
            ),
            Some("STAT") => {
                let cookie = field(&line, "cookie").unwrap_or_default();
                send(
                    &writer,
                    format!(r#"{{"msg":"STATS","cookie":"{cookie}","stats":[0.2,1]}}"#),
                );
            }
            Some("RUN") => {
                let call = field(&line, "call").unwrap_or_default().to_string();
                if !ran(&call) {
                    send(
                        &writer,
                        format!(r#"{{"msg":"NO","how":"RUN","call":"{call}"}}"#),
                    );
                    continue;
                }
                let (writer, serial) = (Arc::clone(&writer), Arc::clone(&serial));
                std::thread::spawn(move || {
                    std::thread::sleep(work);
                    let mut writer = writer.lock().unwrap();
                    let number = serial.fetch_add(1, Ordering::SeqCst) + 1;
                    let done = format!(
                        "{{\"msg\":\"DONE\",\"serial\":{number},\"call\":\"{call}\",\"how\":\"OK\",\"duration\":20,\"blob\":\"cmVzdWx0\"}}\n"
                    );
                    _ = writer.write_all(done.as_bytes());
                });
            }
            Some("HALT") => {
                let call = field(&line, "call").unwrap_or_default();
                send(
                    &writer,
                    format!(r#"{{"msg":"NO","how":"HALT","call":"{call}"}}"#),
                );
            }
            _ => {}
        }
    }
}
