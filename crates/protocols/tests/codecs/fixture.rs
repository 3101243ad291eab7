//! Helpers that read complete streams in given parts.

use doortrack_protocols::{
    Protocol, ProtocolError, RequestEvent, RequestReader, ResponseOutcome, ResponseReader,
    Variable, uwsgi,
};

pub const PACKET: &[u8] =
    b"\x00\x1d\x00\x00\x0e\x00CONTENT_LENGTH\x01\x003\x01\x00A\x05\x00value...and more";

pub fn packet(variables: &[Variable], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    uwsgi::write_request(&mut out, variables.iter().copied(), body).unwrap();
    out
}

/// Returns the events of a stream that arrives in `parts`, and the error that ended it. Adjacent
/// content events are joined, so that the result does not depend on the parts.
pub fn events(
    protocol: Protocol,
    parts: &[&[u8]],
) -> (Vec<(String, Vec<u8>)>, Option<ProtocolError>) {
    let (mut reader, mut events_read) = (
        RequestReader::new(protocol),
        Vec::<(String, Vec<u8>)>::new(),
    );
    for part in parts {
        let mut input = *part;
        loop {
            let (name, bytes) = match reader.next(&mut input) {
                Ok(Some(RequestEvent::Params { id, bytes })) => (format!("params {id}"), bytes),
                Ok(Some(RequestEvent::Stdin { id, bytes })) => (format!("stdin {id}"), bytes),
                Ok(Some(event)) => (format!("{event:?}"), &b""[..]),
                Ok(None) => break,
                Err(error) => return (events_read, Some(error)),
            };
            match events_read
                .last_mut()
                .filter(|(last, _)| *last == name && !bytes.is_empty())
            {
                Some((_, joined)) => joined.extend(bytes),
                None => events_read.push((name, bytes.to_vec())),
            }
        }
    }
    (events_read, None)
}

pub fn read_response(
    protocol: Protocol,
    bytes: &[u8],
) -> Result<Option<ResponseOutcome>, ProtocolError> {
    ResponseReader::new(protocol, 1, 4096).read(&mut &bytes[..])
}
