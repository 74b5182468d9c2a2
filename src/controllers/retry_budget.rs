//! A retry budget for each workspace: retries may be only a share of first tries.

use std::sync::Arc;

use crate::prelude::*;

/// Retries that a workspace may make without earlier traffic.
const INITIAL_BALANCE: f64 = 10.0;

/// Retries earned by each first try.
const RETRIES_PER_FIRST_TRY: f64 = 0.2;

/// The most retries that can be saved up.
const MAX_BALANCE: f64 = 50.0;

/// Counts what each workspace may still retry.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balances: FastMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// Notes a first try.
    pub fn earn(&mut self, workspace: &Arc<str>) {
        let balance = self.balances.entry(workspace.clone()).or_insert(INITIAL_BALANCE);
        *balance = (*balance + RETRIES_PER_FIRST_TRY).min(MAX_BALANCE);
    }

    /// Takes one retry, or says that none is left.
    pub fn spend(&mut self, workspace: &Arc<str>) -> bool {
        let balance = self.balances.entry(workspace.clone()).or_insert(INITIAL_BALANCE);
        let is_covered = *balance >= 1.0;
        if is_covered {
            *balance -= 1.0;
        }
        is_covered
    }
}
