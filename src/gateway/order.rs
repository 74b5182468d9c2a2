//! Orders that move engines between the pools.

use std::sync::Arc;

use super::GatewayContext;
use super::upstream::{ConnectionChoice, UpstreamRequest, exchange_small};
use crate::clock;
use crate::controllers::rebalance::RoleOrder;

/// How long an engine may take to accept an order, in milliseconds.
const ORDER_LIMIT_MS: u64 = 1_000;

/// Gives an order once. Whether it was taken up shows in the list; an order that is lost is given again, with another
/// fencing token, once the engine is overdue.
pub async fn give_order(context: Arc<GatewayContext>, order: RoleOrder) {
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
        method: "POST",
        head,
        body: b"",
        request_id: "",
        stage: None,
        has_permit: false,
        choice: ConnectionChoice::Fresh,
        deadline: clock::now().after_ms(ORDER_LIMIT_MS),
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
