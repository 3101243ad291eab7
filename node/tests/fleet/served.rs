//! Exchanges are served by all four rules while the fleet round the nodes falls apart and finds together.

use std::time::Duration;

use doortrack_rig::processes::Rig;
use doortrack_rig::script::Fault;
use doortrack_standins::caller::{Ask, Seen};
use doortrack_standins::rules::{Bounds, Ran, Tried, broken};
use doortrack_standins::server::{Act, Server};
use doortrack_standins::unix_ms;
use doortrack_wire::Protocol;
use serde_json::{Value, json};

use crate::program;

/// The async timeout of both endpoint groups, and what a slow machine may add, in ms.
const TIMEOUT: u64 = 30_000 + 5_000;
const EACH: usize = 60;

fn result(try_id: &str) -> Vec<u8> {
    format!("of {try_id}").into_bytes()
}

fn mark(nth: u64) -> String {
    format!("{nth:032x}")
}

#[test]
fn exchanges_keep_the_rules_while_nodes_are_cut_off_stopped_and_lost() {
    let server = Server::start(Protocol::FastCgi, |got| Act::ok(result(&Ran::from(got).try_id)));
    let more =
        json!({"servers": {"protocol": "fastcgi", "addresses": [server.at.to_string()], "at_once": 8}});
    let mut rig = Rig::new(program(), 4, 2).unwrap();
    rig.begin();
    (0..4).for_each(|of| rig.start(of, of, &more).unwrap());
    let fronts: Vec<_> = (0..3).map(|of| rig.front(of)).collect();
    let callers: Vec<_> = fronts
        .into_iter()
        .enumerate()
        .map(|(place, front)| {
            std::thread::spawn(move || {
                let one = |n: usize| {
                    let nth = (place * 1_000 + n + 1) as u64;
                    let marked = n.is_multiple_of(2);
                    let key = mark(nth);
                    let script = if marked { "/svc/pay" } else { "/svc/look" };
                    let ask = Ask::new(nth, script, b"body");
                    let ask = if marked { ask.with("HTTP_IDEMPOTENCY_KEY", &key) } else { ask };
                    let sent = unix_ms();
                    let seen = ask.send(front, Protocol::FastCgi).seen();
                    std::thread::sleep(Duration::from_millis(40));
                    Tried { nth, mark: marked.then(|| key.clone()), sent, told: Some((seen, unix_ms())) }
                };
                (0..EACH).map(one).collect::<Vec<Tried>>()
            })
        })
        .collect();
    let more = |_: usize| Value::Null;
    let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
    pause(300);
    rig.take_up(&Fault::Cut { from: vec![0], to: vec![1, 2, 3] }, &more).unwrap();
    rig.take_up(&Fault::Links { loss: 0.2, doubled: 0.2, garbled: 0.1, delay_ms: 10 }, &more).unwrap();
    pause(500);
    rig.take_up(&Fault::Kill { nodes: vec![3] }, &more).unwrap();
    rig.take_up(&Fault::Stop { nodes: vec![1] }, &more).unwrap();
    pause(1_000);
    rig.take_up(&Fault::GoOn { nodes: vec![1] }, &more).unwrap();
    rig.take_up(&Fault::Mend { from: vec![0], to: vec![1, 2, 3] }, &more).unwrap();
    let tried: Vec<Tried> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let ran: Vec<Ran> = server.got().iter().map(Ran::from).collect();
    let bounds = Bounds { within: TIMEOUT, closed: None, tries: 3 };
    let breaches = broken(&tried, &ran, bounds, result);
    assert!(breaches.is_empty(), "{breaches:#?}");
    let completed = tried.iter().filter(|one| matches!(one.told, Some((Seen::Completed(_), _)))).count();
    assert!(completed * 10 >= tried.len() * 9, "{completed} of {} completed", tried.len());
}
