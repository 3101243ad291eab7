//! Guards the encoding of every message between nodes. Nodes of different builds run in one fleet, so types and
//! fields may be renamed, but their bytes must stay those that older builds write.

use doortrack_budgets::{Envelope, Grant, Message as BudgetMessage, NodeId, ReportItem};
use doortrack_membership::{
    Datagram, DatagramHeader, Incarnation, MemberReport, MemberState, MemberUpdate, Message,
    ReportedState,
};
use doortrack_node::peers::peer_message::{
    BudgetPage, BudgetStatus, PeerMessage, Status, StatusQuery,
};

const INCARNATION: Incarnation = Incarnation(300);

fn update(name: &str, state: MemberState) -> MemberUpdate {
    let address = "127.0.0.1:7401".parse().unwrap();
    MemberUpdate {
        name: name.into(),
        incarnation: Incarnation(0x1_0203),
        version: 4,
        state,
        address,
        weight: 8,
    }
}

fn datagram(message: Message) -> PeerMessage {
    let states = [
        MemberState::Alive,
        MemberState::Suspected { by: 9 },
        MemberState::Dead,
        MemberState::Left,
    ];
    let updates = states.map(|state| update("c", state)).to_vec();
    let sender = update("a", MemberState::Alive);
    let head = DatagramHeader {
        sender,
        to: INCARNATION,
        sequence: 5,
        digest: 0xfe,
        view: 6,
    };
    PeerMessage::Membership(Datagram {
        head,
        message,
        updates,
    })
}

fn node(name: &str) -> NodeId {
    NodeId {
        name: name.into(),
        incarnation: INCARNATION,
    }
}

fn envelope(message: BudgetMessage) -> PeerMessage {
    PeerMessage::Budgets(Envelope {
        from: node("a"),
        to: node("b"),
        message,
    })
}

fn status() -> PeerMessage {
    let states = [
        ReportedState::Joining,
        ReportedState::Alive,
        ReportedState::Suspected,
        ReportedState::Left,
        ReportedState::Dead,
    ];
    let members = states.map(|state| MemberReport {
        name: "m".into(),
        incarnation: INCARNATION,
        address: "127.0.0.1:7401".parse().unwrap(),
        state,
        weight: 8,
        for_ms: 9,
        slow: true,
    });
    PeerMessage::Status(Box::new(Status {
        nonce: 1,
        fleet: "f".into(),
        name: "a".into(),
        incarnation: INCARNATION,
        view: 2,
        digest: 3,
        in_view: 4,
        isolated: true,
        superseded: false,
        members: members.to_vec(),
        more: true,
    }))
}

fn budget_status() -> PeerMessage {
    let budget = BudgetStatus {
        name: "b".into(),
        rate: true,
        limit: 1,
        allocation: 2,
        used: 3,
        rejected: 4,
        need: 5,
        in_use: 6,
        until_ms: Some(7),
        granted: None,
    };
    let (leader, budgets) = (Some("k".into()), vec![budget]);
    PeerMessage::BudgetStatus(Box::new(BudgetPage {
        nonce: 1,
        leader,
        budgets,
        more: false,
    }))
}

fn hex(message: &PeerMessage) -> String {
    postcard::to_allocvec(message)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn encoding_of_membership_datagrams_is_unchanged() {
    let head = "0001618384040400007f000001e93908ac0205fe0106";
    let updates = "0401638384040400007f000001e939080163838404040109007f000001e93908\
                   01638384040402007f000001e9390801638384040403007f000001e93908";
    let messages = [
        (Message::Join, "00"),
        (Message::Ping { nonce: 7 }, "0107"),
        (Message::Ack { nonce: 7 }, "0207"),
        (
            Message::PingRequest {
                nonce: 7,
                name: "b".into(),
                incarnation: INCARNATION,
            },
            "03070162ac02",
        ),
        (Message::Updates, "04"),
        (
            Message::PageRequest {
                after: Some("b".into()),
            },
            "05010162",
        ),
        (Message::Page { next: None }, "0600"),
    ];
    for (message, body) in messages {
        let what = format!("{message:?}");
        assert_eq!(
            hex(&datagram(message)),
            format!("{head}{body}{updates}"),
            "{what}"
        );
    }
}

#[test]
fn encoding_of_budget_envelopes_is_unchanged() {
    let item = ReportItem {
        id: 11,
        need: 1,
        holding: 2,
        accepted: 3,
        limit: 4,
        reserved: 5,
    };
    let grant = Grant {
        id: 11,
        allocation: 6,
        prolongs: true,
    };
    let messages = [
        (BudgetMessage::VoteRequest { ballot: 1 }, "0001"),
        (BudgetMessage::Vote { ballot: 2 }, "0102"),
        (BudgetMessage::Refused { ballot: 3 }, "0203"),
        (BudgetMessage::Release { ballot: 4 }, "0304"),
        (
            BudgetMessage::Report {
                seq: 5,
                weight: 6,
                items: vec![item],
            },
            "040506010b0102030405",
        ),
        (
            BudgetMessage::Grant {
                seq: 7,
                grants: vec![grant],
            },
            "0507010b0601",
        ),
        (
            BudgetMessage::NotLeader {
                seq: 8,
                leader: Some(node("k")),
            },
            "060801016bac02",
        ),
    ];
    for (message, body) in messages {
        let what = format!("{message:?}");
        assert_eq!(
            hex(&envelope(message)),
            format!("030161ac020162ac02{body}"),
            "{what}"
        );
    }
}

#[test]
fn encoding_of_queries_and_their_answers_is_unchanged() {
    assert_eq!(
        hex(&PeerMessage::StatusQuery(StatusQuery {
            nonce: 1,
            after: None
        })),
        "010100"
    );
    assert_eq!(
        hex(&PeerMessage::BudgetQuery { nonce: 1, from: 2 }),
        "040102"
    );
    assert_eq!(
        hex(&budget_status()),
        "050101016b0101620101020304050601070000"
    );
    let members: Vec<String> = (0..5)
        .map(|state| format!("016dac02007f000001e939{state:02x}080901"))
        .collect();
    assert_eq!(
        hex(&status()),
        format!("020101660161ac02020304010005{}01", members.concat())
    );
}
