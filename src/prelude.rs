//! The types that nearly every module uses.

pub use crate::blackboard::{Blackboard, StoreEra, StorePosition, VmName, VmRecord};
pub use crate::clock::Moment;
pub use crate::controllers::{Action, ControlContext, Controller, Event, EventKind, ReplyTicket};
pub use crate::register::{Register, RegisterStamp, RegisterText, RepeatRule, Revision, Upstream};
pub use crate::result_code::{RefusalNotice, ResultCode, RunEffect};

/// A hash map with a fast, not collision-resistant hasher; its keys come from our own processes or the
/// register.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
