//! The node: its parts by themselves, and the program on sockets against stand-ins for all it talks to.

mod conformance;
mod ends;
mod fronts;
mod instants;
mod parts;
mod play;
mod ramps;
mod rules;
mod sockets;
