//! The link's UDP socket, which encodes, decodes and counts datagrams. Tests may filter them with a hook.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use doortrack_membership::Change;
use polling::{Event, PollMode, Poller};

use crate::peers::datagram_codec::{DatagramCodec, DatagramError, MAX_DATAGRAM_LEN};
use crate::peers::peer_message::PeerMessage;
use crate::system::retry::retry_at_start;

/// Counters of datagrams and their bytes, without IP and UDP headers.
#[derive(Clone, Debug, Default)]
pub struct DatagramCounts {
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that could not be sent: the system had no room, or the message was too long.
    pub unsent: u64,
    /// Datagrams received and rejected, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// The poller that watches a link, and the link's key in it. Several links in one process each have their own key.
#[derive(Clone, Copy)]
pub struct PollerRegistration<'a> {
    /// The poller.
    pub poller: &'a Arc<Poller>,
    /// The link's key in it.
    pub key: usize,
}

/// A hook with which a test filters a link's datagrams and observes its changes.
pub trait TestHook {
    /// True if datagrams to and from this address are let through.
    fn allows(&self, peer: SocketAddr) -> bool;

    /// Called for each change that this node sees in its fleet.
    fn on_change(&mut self, change: &Change);
}

/// The result of one read.
pub(super) enum Received {
    /// There is no datagram to read.
    Empty,
    /// The read gave nothing to handle. There may be more datagrams.
    Ignored,
    Message {
        from: SocketAddr,
        message: PeerMessage,
    },
    Invalid {
        from: SocketAddr,
        reason: DatagramError,
    },
}

/// A nonblocking socket for the datagrams of one fleet, registered with a poller until it is dropped.
pub(super) struct DatagramSocket {
    socket: UdpSocket,
    poller: Arc<Poller>,
    pub(super) key: usize,
    codec: DatagramCodec,
    pub(super) test_hook: Option<Box<dyn TestHook>>,
    pub(super) counts: DatagramCounts,
}

impl DatagramSocket {
    /// Binds the socket and registers it for reading.
    ///
    /// # Errors
    /// The address can't be bound, or the poller refuses the socket.
    pub(super) fn bind(
        address: SocketAddr,
        registration: PollerRegistration,
        codec: DatagramCodec,
    ) -> io::Result<Self> {
        let socket = retry_at_start(|| UdpSocket::bind(address))?;
        socket.set_nonblocking(true)?;
        let PollerRegistration { poller, key } = registration;
        // SAFETY: the socket is removed from the poller before it is dropped.
        unsafe { poller.add_with_mode(&socket, Event::readable(key), PollMode::Level)? };
        let counts = DatagramCounts::default();
        Ok(DatagramSocket {
            socket,
            poller: poller.clone(),
            key,
            codec,
            test_hook: None,
            counts,
        })
    }

    /// Reads and decodes one datagram.
    pub(super) fn receive(&mut self) -> Received {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        let (len, from) = match self.socket.recv_from(&mut bytes) {
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::Empty,
            // The error concerns an earlier datagram that was sent, not the next one to read.
            Err(_) => return Received::Ignored,
        };
        if !self.allows(from) {
            return Received::Ignored;
        }
        self.counts.received += 1;
        self.counts.received_bytes += len as u64;
        let decoded = if len > MAX_DATAGRAM_LEN {
            Err(DatagramError::Unreadable)
        } else {
            self.codec.decode(&bytes[..len])
        };
        match decoded {
            Ok(message) => Received::Message { from, message },
            Err(reason) => Received::Invalid { from, reason },
        }
    }

    /// Encodes and sends a message. A failure is only counted, as the datagram might as well be lost in the network.
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

impl Drop for DatagramSocket {
    fn drop(&mut self) {
        _ = self.poller.delete(&self.socket);
    }
}
