//! The requests of one connection that have not been answered yet.

use doortrack_admission::RequestId;

use crate::network::bounds::{
    MAX_BODY_BYTES, MAX_EXCESS_REQUESTS, MAX_PARAMS_BYTES, MAX_PENDING_REQUESTS,
};

/// Number of requests by which the list of a connection's pending requests grows.
const LIST_GROWTH: usize = 8;

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
    /// The request began beyond the connection's limit, see [`PendingRequest::exceeds_limit`].
    pub exceeds_limit: bool,
}

/// What the pending requests of a connection, or of all connections, use of the node's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingUsage {
    /// Number of complete requests.
    pub complete: usize,
    /// Bytes of memory of the incomplete requests.
    pub incomplete_bytes: usize,
}

impl PendingUsage {
    /// Replaces the usage of one connection in the usage of all.
    pub fn replace(&mut self, before: PendingUsage, after: PendingUsage) {
        self.complete = self.complete + after.complete - before.complete;
        self.incomplete_bytes =
            self.incomplete_bytes + after.incomplete_bytes - before.incomplete_bytes;
    }
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
    /// [`MAX_PENDING_REQUESTS`] others were pending when the request began, so it is not run.
    pub exceeds_limit: bool,
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
        let length = buffer.len() + bytes.len();
        if length > max_bytes {
            return false;
        }
        if length > buffer.capacity() {
            let capacity = length.max(2 * buffer.capacity()).min(max_bytes);
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend(bytes);
        true
    }

    /// Returns the variables that have arrived, encoded as received.
    pub fn params(&self) -> &[u8] {
        &self.params
    }

    /// Returns the memory of the request in bytes.
    fn memory_bytes(&self) -> usize {
        size_of::<PendingRequest>() + self.params.capacity() + self.body.capacity()
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
            exceeds_limit: self.exceeds_limit,
        }
    }
}

/// The pending requests of one connection.
#[derive(Default)]
pub struct PendingRequests {
    requests: Vec<PendingRequest>,
    usage: PendingUsage,
}

impl PendingRequests {
    /// Returns what the requests use of the node's limits.
    pub fn usage(&self) -> PendingUsage {
        self.usage
    }

    /// Returns true if no request is pending.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns true if no further request can begin.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= MAX_PENDING_REQUESTS + MAX_EXCESS_REQUESTS
    }

    /// Iterates over all pending requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests.iter()
    }

    /// Iterates over the incomplete requests, in no particular order.
    pub fn incomplete(&self) -> impl Iterator<Item = &PendingRequest> {
        self.iter().filter(|request| request.is_incomplete())
    }

    /// Returns true if any pending request is incomplete.
    pub fn any_incomplete(&self) -> bool {
        self.incomplete().next().is_some()
    }

    /// Returns true if all pending requests are incomplete.
    pub fn all_incomplete(&self) -> bool {
        self.requests.iter().all(PendingRequest::is_incomplete)
    }

    /// Returns the numbers of the incomplete requests.
    pub fn incomplete_numbers(&self) -> Vec<u64> {
        self.incomplete().map(|request| request.number).collect()
    }

    /// Returns the number of the incomplete request that began first.
    pub fn oldest_incomplete(&self) -> Option<u64> {
        self.incomplete().map(|request| request.number).min()
    }

    /// Returns the request with this wire id.
    pub fn find_wire_id(&self, wire_id: u16) -> Option<&PendingRequest> {
        self.iter().find(|request| request.wire_id == wire_id)
    }

    /// Returns the request with this number.
    pub fn find(&self, number: u64) -> Option<&PendingRequest> {
        self.iter().find(|request| request.number == number)
    }

    /// Returns the request with this number.
    pub fn find_mut(&mut self, number: u64) -> Option<&mut PendingRequest> {
        let mut requests = self.requests.iter_mut();
        requests.find(|request| request.number == number)
    }

    /// Adds a request.
    pub fn begin(&mut self, wire_id: u16, number: u64) {
        let request = PendingRequest {
            wire_id,
            number,
            exceeds_limit: self.requests.len() >= MAX_PENDING_REQUESTS,
            ..PendingRequest::default()
        };
        self.usage.incomplete_bytes += request.memory_bytes();
        if self.requests.len() == self.requests.capacity() {
            self.requests.reserve_exact(LIST_GROWTH);
        }
        self.requests.push(request);
    }

    /// Appends bytes to a stream of an incomplete request. Bytes for any other wire id belong to a request that was
    /// answered before its end, and are dropped.
    ///
    /// # Errors
    /// The stream would exceed its bound; the error is the request's number.
    pub fn append(&mut self, wire_id: u16, stream: Stream, bytes: &[u8]) -> Result<(), u64> {
        let Some(request) = find_incomplete(&mut self.requests, wire_id) else {
            return Ok(());
        };
        let before = request.memory_bytes();
        if !request.append(stream, bytes) {
            return Err(request.number);
        }
        self.usage.incomplete_bytes += request.memory_bytes() - before;
        Ok(())
    }

    /// Ends one stream of an incomplete request. Returns the request if that completes it.
    pub fn end_stream(&mut self, wire_id: u16, stream: Stream) -> Option<CompleteRequest> {
        let request = find_incomplete(&mut self.requests, wire_id)?;
        request.end_stream(stream);
        if request.is_incomplete() {
            return None;
        }
        self.usage.incomplete_bytes -= request.memory_bytes();
        self.usage.complete += 1;
        Some(request.take_complete())
    }

    /// Removes the request with this wire id.
    pub fn remove_wire_id(&mut self, wire_id: u16) -> Option<PendingRequest> {
        self.remove_where(|request| request.wire_id == wire_id)
    }

    /// Removes the request with this number.
    pub fn remove(&mut self, number: u64) -> Option<PendingRequest> {
        self.remove_where(|request| request.number == number)
    }

    /// Removes the incomplete requests.
    pub fn remove_incomplete(&mut self) {
        self.requests.retain(|request| !request.is_incomplete());
        self.usage.incomplete_bytes = 0;
    }

    fn remove_where(
        &mut self,
        matches: impl Fn(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let index = self.requests.iter().position(matches)?;
        let request = self.requests.swap_remove(index);
        if request.is_incomplete() {
            self.usage.incomplete_bytes -= request.memory_bytes();
        } else {
            self.usage.complete -= 1;
        }
        Some(request)
    }
}

fn find_incomplete(requests: &mut [PendingRequest], wire_id: u16) -> Option<&mut PendingRequest> {
    requests
        .iter_mut()
        .find(|request| request.wire_id == wire_id && request.is_incomplete())
}
