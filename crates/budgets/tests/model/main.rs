//! Model checking of elections and leases, exhaustively within small bounds: whichever node
//! restarts or pauses, and whichever message is lost, duplicated or reordered, the allocations that
//! may be used never exceed the limit. The model runs the same code as the node. Without any one of
//! the safeguards it must fail.

mod machine;
mod safeguards;
mod search;
