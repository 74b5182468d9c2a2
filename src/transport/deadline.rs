//! Futures with a deadline.

use std::future::Future;

use crate::clock;
use crate::prelude::*;

/// Runs a future until a deadline; `None` if it did not complete by then, in which case it is dropped.
pub async fn until<T>(deadline: Moment, work: impl Future<Output = T>) -> Option<T> {
    let limit = clock::now().remaining(deadline);
    async_std::future::timeout(limit, work).await.ok()
}
