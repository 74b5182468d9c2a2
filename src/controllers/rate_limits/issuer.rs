//! Issues permits for the rate-limited replicas of plain services that this VM owns.

use std::sync::Arc;

use super::{KEY_SUFFIX, PermitIssuer, PermitRequest, PermitVerdict, RateLimitController, service_key};
use crate::blackboard::{RateLimitMap, ReplicaId};
use crate::controllers::message::PeerMessage;
use crate::controllers::ownership::{find_owner, owner_view};
use crate::controllers::rendezvous::weight;
use crate::prelude::*;

/// The number of permit requests for one service per window above which the pauses after refusals grow in
/// proportion to it.
const PAUSE_GROWTH_REQUESTS: u32 = 200;

/// The window in which permit requests are counted, in milliseconds.
const REQUEST_WINDOW_MS: u64 = 1_000;

/// The shortest and the longest pause after a refusal, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (10, 2_000);

/// Issues the permits of one service and counts the requests for them.
#[derive(Debug, Default)]
pub(super) struct ServiceIssuer {
    permits: PermitIssuer,
    window_start: Moment,
    request_count: u32,
    previous_count: u32,
}

impl ServiceIssuer {
    /// Removes the state of replicas whose limits have ended.
    pub(super) fn remove_ended(&mut self, limits: &RateLimitMap) {
        self.permits.retain(|id| limits.contains_key(id));
    }

    /// Counts a permit request. Returns the factor by which the pause after a refusal is multiplied.
    fn count_request(&mut self, now: Moment) -> u64 {
        if now.reached(self.window_start.after_ms(REQUEST_WINDOW_MS)) {
            let is_adjacent = !now.reached(self.window_start.after_ms(2 * REQUEST_WINDOW_MS));
            self.previous_count = if is_adjacent { self.request_count } else { 0 };
            self.request_count = 0;
            self.window_start = now;
        }
        self.request_count += 1;
        u64::from(
            self.request_count
                .max(self.previous_count)
                .div_ceil(PAUSE_GROWTH_REQUESTS),
        )
    }
}

impl RateLimitController {
    /// Decides on a permit request as the owner of the service's permits.
    pub(super) fn decide(
        &mut self,
        number: u64,
        request: &PermitRequest,
        context: &mut ControlContext<'_>,
    ) -> PermitVerdict {
        let now = context.now;
        let issuer = self.issuers.entry(request.service.clone()).or_default();
        let pause_factor = issuer.count_request(now);
        let key = service_key(&request.service);
        if issuer
            .permits
            .update_view(owner_view(&key, context.board, now), now)
        {
            send_handover(key, context);
        }
        let board = &context.board;
        let waits = request.candidates.iter().enumerate().filter_map(|(rank, id)| {
            let limit = board.listed_rate_limit(id)?;
            Some((issuer.permits.wait_ms(id, limit, now)?, rank, id, limit))
        });
        let earliest = waits.min_by_key(|(wait_ms, rank, ..)| (*wait_ms, *rank));
        let max_wait_ms = now.until_ms(request.start_by);
        if let Some((wait_ms, _, id, limit)) = earliest
            && wait_ms <= max_wait_ms
        {
            issuer.permits.take(id, limit, now);
            let replica = id.clone();
            context.board.last_permit_at.insert(replica.clone(), now);
            return PermitVerdict::Granted { replica, wait_ms };
        }
        let pause_ms = earliest.map_or(RETRY_RANGE_MS.1, |(wait_ms, ..)| wait_ms - max_wait_ms);
        let pause_ms = (pause_ms * pause_factor).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        // Jitter: VMs that are refused at the same time must not retry at the same time.
        let jitter_ms = weight(&context.board.own.name, &number.to_string()) % pause_ms;
        PermitVerdict::Refused {
            pause_ms: pause_ms / 2 + jitter_ms,
        }
    }

    /// Answers a VM's permit request. Also sends it the reports of those candidates whose limits have ended,
    /// since it may not have received them.
    pub(super) fn answer_request(
        &mut self,
        from: &VmName,
        number: u64,
        request: &PermitRequest,
        context: &mut ControlContext<'_>,
    ) {
        let verdict = self.decide(number, request, context);
        context.send_to(from, PeerMessage::PermitAnswer { number, verdict });
        let ended = request.candidates.iter().filter_map(|id| self.table.get(id));
        let ended = ended.filter(|report| report.rate.is_none());
        for report in ended {
            context.send_to(from, PeerMessage::LimitStated(report.clone()));
        }
    }

    /// Takes back an unused permit, so that its send slot can be granted again.
    pub(super) fn take_back(
        &mut self,
        service: &Arc<str>,
        replica: &ReplicaId,
        context: &mut ControlContext<'_>,
    ) {
        let issuer = self.issuers.get_mut(service);
        if let (Some(issuer), Some(limit)) = (issuer, context.board.listed_rate_limit(replica)) {
            issuer.permits.give_back(replica, limit, context.now);
        }
    }

    /// Updates the owners of the services that this VM issues permits for, and hands over services that it no
    /// longer owns.
    pub(super) fn refresh_owners(&mut self, context: &mut ControlContext<'_>) {
        for (service, issuer) in &mut self.issuers {
            let key = service_key(service);
            let view = owner_view(&key, context.board, context.now);
            if issuer.permits.update_view(view, context.now) {
                send_handover(key, context);
            }
        }
    }

    /// Takes over from the previous owner of a service's permits, which has stopped issuing them.
    pub(super) fn accept_handover(&mut self, key: &str, context: &ControlContext<'_>) {
        if let Some(service) = key.strip_suffix(KEY_SUFFIX) {
            let issuer = self.issuers.entry(service.into()).or_default();
            issuer
                .permits
                .update_view(owner_view(key, context.board, context.now), context.now);
            issuer.permits.record_handover(context.now);
        }
    }
}

/// Notifies the current owner of `key` that this VM, the previous owner, has stopped issuing permits.
pub fn send_handover(key: String, context: &mut ControlContext<'_>) {
    let owner = find_owner(&key, context.board, context.now);
    context.log(format!("event=limits_handed_over key={key} vm={owner}"));
    context.send_to(&owner, PeerMessage::LimitsHandedOver { key });
}
