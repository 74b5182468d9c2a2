//! Selects the replica of a service that gets a request, by this VM's requests in flight and the load that
//! replicas report.

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
