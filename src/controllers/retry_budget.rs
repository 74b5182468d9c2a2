//! A retry budget for each workspace, which bounds retries to a share of first attempts.

use std::sync::Arc;

use crate::prelude::*;

/// Balance of a workspace before its first attempt, in retries.
const INITIAL_BALANCE: f64 = 10.0;

/// Retries earned by each first attempt.
const RETRIES_PER_FIRST_TRY: f64 = 0.2;

/// Cap on a workspace's balance, in retries.
const MAX_BALANCE: f64 = 50.0;

/// The number of retries that each workspace may still make.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balances: FastMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// Credits a workspace for a first attempt.
    pub fn earn(&mut self, workspace: &Arc<str>) {
        let balance = self.balances.entry(workspace.clone()).or_insert(INITIAL_BALANCE);
        *balance = (*balance + RETRIES_PER_FIRST_TRY).min(MAX_BALANCE);
    }

    /// Spends one retry of a workspace; returns false, and spends nothing, if less than one is left.
    pub fn spend(&mut self, workspace: &Arc<str>) -> bool {
        let balance = self.balances.entry(workspace.clone()).or_insert(INITIAL_BALANCE);
        let is_covered = *balance >= 1.0;
        if is_covered {
            *balance -= 1.0;
        }
        is_covered
    }
}
