//! Which replica of a service gets a request: what this node has in flight there, and what replicas say of their load.

mod arrivals;
mod book;
mod budget;
mod standing;

pub use arrivals::ArrivalCount;
pub use book::{ChoiceEvidence, DispatchAsk, DispatchBook};
pub use budget::{BudgetVerdict, SendBudget};
pub use standing::{ReplicaStanding, SendOutcome};
