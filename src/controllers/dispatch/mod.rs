//! Selects the replica of a service that gets a request, by this VM's requests in flight and the load that
//! replicas report.

mod arrivals;
mod budget;
mod preview;
mod retry_planner;
mod selector;
mod stats;

pub use arrivals::ArrivalCount;
pub use budget::{BudgetDecision, SendBudget};
pub use preview::{CandidateState, CandidateView};
pub use retry_planner::{RefusedCaller, RetryPlanner};
pub use selector::{ChoiceEvidence, DispatchChoice, ReplicaSelector, SelectionCriteria};
pub use stats::{ReplicaStats, SendOutcome};
