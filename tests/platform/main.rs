//! The product against stand-ins of the users' platform: its store, its replicas and their callers.

mod calls;
mod config_content;
mod config_fleet;
mod config_soak;
mod config_spread;
mod decisions;
mod endless;
mod faults;
mod fixture;
mod generation_limits;
mod generations;
mod life;
mod limited_fleet;
mod node;
mod odd_entries;
mod query_of_death;
mod repeated_refusals;
mod replica;
mod replica_words;
mod request_limits;
mod shared_budget;
mod soak;
mod sources;
mod store;
mod stories;
mod wire;
