//! Tests that the demo's application server shuts down gracefully on SIGINT and SIGTERM.

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::child_process::send_signal;
use doortrack_fakes::fixture::fresh_address;
use doortrack_protocols::Protocol;

fn start(arguments: &[&str]) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_doortrack-demo"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(demo.stdout.take().unwrap()).lines();
    (demo, lines)
}

/// Guards against an application server that exits before it has answered the request that it runs.
#[test]
fn application_server_finishes_running_request_before_exit_on_interrupt() {
    for signal in ["-INT", "-TERM"] {
        let address: SocketAddr = fresh_address();
        let (mut demo, mut lines) = start(&["work", "--listen", &address.to_string()]);
        assert!(
            lines
                .next()
                .unwrap()
                .unwrap()
                .starts_with("uwsgi server at")
        );
        let request = CallerRequest::new(1, "/svc/look", b"berth");
        let pending = request.send(address, Protocol::Uwsgi);
        assert_eq!(lines.next().unwrap().unwrap(), "run: berth");
        send_signal(demo.id(), signal);
        assert_eq!(lines.next().unwrap().unwrap(), "ending");
        let outcome = pending.outcome();
        assert_eq!(outcome, CallerOutcome::Completed(b"done: berth".to_vec()));
        assert_eq!(demo.wait().unwrap().code(), Some(0), "{signal}");
    }
}
