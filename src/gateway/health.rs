//! Health checks of rate-limited replicas that get no requests, to learn whether their limit still holds.

use std::sync::Arc;

use super::GatewayContext;
use super::upstream::{ConnectionChoice, UpstreamRequest, exchange_small};
use crate::blackboard::ReplicaId;
use crate::clock;

/// Timeout of a health check, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_000;

/// Sends one health check to a replica. The attributes that its answer reports count as those of any other
/// answer.
pub async fn check_health(context: Arc<GatewayContext>, id: ReplicaId) {
    let snapshot = context.snapshot();
    let Some(facts) = snapshot.replicas.get(&id) else {
        return;
    };
    let replica = &facts.record;
    let service = snapshot.register.services.get(&replica.service);
    let Some(path) = service.and_then(|service| service.health_path.as_deref()) else {
        spdlog::warn!("event=health_checked replica={id} outcome=no_path elapsed_ms=0");
        return;
    };
    let began_at = clock::now();
    let request = UpstreamRequest {
        replica,
        caller: None,
        method: "GET",
        head: context.protocol.write_health_check(replica, path),
        body: None,
        request_id: "",
        stage: None,
        has_permit: true,
        choice: ConnectionChoice::Fresh,
        deadline: began_at.after_ms(CHECK_TIMEOUT_MS),
    };
    let outcome = match exchange_small(&context, request).await {
        Ok((head, ..)) => format!("status_{}", head.status),
        Err(error) => error.to_string().replace(' ', "_"),
    };
    spdlog::warn!(
        "event=health_checked replica={id} outcome={outcome} elapsed_ms={}",
        began_at.until_ms(clock::now())
    );
}
