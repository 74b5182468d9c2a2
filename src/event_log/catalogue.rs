//! Every event that is logged, with its fields; docs/EVENTS.md is made from this table.

/// How long lines of an event are kept when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// Decisions on requests that may still be served; dropped first.
    Progress,
    /// What the process believes, and its own life.
    Belief,
    /// Requests that failed; dropped last.
    Failure,
}

impl LineClass {
    /// The word used in the document.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Progress => "progress",
            Self::Belief => "belief",
            Self::Failure => "failure",
        }
    }
}

/// One event.
#[derive(Debug)]
pub struct EventEntry {
    /// Its name.
    pub name: &'static str,
    /// How long its lines are kept.
    pub class: LineClass,
    /// Its fields, in their order.
    pub fields: &'static [&'static str],
    /// When it is logged.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($name:literal, $class:ident, [$($field:literal),*], $meaning:literal;)*) => {
        /// Every event, by name.
        pub const EVENTS: &[EventEntry] = &[
            $(EventEntry {
                name: $name,
                class: LineClass::$class,
                fields: &[$($field),*],
                meaning: $meaning,
            },)*
        ];
    };
}

events! {
    "accept_failed", Belief, ["reason"], "The system takes no connection; tried again after a pause.";
    "answer_broken", Failure, ["request", "replica", "reason"], "A replica's answer broke off, or came with bytes that are not its own.";
    "attempt_failed", Failure, ["engine", "fate", "delivered"], "An attempt at a generation of the entry interface failed.";
    "caller_gone", Progress, ["request"], "A caller left before its answer was whole.";
    "clock_step", Belief, ["step_ms"], "The wall clock jumped against the clock that never goes back.";
    "config_source_lost", Belief, ["revision"], "This VM can't read the configuration in the store; it goes by its peers.";
    "config_source_regained", Belief, ["revision", "outage_ms"], "This VM can read the configuration in the store again.";
    "connection_refused", Belief, ["reason"], "A caller's connection was closed because there are too many.";
    "dependency_lost", Belief, ["dependency", "list_revision"], "The platform's store can't be read; what is known stays in force.";
    "dependency_regained", Belief, ["dependency", "outage_ms"], "The platform's store can be read again.";
    "controller_panicked", Belief, ["cause"], "A controller could not deal with an event, which was dropped; a fault of the program.";
    "drain_begun", Belief, ["accept_ms"], "The process was told to leave.";
    "drain_ended", Belief, ["active_requests"], "The process leaves; what is still active is cut.";
    "drain_handoff", Belief, ["active_requests"], "Outcomes of idempotency keys are handed to peers.";
    "ended", Progress, ["request", "route", "kind", "outcome", "code", "status", "replica", "prefill", "granted_by", "sends", "queue_ms", "prefill_ms", "first_ms", "events", "idle_ms", "total_ms", "revision", "list_revision"], "A request is over. Logged as a failure unless the outcome is served; the other lines of the request tell the steps.";
    "engine_down", Belief, ["engine", "end", "down_ms"], "The owner of a service's engines passes one over after a failure that a request met.";
    "engine_ordered", Belief, ["engine", "role", "fencing_token", "list_revision"], "An engine is to move to the other pool.";
    "granted", Progress, ["request", "place", "decode", "prefill", "granted_by", "queue_ms", "list_revision"], "A generation has its engines.";
    "grant_stale", Progress, ["request", "engine"], "A granted engine takes nothing from this VM now; the grant was given back.";
    "hedged", Progress, ["request", "replica", "after_ms"], "An idempotent call went to a second replica because the first was slow.";
    "keys_handed_off", Belief, ["records"], "Outcomes of idempotency keys were sent to peers.";
    "health_checked", Belief, ["replica", "outcome", "elapsed_ms"], "A replica that names a limit and got no requests was asked for its health.";
    "limit_ended", Belief, ["replica", "replica_start", "service", "age_ms", "seen_by", "source"], "A replica names no limit any more.";
    "limit_named", Belief, ["replica", "replica_start", "service", "rate", "age_ms", "seen_by", "source"], "A replica names a limit on the requests a second that it takes from all VMs together.";
    "limits_handed_over", Belief, ["key", "vm"], "This VM gives no more permits for a service, or a group of engines; another one owns it now.";
    "list_checked", Belief, ["list_revision", "store_revision", "changes"], "The store had changed and nobody told how; this VM read the changes of the replica list itself.";
    "log_dropped", Belief, ["lines"], "Lines were dropped since the last such line.";
    "not_granted", Failure, ["request", "place", "code", "queue_ms", "detail", "retry_after_ms"], "The owner of a service's engines refused a generation, at once or after a wait.";
    "order_given", Belief, ["engine", "role", "fencing_token", "outcome"], "An engine answered an order, or did not.";
    "orphan_cancelled", Belief, ["engine", "request", "done"], "A request that nobody will come back for was cancelled.";
    "owner_silent", Belief, ["vm"], "The owner of a service's engines did not answer; this VM chose alone.";
    "peer_accept_failed", Belief, ["reason"], "The system takes no link; tried again after a pause.";
    "peer_frame_invalid", Belief, ["code", "vm", "bytes"], "A peer sent a frame that can't be read; the link was closed.";
    "peer_refused", Belief, ["code", "address", "reason"], "What connected as a peer did not show the deployment's key.";
    "permit_granted", Progress, ["request", "replica", "owner", "wait_ms", "elapsed_ms"], "A call may go to a replica that names a limit, after a wait.";
    "permit_refused", Progress, ["request", "service", "candidates", "pause_ms", "elapsed_ms"], "A call may not go to any of the replicas that name limits in time.";
    "prefilled", Progress, ["request", "replica", "outcome", "tokens", "elapsed_ms", "total_ms"], "A prefill engine ran a prompt, or did not.";
    "queued", Progress, ["place", "owner"], "A generation waits for engines at their owner.";
    "refused", Failure, ["request", "route", "code", "reason", "detail", "retry_after_ms", "revision"], "A request was refused; by which configuration.";
    "register_accepted", Belief, ["revision", "previous", "written", "source", "unconfirmed_ms"], "A configuration is in force; the state of the store that its write led to, and how long the one before had not been confirmed.";
    "register_passed_over", Belief, ["revision", "written", "in_force", "source"], "A configuration was not looked at: a later one is in force, or the same content was refused before.";
    "register_refused", Belief, ["revision", "in_force", "source", "faults", "first"], "A configuration was not accepted; the last good one stays in force.";
    "register_unreadable", Belief, ["in_force", "reason"], "What is published names no revision, or can't be read at all.";
    "reload", Belief, ["outcome"], "The settings file was read again.";
    "replica_backs_off", Belief, ["replica", "service", "back_off_ms"], "A replica turned a request away and wants nothing from this VM for a while.";
    "replica_entry_unreadable", Belief, ["replica", "bytes", "reason"], "An entry of the replica list can't be read and names no replica.";
    "replica_gone", Belief, ["replica", "reason"], "A replica gets nothing any more.";
    "replica_leaving", Belief, ["replica", "reason", "source", "list_revision"], "A replica is off the list, or said that it leaves; it gets nothing new after a moment.";
    "replica_listed", Belief, ["replica", "service", "role", "address", "zone", "draining", "list_revision"], "A replica is new on the list, or its entry changed.";
    "replica_paused", Belief, ["replica", "reason", "paused_ms"], "A replica failed and is passed over where others are left.";
    "request_quarantined", Belief, ["fingerprint", "strikes", "hold_ms"], "Replicas ended under a request, one run after the other; it is held back everywhere.";
    "resumed", Progress, ["request", "replica", "last_event"], "A stream goes on at another engine after the last event that its caller has.";
    "request_struck", Belief, ["fingerprint", "upstream", "incarnation", "strikes", "age_ms", "seen_by", "source"], "A replica ended while it ran a request of this content.";
    "request_cleared", Belief, ["fingerprint", "strikes", "source"], "Whole runs have cleared a suspected request.";
    "trial_begun", Belief, ["fingerprint", "vm", "strikes"], "This VM lets one run of a suspected request begin.";
    "loss_unnoted", Progress, ["fingerprint"], "The control thread did not take word of a lost request, since the process ends.";
    "request_lost", Failure, ["request", "fingerprint", "stage", "replica", "replica_start", "run_ms", "proven", "fate"], "The connection ended over which a replica was to answer; fate says what a look at the replica showed.";
    "retry_denied", Failure, ["request", "reason", "extra", "allowed", "vms"], "A request was not sent again.";
    "extra_returned", Progress, ["request", "service", "count"], "Extra sends of a request were covered by the shared budget and did not go out.";
    "extra_send", Progress, ["request", "service", "extra", "allowed", "vms"], "A request goes out once more, from the shared budget.";
    "routed", Progress, ["request", "fingerprint", "route", "kind", "service", "limit_ms", "attempts", "revision", "revision_age_ms"], "A route was found for a request, and since when its configuration was in force.";
    "sent", Progress, ["request", "route", "replica", "outcome", "send", "ahead", "free_beside", "elapsed_ms", "total_ms"], "A replica answered a request, or did not. Of a plain call also what it was chosen on: requests expected there, and free slots at the others.";
    "statement_unknown", Belief, ["replica", "service", "name", "value"], "A replica says something of itself that nothing here reads; logged once for each replica.";
    "started", Belief, ["vm", "zone", "callers", "directory", "peers", "store", "incarnation", "version", "revision"], "The process is up.";
    "store_history_gone", Belief, ["prefix"], "The store forgot the changes since the last read; all is read anew.";
    "store_read_failed", Belief, ["prefix", "reason"], "A read of the store failed; tried again after a pause.";
    "stream_broken", Failure, ["request", "replica", "last_event", "reason"], "A decode engine's stream broke off.";
    "suspicion_refuted", Belief, ["renewal"], "Peers took this process for dead; it has told them otherwise.";
    "vm_joined", Belief, ["vm", "zone", "incarnation"], "A VM introduced itself.";
    "vm_suspected", Belief, ["vm", "source"], "A VM is taken for dead.";
    "vm_trusted", Belief, ["vm"], "A suspected VM was heard again.";
    "peer_message_dropped", Progress, ["vm", "queued"], "A message for a peer was dropped because too many wait on its link.";
    "peer_unreachable", Progress, ["vm", "address", "reason"], "A link to a peer did not come about.";
    "question_unreadable", Progress, ["reason"], "A question on a port of our own could not be read.";
    "register_watch_failed", Progress, ["reason"], "The configuration service could not be read; tried again after a pause.";
    "release_failed", Progress, ["replica", "reason"], "A prefilled prompt could not be freed; the engine frees it in time.";
    "socket_option_failed", Progress, ["reason"], "A socket refused an option; it works without.";
    "vms_watch_failed", Progress, ["reason"], "The VM list could not be read; tried again after a pause.";
    "woke_late", Belief, ["suspended_ms"], "The process was suspended or got no processor; requests wait until it has heard its peers again.";
}

/// Writes the table as the Markdown page docs/EVENTS.md.
pub fn render_markdown() -> String {
    let mut page = String::from(
        "# Events in the log\n\nMade from the table in `src/event_log/catalogue.rs`; a test compares it with the page and with the code.\n\
         Each line is `time` (seconds since the Unix epoch), `level`, `event` and the event's fields as key=value pairs, at\n\
         most 480 bytes. `request` is the caller's id of one attempt, `place` the attempt's id at the owner of the engines.\n\
         Lines of class *progress* are dropped first when there are too many, *belief* next, *failure* last.\n\n\
         | event | class | fields | when |\n|---|---|---|---|\n",
    );
    for entry in EVENTS {
        page.push_str(&format!(
            "| {} | {} | {} | {} |\n",
            entry.name,
            entry.class.as_str(),
            entry.fields.join(", "),
            entry.meaning
        ));
    }
    page
}
