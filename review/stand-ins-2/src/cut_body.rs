//! Clients announce another length of the body than they send.

use std::sync::{Arc, Mutex};

use crate::Finding;
use crate::fastcgi::{self, Client};
use crate::key_reload::SETTINGS;
use crate::node::{Node, Setup};
use crate::record::{Record, unix_ms};

/// The whole body of an application, of which a bad client sends only the first part.
const BODY: &[u8] = b"{\"post\": 17, \"applicant\": \"a\", \"withdraw\": [\"16\"]}";
const PART: usize = 20;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let received: Arc<Mutex<Vec<(String, Vec<u8>)>>> = Arc::default();
    let server = {
        let (received, record) = (Arc::clone(&received), record.clone());
        fastcgi::serve(move |request| {
            let length = request.variable("CONTENT_LENGTH").to_string();
            let body = String::from_utf8_lossy(&request.body).into_owned();
            record.line(&format!(
                "  the server runs: CONTENT_LENGTH={length}, body {body:?}"
            ));
            received
                .lock()
                .unwrap()
                .push((length, request.body.clone()));
            b"done".to_vec()
        })
    };
    let installation = format!(
        r#"{{"servers": {{"protocol": "fastcgi", "addresses": ["{server}"], "at_once": 8}}}}"#
    );
    let setup = Setup {
        settings: SETTINGS.into(),
        memory_mb: 192,
        stop_ms: 3000,
        sockets: 1024,
        engine: None,
    };
    let node = Node::start(&setup, &installation)?;
    let whole = BODY.len().to_string();
    let announced: Vec<(&str, &[u8])> = if trouble {
        vec![
            (&whole, &BODY[..PART]),
            ("60000000", BODY),
            ("-5", BODY),
            ("many", BODY),
        ]
    } else {
        vec![(&whole, BODY), (&whole, BODY), ("20", &BODY[..PART])]
    };
    let mut served = 0;
    for (number, (length, body)) in announced.iter().enumerate() {
        let id = format!("{:016x}", 0xcd00 + number);
        let key = format!("{:032x}", 0xef00 + number);
        let start = unix_ms().to_string();
        let variables = [
            ("SCRIPT_NAME", "/svc/apply"),
            ("REQUEST_METHOD", "POST"),
            ("CONTENT_LENGTH", *length),
            ("HTTP_X_REQUEST_ID", id.as_str()),
            ("HTTP_X_REQUEST_START", start.as_str()),
            ("HTTP_X_CALLER", "4"),
            ("HTTP_X_TENANT", "youth-jobs"),
            ("HTTP_X_MEMORY_KB", "24.5"),
            ("HTTP_X_RANK", "0.5"),
            ("HTTP_IDEMPOTENCY_KEY", key.as_str()),
        ];
        record.line(&format!(
            "sent: CONTENT_LENGTH={length}, {} bytes in STDIN",
            body.len()
        ));
        let mut client = Client::connect(node.listen)?;
        client.send(1, &variables, body);
        let name = client
            .read()
            .map_or("closed".into(), |answer| answer.name());
        record.line(&format!("answered: {name}"));
        served += usize::from(name == "served");
    }
    record.line(&format!("{served} of {} served", announced.len()));
    if trouble {
        return Ok(served == 0);
    }
    if served == announced.len() {
        Ok(true)
    } else {
        Err("a sound request was not served".into())
    }
}
