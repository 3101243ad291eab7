//! Responses: complete, truncated, refused and invalid.

use doortrack_protocols::fastcgi::ProtocolStatus;
use doortrack_protocols::{
    Protocol, ResponseHead, ResponseOutcome, ResponseReader, write_response,
};

use crate::fixture::*;

#[test]
fn responses_are_complete_truncated_or_refused() {
    let mut valid = Vec::new();
    write_response(
        Protocol::Uwsgi,
        &mut valid,
        1,
        ResponseHead {
            status: "200 OK",
            headers: &[],
            extra_lines: b"",
        },
        b"body",
    );
    for cut in 0..valid.len() {
        let mut reader = ResponseReader::new(Protocol::Uwsgi, 1, 4096);
        assert_eq!(reader.read(&mut &valid[..cut]), Ok(None));
        assert!(reader.on_close().is_err(), "cut at {cut}");
        assert_eq!(reader.has_begun(), cut > 0);
    }
    // A response without a length ends with the connection.
    let mut reader = ResponseReader::new(Protocol::Uwsgi, 1, 4096);
    assert_eq!(
        reader.read(&mut &b"HTTP/1.0 404 Not Found\nA:  b \n\nbo"[..]),
        Ok(None)
    );
    assert_eq!(reader.read(&mut &b"dy"[..]), Ok(None));
    let response = reader.on_close().unwrap();
    assert_eq!(
        (response.status, &response.body[..], response.header("a")),
        (404, &b"body"[..], Some(&b"b"[..]))
    );
    // Bytes beyond the announced length are skipped, and reported as excess.
    let more = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody";
    let Ok(Some(ResponseOutcome::Complete(response))) = read_response(Protocol::Uwsgi, more) else {
        panic!()
    };
    assert_eq!((&response.body[..], response.excess), (&b"bo"[..], true));
    let mut fastcgi = Vec::new();
    write_response(
        Protocol::FastCgi,
        &mut fastcgi,
        1,
        ResponseHead {
            status: "201 Made",
            headers: &[],
            extra_lines: b"",
        },
        b"body",
    );
    for cut in 0..fastcgi.len() {
        let mut reader = ResponseReader::new(Protocol::FastCgi, 1, 4096);
        assert_eq!(reader.read(&mut &fastcgi[..cut]), Ok(None));
        assert!(reader.on_close().is_err(), "no end record at {cut}");
    }
    let Ok(Some(ResponseOutcome::Complete(response))) = read_response(Protocol::FastCgi, &fastcgi)
    else {
        panic!()
    };
    assert_eq!((response.status, &response.body[..]), (201, &b"body"[..]));
    let overloaded = [1, 3, 0, 1, 0, 8, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0];
    let refused = Ok(Some(ResponseOutcome::Refused(ProtocolStatus::Overloaded)));
    assert_eq!(read_response(Protocol::FastCgi, &overloaded), refused);
}

#[test]
fn invalid_responses_are_errors() {
    for bytes in [
        &b"SSH-2.0-OpenSSH\r\n\r\n"[..],
        b"HTTP/1.1 99 Low\r\n\r\n",
        b"HTTP/1.1 2000 High\r\n\r\n",
        b"HTTP/1.1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
        &[b'x'; 20_000],
        &[b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'x'; 5000]].concat(),
    ] {
        assert!(
            read_response(Protocol::Uwsgi, bytes).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert!(read_response(Protocol::FastCgi, b"HTTP/1.1 200 OK\r\n\r\n").is_err());
    assert!(
        read_response(Protocol::FastCgi, &[1, 1, 0, 1, 0, 0, 0, 0]).is_err(),
        "a record of a web server"
    );
}
