//! Which replica of a service gets a request: what this node has in flight there, and what replicas say of their load.

mod arrivals;
mod book;
mod budget;
mod returns;
mod standing;

pub use arrivals::ArrivalCount;
pub use book::{ChoiceEvidence, DispatchChoice, ReplicaSelector, SelectionCriteria};
pub use budget::{BudgetDecision, SendBudget};
pub use returns::{RefusedCaller, RetryPlanner};
pub use standing::{ReplicaStats, SendOutcome};
