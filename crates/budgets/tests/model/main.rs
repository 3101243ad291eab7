//! Leaders, votes and leases as a state machine, searched exhaustively within small bounds: whatever node
//! restarts or pauses, and whatever message is lost, duplicated or reordered, the allocations that may be
//! used never exceed the limit. The model drives the package that the node runs. Without any one of the
//! safeguards it must fail.

mod machine;
mod safeguards;
mod search;
