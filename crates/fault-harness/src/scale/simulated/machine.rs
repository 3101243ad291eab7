//! A simulated process with membership and budgets, and the datagrams between processes.

use std::net::SocketAddr;

use doortrack_budgets::{Budget, Budgets, Envelope, NodeId};
use doortrack_membership::{Datagram, Fleet, Incarnation, MemberState, MemberUpdate, Parameters};
use doortrack_simulation::MachineId;
use doortrack_time::TenthMillis;
use postcard::experimental::serialized_size;

use crate::history::node_name;

/// Bytes around the payload: IP and UDP headers, version and hash, and (with the length and bytes of the fleet's
/// name) the message kind.
const HEADERS: u64 = 28;
const VERSION_AND_HASH: u64 = 1 + 16;
/// The name of the fleet; only its length matters.
pub const FLEET: &str = "simulated";
const KIND: u64 = 1;
/// Weight of every machine; equal, so that equal demand gets equal allocations.
const WEIGHT: u32 = 4;

/// The payload of one datagram.
#[derive(Clone, Debug)]
pub enum Payload {
    Membership(Box<Datagram>),
    Budgets(Box<Envelope>),
}

/// One datagram and its length on the wire, in bytes with IP and UDP headers.
#[derive(Clone, Debug)]
pub struct Packet {
    pub bytes: u32,
    pub payload: Payload,
}

impl Packet {
    pub fn new(payload: Payload) -> Packet {
        let payload_len = match &payload {
            Payload::Membership(datagram) => serialized_size(&**datagram),
            Payload::Budgets(envelope) => serialized_size(&**envelope),
        };
        let overhead = HEADERS + VERSION_AND_HASH + 1 + FLEET.len() as u64 + KIND;
        Packet {
            bytes: (overhead + payload_len.unwrap_or(0) as u64) as u32,
            payload,
        }
    }
}

/// A running simulated process.
pub struct Machine {
    pub fleet: Fleet,
    pub budgets: Budgets,
    /// The scheduled wake-up time, or [`TenthMillis::MAX`] for none.
    pub due: TenthMillis,
    pub leaves: bool,
}

/// Parameters of a starting process.
pub struct Start<'a> {
    pub machine: MachineId,
    pub unix_ms: u64,
    /// The reading of its clock.
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

    /// Returns the latest time at which it has to be woken.
    pub fn next_due(&self) -> TenthMillis {
        self.fleet.next_due().min(self.budgets.next_due())
    }

    /// Returns true if its view contains this incarnation.
    pub fn knows(&self, id: &NodeId) -> bool {
        self.fleet
            .view()
            .members
            .get(&id.name)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Returns the address of a member of the view, or None for another incarnation of it.
    pub fn reaches(&self, id: &NodeId) -> Option<SocketAddr> {
        let member = self.fleet.view().members.get(&id.name)?;
        (member.incarnation == id.incarnation).then_some(member.address)
    }
}

/// Returns the address of a machine, which encodes its number.
pub fn address(machine: MachineId) -> SocketAddr {
    SocketAddr::from(([10, 0, (machine >> 8) as u8, machine as u8], 7_400))
}

/// Returns the machine with this address.
pub fn machine_at(address: SocketAddr) -> Option<MachineId> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
