//! The product against stand-ins of the users' platform: its store, its replicas and their callers.

mod calls;
mod endless;
mod faults;
mod fixture;
mod generations;
mod node;
mod replica;
mod replica_words;
mod soak;
mod sources;
mod store;
mod stories;
mod wire;
