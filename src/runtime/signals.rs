//! Handling of SIGTERM, SIGINT and SIGHUP.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::ControlHandle;
use crate::clock;
use crate::prelude::*;

/// Starts the thread that handles signals. SIGTERM and SIGINT begin the drain: requests are accepted for
/// another `linger_ms`, and the process exits after `exit_ms` at the latest. SIGHUP calls `reload`.
pub fn handle_signals(
    control: ControlHandle,
    linger_ms: u64,
    exit_ms: u64,
    reload: impl Fn() + Send + 'static,
) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    reload();
                    continue;
                }
                let now = clock::now();
                control.send_event(Event::LeaveOrdered {
                    accept_until: now.after_ms(linger_ms),
                    exit_at: now.after_ms(exit_ms),
                });
            }
        })?;
    Ok(())
}
