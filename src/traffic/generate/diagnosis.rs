//! Tells an engine that died from a connection that broke.

use std::sync::Arc;

use crate::clock;
use crate::traffic::TrafficContext;
use crate::traffic::upstream::{UpstreamError, exchange, get};

use super::engine::{address_of, note_boot};

/// How long the look at an engine may take, in milliseconds.
const LOOK_LIMIT_MS: u64 = 1_000;

/// What became of an engine whose stream was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFate {
    /// The same process still answers.
    Alive,
    /// The process with this start number is gone.
    Died {
        /// Its start number.
        boot: u64,
    },
    /// It can't be told.
    Unclear,
}

/// Looks at an engine over a new connection.
pub async fn diagnose(context: &TrafficContext, engine: &Arc<str>) -> EngineFate {
    let boot_before = context.boot_of(engine);
    let Some(address) = address_of(context, engine) else {
        return EngineFate::Unclear;
    };
    let Some(request) = get(&address, "/health") else {
        return EngineFate::Unclear;
    };
    match exchange(&address, request, clock::now().after_ms(LOOK_LIMIT_MS)).await {
        Ok(response) => {
            note_boot(context, engine, &response);
            if boot_before == 0 || context.boot_of(engine) == boot_before {
                return EngineFate::Alive;
            }
            EngineFate::Died { boot: boot_before }
        }
        // Refused, or accepted and closed without a word by something between that has lost the engine.
        Err(UpstreamError::Connect { .. } | UpstreamError::Broken { .. }) => {
            EngineFate::Died { boot: boot_before }
        }
        Err(UpstreamError::Deadline { .. }) => EngineFate::Unclear,
    }
}
