//! A router for separate prefill and decode pools of language-model engines and the plain services beside them.
//!
//! The parts under [`controllers`] do no input or output and can be embedded in other programs.

pub mod blackboard;
pub mod clock;
pub mod command_line;
pub mod controllers;
pub mod event_log;
pub mod explain;
pub mod gateway;
pub mod http;
pub mod peers;
pub mod platform;
pub mod prelude;
pub mod register;
pub mod reports;
pub mod result_code;
pub mod runtime;
pub mod settings;
pub mod source;
pub mod traffic;
pub mod transport;
