//! Stand-ins for what dotterelspan meets: engines, plain services, the platform, callers, and a network with faults.

pub mod caller;
pub mod command_line;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod journal;
pub mod platform;
pub mod proxy;
pub mod rig;
pub mod service;
