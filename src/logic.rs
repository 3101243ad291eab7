//! All decisions of a node. `Door::new` is handed the contract and a seed; from then on
//! `Door::happen` takes what happened, in order, and adds what is to be done.
//! The types of both are in `lib.rs`.

use crate::{Happened, ServiceContract, Tenths, Todo};

pub struct Door;

impl Door {
    pub fn new(_contract: ServiceContract, _seed: u64) -> Self {
        Door
    }

    pub fn happen(&mut self, _now: Tenths, batch: &[Happened], todo: &mut Vec<Todo>) {
        for what in batch {
            if let Happened::Arrived(ex) = what {
                todo.push(match ex.repeats {
                    Some(_) => Todo::Terminate { id: ex.id },
                    None => Todo::Deny { id: ex.id, not_elsewhere: false, come_back_in: 0 },
                });
            }
        }
    }
}
