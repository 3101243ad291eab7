//! The link's UDP socket: datagrams are sealed and opened, counted, and passed by a test's tap.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use doortrack_membership::Change;
use polling::{Event, PollMode, Poller};

use crate::peers::datagram_codec::{DatagramCodec, DatagramError, MAX_DATAGRAM_LEN};
use crate::peers::peer_message::PeerMessage;
use crate::system::addresses::once_free;

/// Counts of datagrams and their bytes, without IP and UDP headers.
#[derive(Clone, Debug, Default)]
pub struct DatagramCounts {
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Could not be sent: the system had no room, or the message was too long.
    pub unsent: u64,
    /// Received and refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// The poller that watches a link, and the link's key: several links of one process have a key each.
#[derive(Clone, Copy)]
pub struct PollerRegistration<'a> {
    /// The poller.
    pub poller: &'a Arc<Poller>,
    /// The link's key in it.
    pub key: usize,
}

/// What a test puts between a link and its network.
pub trait TestHook {
    /// Whether datagrams to and from this address pass.
    fn allows(&self, peer: SocketAddr) -> bool;

    /// What this node has learned of its fleet.
    fn on_change(&mut self, change: &Change);
}

/// The result of one read.
pub(super) enum Received {
    /// Nothing waits to be read.
    Empty,
    /// The read gave nothing to handle; there may be more.
    Nothing,
    Message {
        from: SocketAddr,
        message: PeerMessage,
    },
    Refused {
        from: SocketAddr,
        reason: DatagramError,
    },
}

/// A nonblocking socket of one fleet, registered with a poller until it is dropped.
pub(super) struct SealedSocket {
    socket: UdpSocket,
    poller: Arc<Poller>,
    pub(super) key: usize,
    codec: DatagramCodec,
    pub(super) test_hook: Option<Box<dyn TestHook>>,
    pub(super) counts: DatagramCounts,
}

impl SealedSocket {
    /// Binds the socket and registers it for reading.
    ///
    /// # Errors
    /// The address can't be bound, or the poller refuses the socket.
    pub(super) fn bind(
        address: SocketAddr,
        registration: PollerRegistration,
        codec: DatagramCodec,
    ) -> io::Result<Self> {
        let socket = once_free(|| UdpSocket::bind(address))?;
        socket.set_nonblocking(true)?;
        let PollerRegistration { poller, key } = registration;
        // SAFETY: the socket is taken out of the poller when it is dropped.
        unsafe { poller.add_with_mode(&socket, Event::readable(key), PollMode::Level)? };
        let counts = DatagramCounts::default();
        Ok(SealedSocket {
            socket,
            poller: poller.clone(),
            key,
            codec,
            test_hook: None,
            counts,
        })
    }

    /// Reads and opens one datagram.
    pub(super) fn receive(&mut self) -> Received {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        let (len, from) = match self.socket.recv_from(&mut bytes) {
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::Empty,
            // The fate of an earlier datagram is reported here, and says nothing of the next.
            Err(_) => return Received::Nothing,
        };
        if !self.allows(from) {
            return Received::Nothing;
        }
        self.counts.received += 1;
        self.counts.received_bytes += len as u64;
        let opened = if len > MAX_DATAGRAM_LEN {
            Err(DatagramError::Unreadable)
        } else {
            self.codec.decode(&bytes[..len])
        };
        match opened {
            Ok(message) => Received::Message { from, message },
            Err(reason) => Received::Refused { from, reason },
        }
    }

    /// Seals and sends a message. A failure is counted, as the datagram may be lost on its way as well.
    pub(super) fn send(&mut self, to: SocketAddr, message: &PeerMessage) {
        if !self.allows(to) {
            return;
        }
        let Some(datagram) = self.codec.encode(message) else {
            self.counts.unsent += 1;
            return;
        };
        match self.socket.send_to(&datagram, to) {
            Ok(_) => {
                self.counts.sent += 1;
                self.counts.sent_bytes += datagram.len() as u64;
            }
            Err(_) => self.counts.unsent += 1,
        }
    }

    fn allows(&self, peer: SocketAddr) -> bool {
        self.test_hook
            .as_ref()
            .is_none_or(|test_hook| test_hook.allows(peer))
    }
}

impl Drop for SealedSocket {
    fn drop(&mut self) {
        _ = self.poller.delete(&self.socket);
    }
}
