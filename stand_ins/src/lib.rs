//! Stand-ins (test doubles) for engines, plain services, the platform and callers, a fault proxy, and a
//! measuring rig.

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
