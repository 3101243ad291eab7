//! Status queries to one node, over UDP. Each query is repeated until it is answered or the attempts are used up. The
//! functions block until then.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use doortrack_membership::{MemberReport, Name};

use crate::peers::datagram_codec::{DatagramCodec, MAX_DATAGRAM_LEN};
use crate::peers::peer_message::{BudgetPage, BudgetStatus, PeerMessage, Status, StatusQuery};

/// How long to wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of attempts for one page of members.
const MAX_STATUS_ATTEMPTS: usize = 5;
/// Maximum number of attempts for one page of budgets.
const MAX_BUDGET_ATTEMPTS: usize = 2;
/// Maximum number of members that are queried.
const MAX_MEMBERS: usize = 10_000;

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket failed.
    #[error("{peer}: {source}")]
    Socket {
        /// The queried node.
        peer: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The query is too long for a datagram.
    #[error("the name of a member is too long for a datagram")]
    NameTooLong,
    /// No answer came.
    #[error(
        "{0}: no answer; check that it is a node's fleet address and that the key is the fleet's"
    )]
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
    /// Empty if the fleet has no budgets, or the node's build does not support them.
    pub budgets: Vec<BudgetStatus>,
    /// The leader as far as the node knows.
    pub leader: Option<Name>,
}

/// Queries a node's members, page by page.
///
/// # Errors
/// The socket failed, or the node did not answer.
pub fn query_members(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<FleetView, QueryError> {
    let client = StatusClient::open(peer, key)?;
    let status = client.query_member_page(None)?;
    let mut more = status.more;
    let mut members = status.members.clone();
    while more
        && members.len() < MAX_MEMBERS
        && let Some(last) = members.last()
    {
        let page = client.query_member_page(Some(&last.name))?;
        more = page.more && !page.members.is_empty();
        members.extend(page.members);
    }
    Ok(FleetView { status, members })
}

/// Queries a node's budgets, page by page.
///
/// # Errors
/// The socket failed.
pub fn query_budgets(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<BudgetsView, QueryError> {
    let client = StatusClient::open(peer, key)?;
    let mut view = BudgetsView::default();
    let mut attempts = 0;
    while attempts < MAX_BUDGET_ATTEMPTS {
        attempts += 1;
        let Some(page) = client.query_budget_page(view.budgets.len())? else {
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

/// A socket for queries to one node.
struct StatusClient {
    socket: UdpSocket,
    codec: DatagramCodec,
    peer: SocketAddr,
}

/// The result of waiting for a datagram.
enum Received {
    Message(PeerMessage),
    Unreadable,
    /// No datagram came in time.
    TimedOut,
}

impl StatusClient {
    fn open(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<StatusClient, QueryError> {
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
        Ok(StatusClient {
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
            return Received::TimedOut;
        };
        self.codec
            .decode(&bytes[..len])
            .map_or(Received::Unreadable, Received::Message)
    }

    /// Queries one page of members, after a name. The query is repeated up to [`MAX_STATUS_ATTEMPTS`] times.
    fn query_member_page(&self, after: Option<&Name>) -> Result<Status, QueryError> {
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
                Received::TimedOut => return None,
            }
        }
        None
    }

    /// Queries one page of budgets, starting at an index. The query is sent once.
    fn query_budget_page(&self, from: usize) -> Result<Option<BudgetPage>, QueryError> {
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
