//! Many nodes at once, and everything between them broken by a script.
//!
//! A [`Script`] says what goes wrong and when. It is played by [`processes::play`] on real `doortrack`
//! processes with a relay between every pair of them, or by [`simulated::play`] in simulated time on the same
//! decisions. Either way what comes of it is one [`History`]: what the rig did, and what each node told.
//! [`checks`] judge a history and know nothing of a node's code; [`shrink`] takes faults out of a script for
//! as long as it still fails.
//!
//! What must never happen is judged always. What must happen in the end is judged by the nodes' last words,
//! asked for after a time that a slow machine does not outlast.

pub mod checks;
pub mod course;
pub mod crowd;
pub mod divided;
pub mod history;
mod links;
pub mod processes;
pub mod relay;
pub mod scale;
pub mod script;
pub mod serving;
pub mod shrink;
pub mod simulated;
pub mod spent;
pub mod streams;
pub mod traffic;

pub use history::{Entry, History, What};
pub use script::{Fault, Script, Timed};
