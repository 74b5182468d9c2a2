//! Checks whether the process that sent an answer without a length or chunks still runs once the answer has
//! ended. The system of a process that crashes closes its connections in order, too.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::JoinHandle;
use futures::FutureExt;

use super::exchange::CallerRequest;
use super::loss::has_exited;
use super::rate_permit::{PermitOutcome, acquire_permit, exchange_permitted};
use super::upstream::{ConnectionChoice, ExchangeError, UpstreamAnswer, UpstreamRequest};
use super::{AnswerFacts, GatewayContext};
use crate::blackboard::ReplicaRecord;
use crate::clock;
use crate::prelude::*;
use crate::transport::{HttpStream, until};

/// Longest time of a check, in milliseconds: a retransmission, or a health check that waits for a slot.
const CHECK_SPAN_MS: u64 = 1_000;

/// Time between two health checks if the first was inconclusive, in milliseconds.
const RECHECK_DELAY_MS: u64 = 20;

/// How long new connections may fail before the health check is sent over a pooled one, in milliseconds. A
/// replica that has too many connections resets new ones.
const NEW_CONNECTIONS_MS: u64 = 500;

/// Maximum number of health checks without a witness. A later one may reach the next start of the process.
const MAX_UNWITNESSED_CHECKS: u32 = 2;

/// How long a witness is watched after the health check, in milliseconds. A process may close the connection
/// of an answer some time before it exits.
const EXIT_WATCH_MS: u64 = 25;

/// Path of the health check of a service that has none. Any answer of the replica shows that it runs.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Connect timeout of a witness, in milliseconds.
const WITNESS_CONNECT_MS: u64 = 250;

/// An idle connection to a replica that is opened while an answer arrives. It is closed if the process exits,
/// and stays closed if the process is started again.
#[derive(Debug)]
pub struct WitnessConnection {
    opening: Option<JoinHandle<Option<HttpStream>>>,
}

impl WitnessConnection {
    /// Begins to open the connection.
    pub fn open(replica: &ReplicaRecord) -> Self {
        let address = replica.address;
        let connect_by = clock::now().after_ms(WITNESS_CONNECT_MS);
        let opening =
            async_std::task::spawn(async move { HttpStream::connect(address, connect_by).await.ok() });
        Self {
            opening: Some(opening),
        }
    }

    /// Takes the connection; `None` if it is not open yet, so that the answer may have ended before.
    fn take_opened(&mut self) -> Option<HttpStream> {
        self.opening.take()?.now_or_never().flatten()
    }
}

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaLife {
    /// The process answered after the end of its answer.
    Alive,
    /// The process has exited, or another one runs in its place.
    Exited,
    /// There was neither an answer of the process nor a sign of its exit.
    Unproven,
}

impl ReplicaLife {
    /// Returns the word used in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Exited => "exited",
            Self::Unproven => "unproven",
        }
    }
}

/// Checks a replica whose unframed answer has just ended. Takes a second at most, and ends by the request's
/// deadline.
pub async fn check_life(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    replica: &ReplicaRecord,
    witness: &mut WitnessConnection,
) -> ReplicaLife {
    let ended_at = clock::now();
    let mut check = LifeCheck {
        context,
        request,
        replica,
        witness: witness.take_opened(),
        began_at: ended_at,
        check_by: request.deadline.min(ended_at.after_ms(CHECK_SPAN_MS)),
    };
    let life = check.run().await;
    spdlog::warn!(
        "event=end_checked request={} replica={} outcome={} witnessed={} elapsed_ms={}",
        request.facts.id,
        replica.id,
        life.as_str(),
        check.witness.is_some(),
        ended_at.until_ms(clock::now())
    );
    life
}

/// One check of a replica.
struct LifeCheck<'a> {
    context: &'a Arc<GatewayContext>,
    request: &'a CallerRequest,
    replica: &'a ReplicaRecord,
    /// A connection that was open before the answer ended.
    witness: Option<HttpStream>,
    began_at: Moment,
    check_by: Moment,
}

impl LifeCheck<'_> {
    async fn run(&mut self) -> ReplicaLife {
        let mut checks = 0;
        loop {
            checks += 1;
            match self.ask_health().await {
                ReplicaLife::Alive if self.is_exiting().await => return ReplicaLife::Exited,
                ReplicaLife::Unproven => {}
                life => return life,
            }
            let is_last = self.witness.is_none() && checks >= MAX_UNWITNESSED_CHECKS;
            if is_last || clock::now().reached(self.check_by) {
                return ReplicaLife::Unproven;
            }
            async_std::task::sleep(Duration::from_millis(RECHECK_DELAY_MS)).await;
        }
    }

    /// Sends one health check.
    async fn ask_health(&self) -> ReplicaLife {
        let snapshot = self.context.snapshot();
        let service = snapshot.register.services.get(&self.replica.service);
        let path = service.and_then(|service| service.health_path.as_deref());
        let rate_permit = if snapshot.is_limited(self.replica) {
            let candidates = [self.replica.id.clone()];
            match acquire_permit(self.context, self.request, &candidates).await {
                PermitOutcome::Granted(permit) => Some(permit),
                PermitOutcome::Refused | PermitOutcome::Expired => return ReplicaLife::Unproven,
            }
        } else {
            None
        };
        let pools_at = self.began_at.after_ms(NEW_CONNECTIONS_MS);
        let health_check = UpstreamRequest {
            replica: self.replica,
            caller: None,
            method: "GET",
            head: self
                .context
                .protocol
                .write_health_check(self.replica, path.unwrap_or(DEFAULT_HEALTH_PATH)),
            body: None,
            request_id: "",
            stage: None,
            has_permit: rate_permit.is_some(),
            choice: if clock::now().reached(pools_at) {
                ConnectionChoice::Pooled
            } else {
                ConnectionChoice::Fresh
            },
            deadline: self.check_by,
        };
        match exchange_permitted(self.context, health_check, rate_permit.as_ref()).await {
            Ok(answer) => judge_answer(&answer, self.replica),
            Err(ExchangeError::Unsent { is_refused: true, .. }) => ReplicaLife::Exited,
            Err(_) => ReplicaLife::Unproven,
        }
    }

    /// Whether the process that sent the answer closes its connections, or has closed them.
    async fn is_exiting(&mut self) -> bool {
        match &mut self.witness {
            Some(witness) => until(clock::now().after_ms(EXIT_WATCH_MS), witness.fill())
                .await
                .is_some(),
            None => has_exited(self.replica).await,
        }
    }
}

/// Whether the answer to a health check is the replica's own.
fn judge_answer(answer: &UpstreamAnswer, replica: &ReplicaRecord) -> ReplicaLife {
    /// First status that a proxy answers with if no process is behind it.
    const FAILED_STATUS: u16 = 500;
    let AnswerFacts {
        instance,
        is_misdirected,
        is_not_run,
        ..
    } = &answer.facts;
    match instance.as_deref() {
        _ if *is_misdirected => ReplicaLife::Exited,
        Some(id) if *id == *replica.id => ReplicaLife::Alive,
        Some(_) => ReplicaLife::Exited,
        None if *is_not_run || answer.head.status < FAILED_STATUS => ReplicaLife::Alive,
        None => ReplicaLife::Unproven,
    }
}
