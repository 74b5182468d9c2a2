//! The product against stand-ins of the users' platform: its store, its replicas and their callers.

mod calls;
mod decisions;
mod endless;
mod faults;
mod fixture;
mod generations;
mod life;
mod node;
mod query_of_death;
mod replica;
mod replica_words;
mod request_limits;
mod shared_budget;
mod soak;
mod sources;
mod store;
mod stories;
mod wire;
