//! Status queries to one node, over UDP: each is repeated until it is answered or given up. They block for as
//! long as the answer takes.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use doortrack_membership::{MemberReport, Name};

use crate::peers::datagram_codec::{DatagramCodec, MAX_DATAGRAM_LEN};
use crate::peers::peer_message::{BudgetPage, BudgetStatus, PeerMessage, Status, StatusQuery};

/// How long one answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_STATUS_ATTEMPTS: usize = 5;
const MAX_BUDGET_ATTEMPTS: usize = 2;
/// Members that are queried at the most.
const MAX_MEMBERS: usize = 10_000;

/// Why a node's state can't be had.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket failed.
    #[error("{peer}: {source}")]
    Socket {
        /// The node that is queried.
        peer: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The query is too long for a datagram.
    #[error("too long a name")]
    NameTooLong,
    /// No answer came.
    #[error("{0}: no answer; is it a node's fleet address, and the key that fleet's?")]
    NoAnswer(SocketAddr),
}

/// A node's view of its fleet, from all pages of its answer.
pub struct FleetView {
    /// The first page, with the node's own state.
    pub status: Status,
    /// The members of all pages.
    pub members: Vec<MemberReport>,
}

/// A node's budgets, from all pages of its answer.
#[derive(Default)]
pub struct BudgetsView {
    /// Empty where the fleet has no budgets, or the node's build knows of none.
    pub budgets: Vec<BudgetStatus>,
    /// The leader that the node knows.
    pub leader: Option<Name>,
}

/// Queries a node's members, page by page.
///
/// # Errors
/// The socket fails, or nobody answers.
pub fn query_members(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<FleetView, QueryError> {
    let client = Client::open(peer, key)?;
    let status = client.members(None)?;
    let mut more = status.more;
    let mut members = status.members.clone();
    while more
        && members.len() < MAX_MEMBERS
        && let Some(last) = members.last()
    {
        let page = client.members(Some(&last.name))?;
        more = page.more && !page.members.is_empty();
        members.extend(page.members);
    }
    Ok(FleetView { status, members })
}

/// Queries a node's budgets, page by page.
///
/// # Errors
/// The socket fails.
pub fn query_budgets(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<BudgetsView, QueryError> {
    let client = Client::open(peer, key)?;
    let mut view = BudgetsView::default();
    let mut attempts = 0;
    while attempts < MAX_BUDGET_ATTEMPTS {
        attempts += 1;
        let Some(page) = client.budgets(view.budgets.len())? else {
            continue;
        };
        attempts = 0;
        view.leader = page.leader;
        view.budgets.extend(page.budgets);
        if !page.more {
            break;
        }
    }
    Ok(view)
}

/// A socket on which one node is queried.
struct Client {
    socket: UdpSocket,
    codec: DatagramCodec,
    peer: SocketAddr,
}

/// The result of waiting for a datagram.
enum Received {
    Message(PeerMessage),
    Unreadable,
    /// Nothing came in time.
    Nothing,
}

impl Client {
    fn open(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<Client, QueryError> {
        let any_address = if peer.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let failed = |source| QueryError::Socket { peer, source };
        let socket = UdpSocket::bind(any_address).map_err(failed)?;
        socket
            .set_read_timeout(Some(ANSWER_TIMEOUT))
            .map_err(failed)?;
        Ok(Client {
            socket,
            codec: DatagramCodec::new(key, ""),
            peer,
        })
    }

    fn send(&self, query: &PeerMessage) -> Result<(), QueryError> {
        let datagram = self.codec.encode(query).ok_or(QueryError::NameTooLong)?;
        let peer = self.peer;
        self.socket
            .send_to(&datagram, peer)
            .map_err(|source| QueryError::Socket { peer, source })?;
        Ok(())
    }

    fn receive(&self) -> Received {
        let mut bytes = [0; MAX_DATAGRAM_LEN];
        let Ok((len, _)) = self.socket.recv_from(&mut bytes) else {
            return Received::Nothing;
        };
        self.codec
            .decode(&bytes[..len])
            .map_or(Received::Unreadable, Received::Message)
    }

    /// One page of members, after a name; the query is repeated several times.
    fn members(&self, after: Option<&Name>) -> Result<Status, QueryError> {
        for _ in 0..MAX_STATUS_ATTEMPTS {
            let nonce = fastrand::u64(..);
            let query = StatusQuery {
                nonce,
                after: after.cloned(),
            };
            self.send(&PeerMessage::StatusQuery(query))?;
            if let Some(status) = self.receive_status(nonce) {
                return Ok(status);
            }
        }
        Err(QueryError::NoAnswer(self.peer))
    }

    /// Waits for the answer to the query with this nonce.
    fn receive_status(&self, nonce: u64) -> Option<Status> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < until {
            match self.receive() {
                Received::Message(PeerMessage::Status(status)) if status.nonce == nonce => {
                    return Some(*status);
                }
                Received::Message(_) | Received::Unreadable => {}
                Received::Nothing => return None,
            }
        }
        None
    }

    /// One page of budgets, from an index on; the query is sent once.
    fn budgets(&self, from: usize) -> Result<Option<BudgetPage>, QueryError> {
        let nonce = fastrand::u64(..);
        self.send(&PeerMessage::BudgetQuery {
            nonce,
            from: from as u16,
        })?;
        match self.receive() {
            Received::Message(PeerMessage::BudgetStatus(page)) if page.nonce == nonce => {
                Ok(Some(*page))
            }
            _ => Ok(None),
        }
    }
}
