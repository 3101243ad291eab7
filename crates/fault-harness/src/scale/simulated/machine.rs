//! One running process: its membership and its budgets, and the datagrams between two of them.

use std::net::SocketAddr;

use doortrack_budgets::{Budget, Budgets, Envelope, NodeId};
use doortrack_membership::{Datagram, Fleet, Incarnation, MemberState, MemberUpdate, Parameters};
use doortrack_simulation::MachineId;
use doortrack_time::TenthMillis;
use postcard::experimental::serialized_size;

use crate::history::node_name;

/// Bytes round what is said: IP and UDP, version, hash, the fleet's name and its length, the kind.
const HEADERS: u64 = 28;
const SEAL: u64 = 1 + 16;
/// The fleet's name, for its length alone.
pub const FLEET: &str = "simulated";
const KIND: u64 = 1;
/// Capacity of every machine; equal, so that equal needs have equal shares.
const WEIGHT: u32 = 4;

/// What one datagram carries.
#[derive(Clone, Debug)]
pub enum Content {
    Membership(Box<Datagram>),
    Budgets(Box<Envelope>),
}

/// One datagram with its length on the wire, in bytes with IP and UDP headers.
#[derive(Clone, Debug)]
pub struct Parcel {
    pub bytes: u32,
    pub content: Content,
}

impl Parcel {
    pub fn new(content: Content) -> Parcel {
        let said = match &content {
            Content::Membership(datagram) => serialized_size(&**datagram),
            Content::Budgets(envelope) => serialized_size(&**envelope),
        };
        let round = HEADERS + SEAL + 1 + FLEET.len() as u64 + KIND;
        Parcel {
            bytes: (round + said.unwrap_or(0) as u64) as u32,
            content,
        }
    }
}

/// One running process.
pub struct Machine {
    pub fleet: Fleet,
    pub budgets: Budgets,
    /// When it asked to be woken; [`TenthMillis::MAX`] for not at all.
    pub due: TenthMillis,
    pub leaves: bool,
}

/// What a process is started with.
pub struct Start<'a> {
    pub machine: MachineId,
    pub unix_ms: u64,
    /// What its clock shows.
    pub now: TenthMillis,
    pub seed: u64,
    pub membership: Parameters,
    pub leases: doortrack_budgets::Parameters,
    pub list: &'a [Budget],
}

impl Machine {
    pub fn new(start: Start) -> Machine {
        let me = MemberUpdate {
            name: node_name(start.machine).into(),
            incarnation: Incarnation::from_start_time(start.unix_ms, start.machine as u64),
            version: 0,
            state: MemberState::Alive,
            address: address(start.machine),
            weight: WEIGHT,
        };
        let id = NodeId {
            name: me.name.clone(),
            incarnation: me.incarnation,
        };
        Machine {
            fleet: Fleet::new(me, start.membership, start.seed, start.now),
            budgets: Budgets::new(id, WEIGHT, start.leases, start.list, start.seed, start.now),
            due: TenthMillis::MAX,
            leaves: false,
        }
    }

    /// When it has to be woken at the latest.
    pub fn next_due(&self) -> TenthMillis {
        self.fleet.next_due().min(self.budgets.next_due())
    }

    /// Whether this one is in its view.
    pub fn knows(&self, id: &NodeId) -> bool {
        self.fleet
            .view()
            .members
            .get(&id.name)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Where a member of the view is reached; nothing for another incarnation of it.
    pub fn reaches(&self, id: &NodeId) -> Option<SocketAddr> {
        let member = self.fleet.view().members.get(&id.name)?;
        (member.incarnation == id.incarnation).then_some(member.address)
    }
}

/// The address of a machine, which tells its number.
pub fn address(machine: MachineId) -> SocketAddr {
    SocketAddr::from(([10, 0, (machine >> 8) as u8, machine as u8], 7_400))
}

/// The machine that has this address.
pub fn machine_at(address: SocketAddr) -> Option<MachineId> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
