//! Sends the orders that move engines between the prefill and the decode pool.

use std::sync::Arc;

use super::GatewayContext;
use super::upstream::{ConnectionChoice, UpstreamRequest, exchange_small};
use crate::clock;
use crate::controllers::rebalance::RoleOrder;

/// Timeout of an order, connecting included, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_000;

/// Sends an order once and logs the outcome. The replica list shows whether the engine has changed its role;
/// if it has not in time, the rebalancer sends another order with a new fencing token.
pub async fn send_role_order(context: Arc<GatewayContext>, order: RoleOrder) {
    let snapshot = context.snapshot();
    let Some(facts) = snapshot.replicas.get(&order.engine) else {
        return;
    };
    let replica = &facts.record;
    let head = context
        .protocol
        .write_role_order(replica, &order, &context.own.name);
    let request = UpstreamRequest {
        replica,
        caller: None,
        method: "POST",
        head,
        body: None,
        request_id: "",
        stage: None,
        has_permit: false,
        choice: ConnectionChoice::Fresh,
        deadline: clock::now().after_ms(ORDER_TIMEOUT_MS),
    };
    let outcome = match exchange_small(&context, request).await {
        Ok((head, ..)) => format!("status_{}", head.status),
        Err(error) => error.to_string().replace(' ', "_"),
    };
    spdlog::info!(
        "event=order_given engine={} role={:?} fencing_token={} outcome={outcome}",
        order.engine,
        order.role,
        order.fencing_token
    );
}
