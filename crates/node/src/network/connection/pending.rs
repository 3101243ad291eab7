//! The requests of one connection that have not been answered yet.

use doortrack_admission::RequestId;

use crate::network::bounds::{MAX_BODY_BYTES, MAX_PARAMS_BYTES, MAX_PENDING_REQUESTS};

/// The two streams of which a request consists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// The CGI variables.
    Params,
    /// The body.
    Body,
}

/// A request that has been read completely.
pub struct CompleteRequest {
    /// The request's number in the table, see [`PendingRequest::number`].
    pub number: u64,
    /// The encoded CGI variables as received.
    pub params: Vec<u8>,
    /// The body as received.
    pub body: Vec<u8>,
}

/// A request that has not been answered; it may be incomplete.
#[derive(Default)]
pub struct PendingRequest {
    /// The peer's id of the request, unique among the connection's pending requests.
    pub wire_id: u16,
    /// The request's number in the table. Unlike wire ids and slots, numbers are never reused.
    pub number: u64,
    /// The request's id in the admission controller, once it has one.
    pub id: Option<RequestId>,
    params: Vec<u8>,
    body: Vec<u8>,
    params_complete: bool,
    body_complete: bool,
}

impl PendingRequest {
    /// Returns true if a part of the request has not arrived yet.
    pub fn is_incomplete(&self) -> bool {
        !(self.params_complete && self.body_complete)
    }

    /// Appends bytes to a stream. Returns false if the stream would exceed its bound.
    fn append(&mut self, stream: Stream, bytes: &[u8]) -> bool {
        let (buffer, max_bytes) = match stream {
            Stream::Params => (&mut self.params, MAX_PARAMS_BYTES),
            Stream::Body => (&mut self.body, MAX_BODY_BYTES),
        };
        if buffer.len() + bytes.len() > max_bytes {
            return false;
        }
        buffer.extend(bytes);
        true
    }

    fn end_stream(&mut self, stream: Stream) {
        match stream {
            Stream::Params => self.params_complete = true,
            Stream::Body => self.body_complete = true,
        }
    }

    fn take_complete(&mut self) -> CompleteRequest {
        CompleteRequest {
            number: self.number,
            params: std::mem::take(&mut self.params),
            body: std::mem::take(&mut self.body),
        }
    }
}

/// The pending requests of one connection.
#[derive(Default)]
pub struct PendingRequests(Vec<PendingRequest>);

impl PendingRequests {
    /// Returns the number of pending requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if no request is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over all pending requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.0.iter()
    }

    /// Returns true if any pending request is incomplete.
    pub fn any_incomplete(&self) -> bool {
        self.0.iter().any(PendingRequest::is_incomplete)
    }

    /// Returns true if all pending requests are incomplete.
    pub fn all_incomplete(&self) -> bool {
        self.0.iter().all(PendingRequest::is_incomplete)
    }

    /// Returns the numbers of the incomplete requests.
    pub fn incomplete_numbers(&self) -> Vec<u64> {
        let incomplete = self.0.iter().filter(|request| request.is_incomplete());
        incomplete.map(|request| request.number).collect()
    }

    /// Returns the request with this wire id.
    pub fn find_wire_id(&self, wire_id: u16) -> Option<&PendingRequest> {
        self.0.iter().find(|request| request.wire_id == wire_id)
    }

    /// Returns the request with this number.
    pub fn find(&self, number: u64) -> Option<&PendingRequest> {
        self.0.iter().find(|request| request.number == number)
    }

    /// Returns the request with this number.
    pub fn find_mut(&mut self, number: u64) -> Option<&mut PendingRequest> {
        self.0.iter_mut().find(|request| request.number == number)
    }

    /// Adds a request. Returns false if the connection then has more than [`MAX_PENDING_REQUESTS`].
    pub fn begin(&mut self, wire_id: u16, number: u64) -> bool {
        self.0.push(PendingRequest {
            wire_id,
            number,
            ..PendingRequest::default()
        });
        self.0.len() <= MAX_PENDING_REQUESTS
    }

    /// Appends bytes to a stream of an incomplete request. Bytes for any other wire id belong to a request that was
    /// answered before its end, and are dropped.
    ///
    /// # Errors
    /// The stream would exceed its bound; the error is the request's number.
    pub fn append(&mut self, wire_id: u16, stream: Stream, bytes: &[u8]) -> Result<(), u64> {
        let Some(request) = self.find_incomplete(wire_id) else {
            return Ok(());
        };
        if request.append(stream, bytes) {
            Ok(())
        } else {
            Err(request.number)
        }
    }

    /// Ends one stream of an incomplete request. Returns the request if that completes it.
    pub fn end_stream(&mut self, wire_id: u16, stream: Stream) -> Option<CompleteRequest> {
        let request = self.find_incomplete(wire_id)?;
        request.end_stream(stream);
        (!request.is_incomplete()).then(|| request.take_complete())
    }

    /// Removes the request with this wire id.
    pub fn remove_wire_id(&mut self, wire_id: u16) -> Option<PendingRequest> {
        self.remove_where(|request| request.wire_id == wire_id)
    }

    /// Removes the request with this number.
    pub fn remove(&mut self, number: u64) -> Option<PendingRequest> {
        self.remove_where(|request| request.number == number)
    }

    /// Removes the incomplete requests. Returns the number removed.
    pub fn remove_incomplete(&mut self) -> usize {
        let before = self.0.len();
        self.0.retain(|request| !request.is_incomplete());
        before - self.0.len()
    }

    fn find_incomplete(&mut self, wire_id: u16) -> Option<&mut PendingRequest> {
        self.0
            .iter_mut()
            .find(|request| request.wire_id == wire_id && request.is_incomplete())
    }

    fn remove_where(
        &mut self,
        matches: impl Fn(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let index = self.0.iter().position(matches)?;
        Some(self.0.swap_remove(index))
    }
}
