//! Codec for FastCGI 1.0 records.

mod record_reader;
mod request_splitter;
mod response_splitter;

pub(crate) use self::record_reader::split_front;
pub use self::request_splitter::RequestSplitter;
pub use self::response_splitter::{ResponseRecord, ResponseSplitter};
use crate::{ProtocolError, Variable};

/// Role of an application that responds to requests, `FCGI_RESPONDER`.
pub const RESPONDER: u16 = 1;

const VERSION: u8 = 1;

// Record types, such as `FCGI_BEGIN_REQUEST`.
const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const STDERR: u8 = 7;
const DATA: u8 = 8;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

/// The request id of management records.
const MANAGEMENT_ID: u16 = 0;
/// Content length of `BEGIN_REQUEST` and `END_REQUEST` in bytes.
const BODY_BYTES: usize = 8;
/// Flag of `BEGIN_REQUEST` that keeps the connection open after the response.
const KEEP_CONNECTION: u8 = 1;
/// Maximum length of a name or value that is encoded in one byte.
const MAX_SHORT_LENGTH: u8 = 0x7f;
/// Marks a length that is encoded in four bytes.
const LONG_LENGTH_FLAG: u32 = 1 << 31;

/// The `protocolStatus` of `END_REQUEST`, which tells how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The response is complete.
    Complete = 0,
    /// The application does not accept several requests on one connection.
    CantMultiplex = 1,
    /// The application has no capacity for the request.
    Overloaded = 2,
    /// The application does not support the role of the request.
    UnknownRole = 3,
}

impl ProtocolStatus {
    /// Returns the status with this number, if there is one.
    pub fn from_byte(byte: u8) -> Option<ProtocolStatus> {
        [
            Self::Complete,
            Self::CantMultiplex,
            Self::Overloaded,
            Self::UnknownRole,
        ]
        .into_iter()
        .find(|status| *status as u8 == byte)
    }
}

fn write_record(out: &mut Vec<u8>, record_type: u8, id: u16, content: &[u8]) {
    let [id_high, id_low] = id.to_be_bytes();
    let [length_high, length_low] = (content.len() as u16).to_be_bytes();
    out.extend([
        VERSION,
        record_type,
        id_high,
        id_low,
        length_high,
        length_low,
        0,
        0,
    ]);
    out.extend(content);
}

/// Writes a stream in as many records as it needs, and the empty record that ends it.
fn write_stream(out: &mut Vec<u8>, record_type: u8, id: u16, content: &[u8]) {
    for chunk in content.chunks(u16::MAX.into()) {
        write_record(out, record_type, id, chunk);
    }
    write_record(out, record_type, id, &[]);
}

/// Writes the complete standard output of a request.
pub fn write_stdout(out: &mut Vec<u8>, id: u16, content: &[u8]) {
    write_stream(out, STDOUT, id, content);
}

/// Writes the end of a request.
pub fn write_end_request(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    write_record(out, END_REQUEST, id, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Writes the response to `GET_VALUES`. All known values are sent; the peer ignores those that it
/// did not ask for.
pub fn write_values(out: &mut Vec<u8>, max_connections: usize, max_requests: usize) {
    let max_connections = max_connections.to_string();
    let max_requests = max_requests.to_string();
    let mut content = Vec::new();
    for (name, value) in [
        ("FCGI_MAX_CONNS", &*max_connections),
        ("FCGI_MAX_REQS", &*max_requests),
        ("FCGI_MPXS_CONNS", "1"),
    ] {
        content.extend([name.len() as u8, value.len() as u8]);
        content.extend(name.bytes().chain(value.bytes()));
    }
    write_record(out, GET_VALUES_RESULT, MANAGEMENT_ID, &content);
}

/// Writes the response to a management record of an unknown type.
pub fn write_unknown_type(out: &mut Vec<u8>, record_type: u8) {
    let content = [record_type, 0, 0, 0, 0, 0, 0, 0];
    write_record(out, UNKNOWN_TYPE, MANAGEMENT_ID, &content);
}

/// Writes a complete request. The size of the variables is not limited.
pub fn write_request<'a>(
    out: &mut Vec<u8>,
    id: u16,
    keep_connection: bool,
    variables: impl Iterator<Item = Variable<'a>>,
    body: &[u8],
) {
    let mut params = Vec::with_capacity(512);
    for (name, value) in variables {
        write_length(&mut params, name.len());
        write_length(&mut params, value.len());
        params.extend(name);
        params.extend(value);
    }
    let flags = if keep_connection { KEEP_CONNECTION } else { 0 };
    let begin = [0, RESPONDER as u8, flags, 0, 0, 0, 0, 0];
    write_record(out, BEGIN_REQUEST, id, &begin);
    write_stream(out, PARAMS, id, &params);
    write_stream(out, STDIN, id, body);
}

/// Writes the length of a name or value: in one byte up to 127, otherwise in four.
fn write_length(out: &mut Vec<u8>, length: usize) {
    match u8::try_from(length) {
        Ok(short) if short <= MAX_SHORT_LENGTH => out.push(short),
        _ => out.extend((length as u32 | LONG_LENGTH_FLAG).to_be_bytes()),
    }
}

/// Writes an `ABORT_REQUEST`: the response to the request is no longer needed.
pub fn write_abort(out: &mut Vec<u8>, id: u16) {
    write_record(out, ABORT_REQUEST, id, &[]);
}

/// Reads the variables of a complete parameter stream.
///
/// # Errors
/// A length exceeds the rest of the stream, or the stream is truncated.
pub fn read_variables(mut stream: &[u8]) -> Result<Vec<Variable<'_>>, ProtocolError> {
    let mut variables = Vec::with_capacity(16);
    while !stream.is_empty() {
        variables.push(read_variable(&mut stream)?);
    }
    Ok(variables)
}

/// Reads the first variable of a parameter stream and advances the stream past it.
pub(crate) fn read_variable<'a>(stream: &mut &'a [u8]) -> Result<Variable<'a>, ProtocolError> {
    let name_length = read_length(stream)?;
    let value_length = read_length(stream)?;
    if name_length.saturating_add(value_length) > stream.len() {
        return Err(ProtocolError("a parameter is longer than its stream"));
    }
    let name = split_front(stream, name_length);
    Ok((name, split_front(stream, value_length)))
}

/// Reads a length of one byte, or of four with the highest bit set.
fn read_length(stream: &mut &[u8]) -> Result<usize, ProtocolError> {
    const TRUNCATED: ProtocolError = ProtocolError("truncated parameter length");
    match *split_front(stream, 1) {
        [short] if short <= MAX_SHORT_LENGTH => Ok(short.into()),
        [first] => match *split_front(stream, 3) {
            [second, third, fourth] => {
                let length = u32::from_be_bytes([first, second, third, fourth]);
                Ok((length & !LONG_LENGTH_FLAG) as usize)
            }
            _ => Err(TRUNCATED),
        },
        _ => Err(TRUNCATED),
    }
}
