//! The answer to where a request would go now, as JSON and as text.

use serde::{Deserialize, Serialize};

/// Where a request would go now and why. Ages, waits and times are in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PreviewReport {
    /// The VM that was asked.
    pub vm: String,
    /// Revision of the configuration in force there; zero before the first.
    pub revision: u64,
    /// Revision of the list of replicas there; zero before the first.
    pub list_revision: u64,
    /// Era of that revision; zero if the store names none.
    #[serde(default)]
    pub store_era: u32,
    /// The route that matches; `None` if there is none.
    pub route: Option<RoutePreview>,
    /// The workspace that holds the key; `None` without workspaces, without a key and for an unknown one.
    pub workspace: Option<WorkspacePreview>,
    /// The replicas of the service; the best of each role first.
    pub candidates: Vec<CandidatePreview>,
    /// The replica that would be asked; `None` if an owner decides or none is usable.
    pub replica: Option<String>,
    /// The VMs that decide, as groups of engines or the service's permits are owned.
    pub owners: Vec<OwnerPreview>,
    /// What would refuse the request; `None` if nothing known now does.
    pub refusal: Option<RefusalPreview>,
}

/// A route, as it applies to the request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutePreview {
    /// Name of the route.
    pub name: String,
    /// Kind of the route.
    pub kind: String,
    /// The service that the request is sent to.
    pub service: String,
    /// The most time that the request has.
    pub limit_ms: u64,
    /// The most attempts.
    pub attempts: u32,
    /// The request's rank in queues, lower first.
    pub rank: u32,
    /// Whether the route needs no API key.
    pub allows_anonymous: bool,
}

/// A workspace and its quota. How much of the quota is used is known to its owner only.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkspacePreview {
    /// Name of the workspace.
    pub name: String,
    /// Its priority, lower first.
    pub priority: u32,
    /// Units a second that it may use over all VMs; `None` without a quota.
    pub quota_rate_per_s: Option<f64>,
    /// Units that it may use at once on top; `None` without a quota.
    pub quota_burst: Option<f64>,
    /// Units that this request counts as; `None` without a quota.
    pub quota_cost: Option<u64>,
    /// The VM that grants the quota; `None` without a quota.
    pub quota_owner: Option<String>,
}

/// A replica, as the VM sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CandidatePreview {
    /// Id of the replica.
    pub id: String,
    /// Role of the replica.
    pub role: String,
    /// Availability zone of the replica.
    pub zone: String,
    /// Whether it may get a request now.
    pub state: String,
    /// How long the state lasts; `None` if its end is not known.
    pub state_ends_in_ms: Option<u64>,
    /// Its slots by the list.
    pub slots: u32,
    /// The estimated number of its requests, from all VMs.
    pub requests: u32,
    /// The VM's own requests in flight there.
    pub in_flight: u32,
    /// The load that it reported last: running, waiting, slots, pace in percent; `None` once outdated.
    pub load: Option<[u32; 4]>,
    /// Age of that load.
    pub load_age_ms: Option<u64>,
    /// Mean answer time; zero while unknown.
    pub answer_ms: u64,
    /// State of its pace.
    pub pace: String,
    /// Concurrent requests that its pace allows; `None` if not restrained.
    pub pace_limit: Option<u32>,
    /// Whether it ranks behind others because of its pace.
    pub is_held_back: bool,
    /// Requests a second that it reports to accept from all VMs; `None` without a limit.
    pub rate_limit: Option<f64>,
    /// Expected cost, comparable within the role.
    pub cost: u64,
}

/// A VM that decides about permits or slots.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OwnerPreview {
    /// What it owns.
    pub key: String,
    /// The VM.
    pub vm: String,
}

/// A refusal that the request would get.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RefusalPreview {
    /// The result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// The HTTP status.
    pub status: u16,
    /// When to come back; `None` if that is useless.
    pub retry_after_ms: Option<u64>,
    /// Details; may be empty.
    pub detail: String,
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

impl PreviewReport {
    /// The report as text: one key=value line for each item.
    pub fn to_text(&self) -> String {
        let mut lines = vec![format!(
            "vm={} revision={} list_revision={} store_era={}",
            self.vm, self.revision, self.list_revision, self.store_era
        )];
        lines.extend(self.route.iter().map(RoutePreview::to_line));
        lines.extend(self.workspace.iter().map(WorkspacePreview::to_line));
        lines.extend(self.candidates.iter().map(CandidatePreview::to_line));
        let owners = self.owners.iter();
        lines.extend(owners.map(|owner| format!("owner={} of={}", owner.vm, owner.key)));
        lines.push(match (&self.refusal, &self.replica) {
            (Some(refusal), _) => refusal.to_line(),
            (None, Some(replica)) => format!("asks=replica replica={replica}"),
            (None, None) => "asks=owner".to_owned(),
        });
        lines.join("\n")
    }
}

impl RoutePreview {
    fn to_line(&self) -> String {
        format!(
            "route={} kind={} service={} limit_ms={} attempts={} rank={} anonymous={}",
            self.name,
            self.kind,
            self.service,
            self.limit_ms,
            self.attempts,
            self.rank,
            self.allows_anonymous
        )
    }
}

impl WorkspacePreview {
    fn to_line(&self) -> String {
        format!(
            "workspace={} priority={} quota_rate_per_s={} quota_burst={} quota_cost={} quota_owner={}",
            self.name,
            self.priority,
            or_dash(self.quota_rate_per_s),
            or_dash(self.quota_burst),
            or_dash(self.quota_cost),
            or_dash(self.quota_owner.as_ref())
        )
    }
}

impl CandidatePreview {
    fn to_line(&self) -> String {
        let load = self
            .load
            .map(|load| load.map(|figure| figure.to_string()).join(","));
        format!(
            "candidate={} role={} zone={} state={} state_ends_in_ms={} requests={} slots={} in_flight={} load={} load_age_ms={} \
             answer_ms={} pace={} pace_limit={} held_back={} rate_limit={} cost={}",
            self.id,
            self.role,
            self.zone,
            self.state,
            or_dash(self.state_ends_in_ms),
            self.requests,
            self.slots,
            self.in_flight,
            or_dash(load),
            or_dash(self.load_age_ms),
            self.answer_ms,
            self.pace,
            or_dash(self.pace_limit),
            self.is_held_back,
            or_dash(self.rate_limit),
            self.cost
        )
    }
}

impl RefusalPreview {
    fn to_line(&self) -> String {
        format!(
            "refused={} code={} status={} retry_after_ms={} detail=\"{}\"",
            self.name,
            self.code,
            self.status,
            or_dash(self.retry_after_ms),
            self.detail
        )
    }
}
