//! Crowds of hostile callers and slow replicas against one node: the process lives, its memory and descriptors
//! stay within its settings, and ordinary callers are answered.
//!
//! The tests run one at a time, since each measures a whole process under load.

mod calm;
mod crowd;
mod crowds;
#[path = "../platform/faults.rs"]
#[allow(dead_code)]
mod faults;
#[path = "../platform/node.rs"]
#[allow(dead_code)]
mod node;
mod replica;
mod resources;
#[path = "../platform/store.rs"]
#[allow(dead_code)]
mod store;
#[path = "../platform/wire.rs"]
#[allow(dead_code)]
mod wire;
