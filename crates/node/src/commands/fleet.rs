//! `doortrack fleet`: asks a running node how it sees its fleet.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use doortrack_budgets::Units;
use doortrack_config::fleet::read_key;
use doortrack_membership::{MemberReport, Name};
use serde_json::{Value, json};

use crate::peers::peer_message::{Ask, BudgetPage, BudgetStatus, PeerMessage, Status};
use crate::peers::seal::{LONGEST, Seal};

/// One answer is waited for so long, and asked for so often.
const PATIENCE: Duration = Duration::from_millis(300);
const TRIES: usize = 5;
const TRIES_OF_BUDGETS: usize = 2;
/// Members that are shown at the most.
const MAX_MEMBERS: usize = 10_000;

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Prints the members as one node sees them
    Status {
        #[command(flatten)]
        whom: Whom,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Prints a line for each change that one node sees, until stopped
    Watch {
        #[command(flatten)]
        whom: Whom,
        /// How often the node is asked
        #[arg(long, default_value = "500", value_name = "MS")]
        every_ms: u64,
        /// Ends after so long; absent: never
        #[arg(long, value_name = "MS")]
        for_ms: Option<u64>,
    },
}

#[derive(Args)]
pub struct Whom {
    /// The node's fleet address
    #[arg(long, value_name = "ADDRESS")]
    peer: SocketAddr,
    /// The fleet's key, where it has one
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

/// A node's answer, all pages of it.
pub struct Seen {
    pub first: Status,
    pub members: Vec<MemberReport>,
    /// As [`ask_budgets`] tells them; empty where nobody asked.
    pub budgets: Vec<BudgetStatus>,
    pub leader: Option<Name>,
}

fn budget(status: &BudgetStatus, leader: Option<&Name>) -> Value {
    // Allocations of a rate are thousandths on the wire, and requests a second for people.
    let units = |units: Units| {
        if status.rate {
            json!(units as f64 / 1_000.0)
        } else {
            json!(units)
        }
    };
    let kind = if status.rate { "rate" } else { "concurrency" };
    json!({"name": status.name, "kind": kind, "limit": status.limit,
        "allocation": units(status.allocation), "used": status.used, "rejected": status.rejected,
        "need": units(status.need), "in_use": status.in_use, "until_ms": status.until_ms,
        "granted": status.granted.map(units), "leader": leader.map(|name| &**name)})
}

impl Seen {
    pub fn json(&self) -> Value {
        let member = |report: &MemberReport| {
            json!({"name": &*report.name, "incarnation": report.incarnation.to_string(),
                "address": report.address.to_string(), "state": report.state, "weight": report.weight,
                "slow": report.slow, "since_ms": report.for_ms})
        };
        let first = &self.first;
        let budgets = self
            .budgets
            .iter()
            .map(|status| budget(status, self.leader.as_ref()));
        json!({"fleet": first.fleet, "name": &*first.name, "incarnation": first.incarnation.to_string(),
            "view": first.view, "digest": format!("{:016x}", first.digest), "in_view": first.in_view,
            "isolated": first.isolated, "superseded": first.superseded,
            "members": self.members.iter().map(member).collect::<Vec<_>>(),
            "budgets": budgets.collect::<Vec<_>>()})
    }

    fn text(&self) -> String {
        let first = &self.first;
        let mut text = format!(
            "{} of {}: view {} with {} members{}{}\n",
            first.name,
            first.fleet,
            first.view,
            first.in_view,
            if first.isolated { ", isolated" } else { "" },
            if first.superseded {
                ", superseded by a process of the same name"
            } else {
                ""
            },
        );
        for report in &self.members {
            let state = word(report);
            let (name, address) = (&report.name, report.address);
            text += &format!(
                "{name:<16} {state:<10} {address:<22} weight {:<4} incarnation {}",
                report.weight, report.incarnation
            );
            text += &format!("  for {} ms\n", report.for_ms);
        }
        for budget in &self.budgets {
            let scale = if budget.rate { 1_000.0 } else { 1.0 };
            let (allocation, need) = (budget.allocation as f64 / scale, budget.need as f64 / scale);
            let lasts = budget
                .until_ms
                .map_or(String::new(), |ms| format!("  for {ms} ms"));
            text += &format!(
                "budget {:<16} {allocation:.1} of {}, needs {need:.1}, ",
                budget.name, budget.limit
            );
            text += &format!(
                "{} used, {} rejected{lasts}\n",
                budget.used, budget.rejected
            );
        }
        text.pop();
        text
    }
}

fn word(report: &MemberReport) -> String {
    let word = serde_json::to_value(report.state).ok();
    let word = word
        .as_ref()
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_string();
    if report.slow { word + ", slow" } else { word }
}

/// A socket on which one node is asked.
struct Asker {
    sock: UdpSocket,
    seal: Seal,
    peer: SocketAddr,
}

impl Asker {
    fn open(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<Asker, String> {
        let own = if peer.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let in_words = |error: std::io::Error| format!("{peer}: {error}");
        let sock = UdpSocket::bind(own).map_err(in_words)?;
        sock.set_read_timeout(Some(PATIENCE)).map_err(in_words)?;
        Ok(Asker {
            sock,
            seal: Seal::new(key, ""),
            peer,
        })
    }

    fn send(&self, question: &PeerMessage) -> Result<(), String> {
        let datagram = self.seal.close(question).ok_or("too long a name")?;
        self.sock
            .send_to(&datagram, self.peer)
            .map_err(|error| format!("{}: {error}", self.peer))?;
        Ok(())
    }

    /// The next datagram that can be read; none where it can't, or where nothing comes in time.
    fn receive(&self) -> Received {
        let mut bytes = [0; LONGEST];
        let Ok((len, _)) = self.sock.recv_from(&mut bytes) else {
            return Received::Nothing;
        };
        self.seal
            .open(&bytes[..len])
            .map_or(Received::Unreadable, Received::Answer)
    }

    /// The members from behind a name on, asked for several times.
    fn members(&self, after: Option<&Name>) -> Result<Status, String> {
        for _ in 0..TRIES {
            let nonce = fastrand::u64(..);
            self.send(&PeerMessage::Ask(Ask {
                nonce,
                after: after.cloned(),
            }))?;
            let till = Instant::now() + PATIENCE;
            while Instant::now() < till {
                match self.receive() {
                    Received::Answer(PeerMessage::Status(status)) if status.nonce == nonce => {
                        return Ok(*status);
                    }
                    Received::Answer(_) | Received::Unreadable => {}
                    Received::Nothing => break,
                }
            }
        }
        let peer = self.peer;
        Err(format!(
            "{peer}: no answer; is it a node's fleet address, and the key that fleet's?"
        ))
    }

    /// The budgets from an index on, asked for once.
    fn budgets(&self, from: usize) -> Result<Option<BudgetPage>, String> {
        let nonce = fastrand::u64(..);
        self.send(&PeerMessage::AskBudgets {
            nonce,
            from: from as u16,
        })?;
        match self.receive() {
            Received::Answer(PeerMessage::BudgetStatus(page)) if page.nonce == nonce => {
                Ok(Some(*page))
            }
            _ => Ok(None),
        }
    }
}

/// What came of waiting for an answer.
enum Received {
    Answer(PeerMessage),
    Unreadable,
    Nothing,
}

/// Asks a node, page by page.
///
/// # Errors
/// In words: no socket can be had, or nobody answers.
pub fn ask(peer: SocketAddr, key: Option<[u8; 32]>) -> Result<Seen, String> {
    let asker = Asker::open(peer, key)?;
    let first = asker.members(None)?;
    let (mut more, members) = (first.more, first.members.clone());
    let mut seen = Seen {
        first,
        members,
        budgets: Vec::new(),
        leader: None,
    };
    while let Some(last) = seen
        .members
        .last()
        .filter(|_| more && seen.members.len() < MAX_MEMBERS)
    {
        let page = asker.members(Some(&last.name))?;
        more = page.more && !page.members.is_empty();
        seen.members.extend(page.members);
    }
    Ok(seen)
}

/// Asks a node for its budgets, page by page; none where it has none, or knows of no such thing.
///
/// # Errors
/// In words: no socket can be had.
pub fn ask_budgets(
    peer: SocketAddr,
    key: Option<[u8; 32]>,
) -> Result<(Vec<BudgetStatus>, Option<Name>), String> {
    let asker = Asker::open(peer, key)?;
    let (mut budgets, mut leader, mut tries) = (Vec::new(), None, 0);
    while tries < TRIES_OF_BUDGETS {
        tries += 1;
        let Some(page) = asker.budgets(budgets.len())? else {
            continue;
        };
        (tries, leader) = (0, page.leader);
        budgets.extend(page.budgets);
        if !page.more {
            break;
        }
    }
    Ok((budgets, leader))
}

/// Carries out one command; `say` is given each line.
///
/// # Errors
/// In words, for the user.
pub fn run(command: &FleetCommand, mut say: impl FnMut(&str)) -> Result<(), String> {
    let key = |whom: &Whom| {
        let key = whom.key_file.as_deref().map(read_key).transpose();
        key.map_err(|error| error.to_string())
    };
    match command {
        FleetCommand::Status { whom, json } => {
            let mut seen = ask(whom.peer, key(whom)?)?;
            (seen.budgets, seen.leader) = ask_budgets(whom.peer, key(whom)?)?;
            say(&if *json {
                seen.json().to_string()
            } else {
                seen.text()
            });
            Ok(())
        }
        FleetCommand::Watch {
            whom,
            every_ms,
            for_ms,
        } => {
            let (key, began) = (key(whom)?, Instant::now());
            let mut known: BTreeMap<Name, String> = BTreeMap::new();
            let mut unanswered = false;
            while for_ms.is_none_or(|max| began.elapsed() < Duration::from_millis(max)) {
                match ask(whom.peer, key) {
                    Ok(seen) => {
                        unanswered = false;
                        changes(&mut known, &seen).iter().for_each(|line| say(line));
                    }
                    Err(why) if known.is_empty() => return Err(why),
                    Err(why) if !unanswered => {
                        unanswered = true;
                        say(&why);
                    }
                    Err(_) => {}
                }
                std::thread::sleep(Duration::from_millis((*every_ms).max(50)));
            }
            Ok(())
        }
    }
}

/// A line for each member that stands otherwise than `known` says, which is brought up to date.
fn changes(known: &mut BTreeMap<Name, String>, seen: &Seen) -> Vec<String> {
    let view = seen.first.view;
    let mut lines = Vec::new();
    let mut now = BTreeMap::new();
    for report in &seen.members {
        let stands = format!("{} (incarnation {})", word(report), report.incarnation);
        if known.get(&report.name) != Some(&stands) {
            lines.push(format!("view {view}: {} {stands}", report.name));
        }
        now.insert(report.name.clone(), stands);
    }
    let gone = known.keys().filter(|name| !now.contains_key(*name));
    lines.extend(gone.map(|name| format!("view {view}: {name} forgotten")));
    *known = now;
    lines
}
