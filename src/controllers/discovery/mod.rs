//! Service discovery: the platform's list of replicas, kept through outages of the store and synchronized
//! between peers.

mod history;
mod leaving;
mod trust;

use std::sync::Arc;

use history::UpdateHistory;
use leaving::LeavingTable;
use trust::{EntrySource, judge_entry, missing_until};

use super::message::PeerMessage;

use crate::blackboard::{EntryTrust, ReplicaFacts, ReplicaId, ReplicaRecord};
use crate::prelude::*;

/// How long a replica that drains or is off the list may still get requests if no other one is left, in
/// milliseconds. Entries that expired in an outage of the store are back within this time, and a replica that
/// left keeps serving that long.
const STOP_DELAY_MS: u64 = 1_600;

/// How long this node may be behind a peer before it asks for the peer's list, in milliseconds. Usually the
/// update comes from the store sooner.
const MAX_LAG_MS: u64 = 250;

/// The interval between two requests for the list to peers, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 400;

/// The interval at which a node that has never had the list checks for a peer to request it from, in
/// milliseconds.
const EMPTY_LIST_INTERVAL_MS: u64 = 50;

/// The most entries in an update that is pushed to neighbors, as many as fit into one packet. Larger ones are
/// only announced, and neighbors request what they lack, so that each node receives them once and not once
/// per neighbor.
const MAX_PUSHED_ENTRIES: usize = 10;

/// The most starts of dropped replicas that are remembered, at some 50 bytes each.
const MAX_DROPPED_STARTS: usize = 1_024;

/// A change of the list from one position of the store to another in the same era, or the whole list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaUpdate {
    /// The position of the list after this update.
    pub position: StorePosition,
    /// The position after which this update has all changes; none for the whole list.
    pub since: StorePosition,
    /// Whether `present` is the whole list rather than the changed entries.
    pub is_whole: bool,
    /// Whether this has only the differences between the states at `since` and at `position`. An entry that changed
    /// and changed back in between is not among them, so a node at a position in between can't use this.
    pub is_difference: bool,
    /// Entries that were added or changed, or all entries of a whole list.
    pub present: Vec<ReplicaRecord>,
    /// Replicas whose entries were removed; empty for a whole list.
    pub removed: Vec<ReplicaId>,
}

impl ReplicaUpdate {
    /// An update without entries, which announces a position.
    fn announcement(position: StorePosition) -> Self {
        Self {
            position,
            since: position,
            is_whole: false,
            is_difference: false,
            present: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Whether a list at this position has all that it needs to take over these changes, unless it has them.
    fn applies_to(&self, known: StorePosition) -> bool {
        self.since <= known && !(self.is_difference && known > self.since && known < self.position)
    }

    /// The number of entries that were changed or removed.
    fn entry_count(&self) -> usize {
        self.present.len() + self.removed.len()
    }
}

/// A peer that has a newer state of the list than this node.
#[derive(Debug)]
struct AheadPeer {
    name: VmName,
    request_at: Moment,
}

/// Keeps the board's replicas in line with the list, and sends its changes to peers.
#[derive(Debug, Default)]
pub struct DiscoveryController {
    ahead: Option<AheadPeer>,
    next_request: Moment,
    /// When a node without the list next asks a peer that may not have it either.
    next_speculative_request: Moment,
    neighbor_cursor: usize,
    history: UpdateHistory,
    /// When the first unlisted replica is dropped; `None` while there is none.
    next_stop_at: Option<Moment>,
    /// The position up to which this node's latest reading of the whole list covers all changes.
    full_read_position: StorePosition,
    /// Replicas that announced that they are leaving.
    leaving: LeavingTable,
    /// Whether this process has applied a list, so that replicas which appear later have just started.
    knows_fleet: bool,
    /// The latest starts of replicas that were dropped: one that is listed again after an outage isn't fresh, and
    /// an earlier one isn't used.
    dropped_starts: FastMap<ReplicaId, u64>,
    /// When the first replica whose entry is missing or outdated is looked at again; `None` if there is none.
    next_review_at: Option<Moment>,
}

impl DiscoveryController {
    /// Checks a reading's position against the known list, and applies it.
    fn receive_reading(
        &mut self,
        update: &ReplicaUpdate,
        store_position: StorePosition,
        context: &mut ControlContext<'_>,
    ) {
        let known = context.board.list_position;
        // A store replica that lags behind may return an older state than the known one, and changes can't be
        // applied to the list of another era.
        let is_of_other_era = !update.is_whole && known.is_known() && update.position.era() != known.era();
        if store_position < known || is_of_other_era {
            context.log(format!(
                "event=list_reading_ignored list_revision={known} store_revision={store_position} whole={}",
                update.is_whole
            ));
            return;
        }
        self.apply_reading(update, context);
    }

    /// Applies what this node read from the store, and sends the changes to its neighbors.
    fn apply_reading(&mut self, update: &ReplicaUpdate, context: &mut ControlContext<'_>) {
        let known = context.board.list_position;
        let changes = match update.is_whole {
            _ if !known.is_known() => update.clone(),
            // Changes between the states of two eras are not known.
            true if update.position.era() > known.era() => update.clone(),
            true => self.diff_reading(update, context),
            false => self.find_unknown_changes(update, context.board),
        };

        if changes.position == known {
            // The position is known; this only restores replicas that this node alone had dropped.
            self.apply(&changes, EntrySource::Change, context);
            return;
        }
        self.accept_update(&changes, context);
        self.propagate(&changes, known, context);
    }

    /// The changes between the known list and a reading of the whole list, so that peers are sent only those.
    fn diff_reading(&mut self, reading: &ReplicaUpdate, context: &ControlContext<'_>) -> ReplicaUpdate {
        let present = find_changed(reading, context.board);
        let mut removed = find_absent(reading, context.board);
        removed.retain(|id| context.board.replicas.get(id).is_some_and(is_on_list));

        let since = context.board.list_position;
        let has_changes = !present.is_empty() || !removed.is_empty();
        // A removal leaves no entry with its position, so a reading after it may have a position that is not
        // later than the known one.
        let least = if has_changes { since.next() } else { since };
        let changes = ReplicaUpdate {
            position: reading.position.max(least).min(context.board.store_position),
            since,
            is_whole: false,
            is_difference: true,
            present,
            removed,
        };
        self.full_read_position = changes.position;
        changes
    }

    /// The changes read from the store that this node does not know yet: another reader may have sent some
    /// already. All removals are kept, since this node may have dropped a replica that others still have.
    fn find_unknown_changes(&self, reading: &ReplicaUpdate, board: &Blackboard) -> ReplicaUpdate {
        let present = find_changed(reading, board);
        ReplicaUpdate {
            since: reading
                .since
                .max(self.full_read_position)
                .max(board.list_position),
            is_difference: present.len() < reading.present.len(),
            present,
            removed: reading.removed.clone(),
            ..*reading
        }
    }

    /// Sends or announces to neighbors a position that this node has just reached.
    fn propagate(&self, update: &ReplicaUpdate, known: StorePosition, context: &mut ControlContext<'_>) {
        if context.board.list_position == known {
            return;
        }
        if update.is_whole {
            // The heartbeat carries the position; neighbors that are behind request the list.
            context.send_to_neighbors(&context.heartbeat(false));
        } else if update.entry_count() > MAX_PUSHED_ENTRIES {
            context.send_to_neighbors(&PeerMessage::ReplicasContent(ReplicaUpdate::announcement(
                update.position,
            )));
        } else {
            let update = without_unused(update.clone(), context.board);
            context.send_to_neighbors(&PeerMessage::ReplicasContent(update));
        }
    }

    /// Applies a peer's update and forwards it if it is new. If changes before it are missing, they are
    /// requested.
    fn handle_peer_update(
        &mut self,
        from: &VmName,
        update: &ReplicaUpdate,
        context: &mut ControlContext<'_>,
    ) {
        let known = context.board.list_position;
        let is_of_other_era = known.is_known() && update.position.era() != known.era();
        let is_applicable = update.is_whole || (!is_of_other_era && update.applies_to(known));
        if !is_applicable {
            let wait_ms = if update.entry_count() == 0 { 0 } else { MAX_LAG_MS };
            self.record_peer_ahead(from, update.position, wait_ms, context);
            return;
        }
        self.accept_update(update, context);
        self.propagate(update, known, context);
    }

    fn accept_update(&mut self, update: &ReplicaUpdate, context: &mut ControlContext<'_>) {
        let known = context.board.list_position;
        if update.position <= known && known.is_known() {
            return;
        }
        let source = match update.is_whole {
            true if update.position.era() > known.era() && known.is_known() => EntrySource::Copy,
            true => EntrySource::List,
            false => EntrySource::Change,
        };
        context.board.list_position = update.position;
        self.history.record(known, update);
        self.ahead = None;
        // The peer that was asked has answered; a later state may be requested at once.
        self.next_request = context.now;
        self.apply(update, source, context);
        if source == EntrySource::Copy {
            log_copy(known, context);
        }
    }

    fn apply(&mut self, update: &ReplicaUpdate, source: EntrySource, context: &mut ControlContext<'_>) {
        for record in &update.present {
            self.upsert(record, source, context);
        }
        if update.is_whole {
            for id in &find_absent(update, context.board) {
                match source {
                    EntrySource::Copy => self.keep_missing(id, context),
                    _ if context.board.replicas.get(id).is_some_and(is_on_list) => {
                        self.mark_unlisted(id, "unlisted", context);
                    }
                    _ => {}
                }
            }
        }
        update
            .removed
            .iter()
            .for_each(|id| self.mark_unlisted(id, "removed", context));
        self.knows_fleet = true;
        context.publish();
    }

    /// When a replica's start was first listed, given what is known of that start; `None` if it may have been running
    /// long before.
    fn fresh_since(
        &self,
        record: &ReplicaRecord,
        known: Option<&ReplicaFacts>,
        now: Moment,
    ) -> Option<Moment> {
        match known {
            Some(known) => known.fresh_since,
            None => {
                let was_dropped = self.dropped_starts.get(&record.id) == Some(&record.started_epoch_ms);
                (self.knows_fleet && !was_dropped).then_some(now)
            }
        }
    }

    fn remember_dropped(&mut self, id: &ReplicaId, context: &ControlContext<'_>) {
        if self.dropped_starts.len() >= MAX_DROPPED_STARTS {
            self.dropped_starts.clear();
        }
        if let Some(facts) = context.board.replicas.get(id) {
            let start = self.dropped_starts.entry(id.clone()).or_default();
            *start = facts.record.started_epoch_ms.max(*start);
        }
    }

    fn upsert(&mut self, record: &ReplicaRecord, source: EntrySource, context: &mut ControlContext<'_>) {
        let known = context.board.replicas.get(&record.id);
        if known.is_some_and(|known| known.record.started_epoch_ms > record.started_epoch_ms) {
            if source == EntrySource::Copy {
                self.keep_missing(&record.id, context);
            }
            return;
        }
        // The replica's own announcement overrides a list entry that does not say yet that it drains.
        let announced_stop_at = self.leaving.stop_at(&record.id, record.started_epoch_ms);
        let known_start = known.filter(|known| known.record.started_epoch_ms == record.started_epoch_ms);
        let known_stop_at = known_start.and_then(|known| known.stop_at);
        let dropped_start = self.dropped_starts.get(&record.id).copied();
        let changed_at = context.board.store_era.changed_at.unwrap_or(context.now);
        let trust = judge_entry(record, known_start, dropped_start, source, changed_at);
        let stop_at = match (record.is_draining, known_stop_at) {
            (false, _) if trust.is_outdated() => Some(known_stop_at.unwrap_or(context.now)),
            (false, _) => announced_stop_at,
            (true, Some(stop_at)) => Some(stop_at),
            (true, None) => Some(announced_stop_at.unwrap_or(context.now.after_ms(STOP_DELAY_MS))),
        };
        let has_changed_role = known.is_some_and(|known| known.record.role != record.role);
        let is_same = known.is_some_and(|known| {
            known.record.is_same_entry(record)
                && known.stop_at == stop_at
                && known.is_listed
                && known.trust == trust
        });
        if is_same {
            return;
        }
        let fresh_since = self.fresh_since(record, known_start, context.now);
        let known_cold_until = known_start.and_then(|known| known.record.cold_until);
        context.log(format!(
            "event=replica_listed replica={} service={} role={} address={} zone={} draining={} trust={} \
             list_revision={}",
            record.id,
            record.service,
            record.role.as_str(),
            record.address,
            record.zone,
            record.is_draining,
            trust.as_str(),
            context.board.list_position
        ));
        if has_changed_role {
            // The engine has moved to the other pool and is available again.
            context.board.upstream_mut(&record.id).down_until = None;
        }
        let record = Arc::new(ReplicaRecord {
            cold_until: known_cold_until.or(record.cold_until),
            ..record.clone()
        });
        let id = record.id.clone();
        Arc::make_mut(&mut context.board.replicas).insert(
            id,
            ReplicaFacts {
                record,
                stop_at,
                is_listed: true,
                trust,
                fresh_since,
            },
        );
        if let EntryTrust::Outdated { until: Some(until) } = trust {
            self.schedule_review(until);
        }
    }

    fn schedule_review(&mut self, at: Moment) {
        self.next_review_at = Some(self.next_review_at.map_or(at, |next| next.min(at)));
    }

    /// Keeps a listed replica in use whose entry the copy lacks, until the time to write it again has passed.
    fn keep_missing(&mut self, id: &ReplicaId, context: &mut ControlContext<'_>) {
        let changed_at = context.board.store_era.changed_at.unwrap_or(context.now);
        let until = missing_until(changed_at);
        let is_listed = |facts: &ReplicaFacts| facts.is_listed;
        if !context.board.replicas.get(id).is_some_and(is_listed) {
            return;
        }
        if let Some(facts) = Arc::make_mut(&mut context.board.replicas).get_mut(id) {
            facts.trust = EntryTrust::Missing { until };
            self.schedule_review(until);
            let kept_ms = context.now.until_ms(until);
            context.log(format!(
                "event=replica_missing replica={id} kept_ms={kept_ms} list_revision={}",
                context.board.list_position
            ));
        }
    }

    /// Decides on replicas whose entries were not written again in time.
    fn review_entries(&mut self, context: &mut ControlContext<'_>) {
        if self.next_review_at.is_none_or(|at| !context.now.reached(at)) {
            return;
        }
        let now = context.now;
        let facts = context.board.replicas.values();
        let due: Vec<(ReplicaId, EntryTrust)> = facts
            .filter(|facts| facts.trust.review_at().is_some_and(|at| now.reached(at)))
            .map(|facts| (facts.record.id.clone(), facts.trust))
            .collect();
        for (id, trust) in &due {
            match trust {
                EntryTrust::Missing { .. } => self.mark_unlisted(id, "not_written_again", context),
                _ => self.accept_outdated(id, context),
            }
        }
        let reviews = context.board.replicas.values();
        self.next_review_at = reviews.filter_map(|facts| facts.trust.review_at()).min();
        if !due.is_empty() {
            context.publish();
        }
    }

    /// Uses a replica again whose entry the store has kept for longer than those of replicas that are gone.
    fn accept_outdated(&self, id: &ReplicaId, context: &mut ControlContext<'_>) {
        if let Some(facts) = Arc::make_mut(&mut context.board.replicas).get_mut(id) {
            facts.trust = EntryTrust::Current;
            facts.stop_at = self.leaving.stop_at(id, facts.record.started_epoch_ms);
            context.log(format!(
                "event=replica_confirmed replica={id} list_revision={}",
                context.board.list_position
            ));
        }
    }

    /// Marks a replica as unlisted and sets when it is dropped, unless it is listed again before.
    fn mark_unlisted(&mut self, id: &ReplicaId, reason: &str, context: &mut ControlContext<'_>) {
        let now = context.now;
        if !context
            .board
            .replicas
            .get(id)
            .is_some_and(|facts| facts.is_listed)
        {
            return;
        }
        if let Some(facts) = Arc::make_mut(&mut context.board.replicas).get_mut(id) {
            facts.is_listed = false;
            facts.trust = EntryTrust::Current;
            let stop_at = facts.stop_at.unwrap_or(now.after_ms(STOP_DELAY_MS));
            facts.stop_at = Some(stop_at);
            self.next_stop_at = Some(self.next_stop_at.map_or(stop_at, |next| next.min(stop_at)));

            context.log(format!(
                "event=replica_leaving replica={id} reason={reason} source=list list_revision={}",
                context.board.list_position
            ));
        }
    }

    /// Handles a replica's announcement that it is leaving, and forwards it if it is new. The replica stays
    /// listed until the list drops it.
    fn handle_leaving(
        &mut self,
        id: &ReplicaId,
        started_epoch_ms: u64,
        source: &str,
        context: &mut ControlContext<'_>,
    ) {
        let stop_at = context.now.after_ms(STOP_DELAY_MS);
        if !self.leaving.record(id, started_epoch_ms, stop_at) {
            return;
        }
        let is_staying = |facts: &ReplicaFacts| {
            facts.record.started_epoch_ms == started_epoch_ms && facts.stop_at.is_none()
        };
        if context.board.replicas.get(id).is_some_and(is_staying)
            && let Some(facts) = Arc::make_mut(&mut context.board.replicas).get_mut(id)
        {
            facts.stop_at = Some(stop_at);
            context.log(format!(
                "event=replica_leaving replica={id} reason=said_so source={source} list_revision={}",
                context.board.list_position
            ));
            context.publish();
        }
        context.send_to_neighbors(&PeerMessage::ReplicaLeaving {
            replica: id.clone(),
            started_epoch_ms,
        });
    }

    /// Drops a replica at whose address another one answered.
    fn drop_replaced(&mut self, id: &ReplicaId, context: &mut ControlContext<'_>) {
        self.remember_dropped(id, context);
        if Arc::make_mut(&mut context.board.replicas).remove(id).is_some() {
            context.log(format!("event=replica_gone replica={id} reason=replaced"));
            context.publish();
        }
    }

    /// Records whether the store can be read. A change is sent to peers, since another node then reads in
    /// this one's place.
    fn set_reachable(&self, is_reachable: bool, context: &mut ControlContext<'_>) {
        if is_reachable {
            context.board.store_read_at = context.now;
        }
        if is_reachable == context.board.list_lost_at.is_none() {
            return;
        }
        self.record_reachable(is_reachable, context);
        context.board.renewal += 1;
        context.publish();
        let introduction = context.board.introduction();
        context.send_to_neighbors(&PeerMessage::VmsKnown(vec![introduction]));
    }

    fn record_reachable(&self, is_reachable: bool, context: &mut ControlContext<'_>) {
        match (is_reachable, context.board.list_lost_at) {
            (false, None) => {
                context.board.list_lost_at = Some(context.now);
                context.log(format!(
                    "event=dependency_lost dependency=store list_revision={}",
                    context.board.list_position
                ));
            }
            (true, Some(lost_at)) => {
                context.board.list_lost_at = None;
                let outage_ms = lost_at.until_ms(context.now);
                context.log(format!(
                    "event=dependency_regained dependency=store outage_ms={outage_ms}"
                ));
            }
            _ => {}
        }
    }

    /// Drops unlisted replicas whose stop time has passed; draining ones stay while they are listed.
    fn drop_stopped(&mut self, context: &mut ControlContext<'_>) {
        if self.next_stop_at.is_none_or(|at| !context.now.reached(at)) {
            return;
        }
        let gone: Vec<ReplicaId> = context
            .board
            .replicas
            .values()
            .filter(|facts| !facts.is_listed)
            .filter(|facts| facts.stop_at.is_some_and(|at| context.now.reached(at)))
            .map(|facts| facts.record.id.clone())
            .collect();
        for id in &gone {
            self.remember_dropped(id, context);
            Arc::make_mut(&mut context.board.replicas).remove(id);
            context.log(format!("event=replica_gone replica={id} reason=off_the_list"));
        }
        let unlisted = context.board.replicas.values().filter(|facts| !facts.is_listed);
        self.next_stop_at = unlisted.filter_map(|facts| facts.stop_at).min();
        if !gone.is_empty() {
            context.publish();
        }
    }

    /// Records that a peer is ahead, and requests its list after a wait.
    fn record_peer_ahead(
        &mut self,
        peer: &VmName,
        position: StorePosition,
        wait_ms: u64,
        context: &mut ControlContext<'_>,
    ) {
        if position <= context.board.list_position || self.ahead.is_some() {
            return;
        }
        // A process without the list asks at once, and asks another peer only if no answer has come
        // meanwhile.
        let has_no_list = !context.board.list_position.is_known();
        let wait_ms = if has_no_list { 0 } else { wait_ms };
        self.ahead = Some(AheadPeer {
            name: peer.clone(),
            request_at: context.now.after_ms(wait_ms),
        });
        self.request_list(context);
    }

    /// Requests the list from a peer that is ahead, or from any neighbor while this node has none.
    fn request_list(&mut self, context: &mut ControlContext<'_>) {
        if !context.now.reached(self.next_request) {
            return;
        }
        let ahead = self.ahead.take_if(|ahead| context.now.reached(ahead.request_at));
        let is_speculative = ahead.is_none();
        let peer = match ahead {
            Some(ahead) => Some(ahead.name),
            None if !context.board.list_position.is_known()
                && context.now.reached(self.next_speculative_request) =>
            {
                self.next_neighbor(context)
            }
            None => None,
        };
        let Some(peer) = peer else {
            return;
        };
        // A peer without the list does not answer, which must not delay a request to one that has it.
        let next = if is_speculative {
            &mut self.next_speculative_request
        } else {
            &mut self.next_request
        };
        *next = context.now.after_ms(REQUEST_INTERVAL_MS);
        let position = context.board.list_position;
        context.send_to(&peer, PeerMessage::ReplicasWanted { position });
    }

    fn next_neighbor(&mut self, context: &ControlContext<'_>) -> Option<VmName> {
        let neighbors = &context.board.live_view(context.now).neighbors;
        self.neighbor_cursor += 1;
        let index = self.neighbor_cursor.checked_rem(neighbors.len())?;
        neighbors.get(index).cloned()
    }

    /// Sends a peer that is behind the changes it lacks, or the whole list if they are not kept.
    fn send_list_changes(&self, peer: &VmName, known: StorePosition, context: &mut ControlContext<'_>) {
        if context.board.list_position <= known {
            return;
        }
        if let Some(changes) = self.history.changes_after(known).filter(|_| known.is_known()) {
            let changes = without_unused(changes, context.board);
            context.send_to(peer, PeerMessage::ReplicasContent(changes));
            return;
        }
        let listed = context.board.replicas.values().filter(|facts| is_on_list(facts));
        let update = ReplicaUpdate {
            position: context.board.list_position,
            since: StorePosition::default(),
            is_whole: true,
            is_difference: false,
            present: listed.map(|facts| (*facts.record).clone()).collect(),
            removed: Vec::new(),
        };
        let update = without_unused(update, context.board);
        context.send_to(peer, PeerMessage::ReplicasContent(update));
    }
}

/// Removes cold times from an update for peers where the configuration doesn't enable pace.
fn without_unused(mut update: ReplicaUpdate, board: &Blackboard) -> ReplicaUpdate {
    if !board.register.register.paces_replicas() {
        update
            .present
            .iter_mut()
            .for_each(|record| record.cold_until = None);
    }
    update
}

/// Places the position of a peer that may read no eras: its revisions count as of the current era as long as this
/// process has seen no other.
fn place_peer_position(position: StorePosition, board: &Blackboard) -> StorePosition {
    if board.store_era.changed_at.is_some() {
        return position;
    }
    position.or_era(board.store_era.latest)
}

/// Whether the list has an entry of the replica.
fn is_on_list(facts: &ReplicaFacts) -> bool {
    facts.is_listed && !facts.trust.is_missing()
}

/// Logs the outcome of applying the first list of a new era.
fn log_copy(previous: StorePosition, context: &mut ControlContext<'_>) {
    let facts = || context.board.replicas.values();
    let missing = facts().filter(|facts| facts.trust.is_missing()).count();
    let outdated = facts().filter(|facts| facts.trust.is_outdated()).count();
    context.log(format!(
        "event=list_from_copy list_revision={} previous={previous} missing={missing} outdated={outdated}",
        context.board.list_position
    ));
}

/// Entries that are unknown, changed, or listed again. A reading of the whole list doesn't show whether an outdated
/// entry was written again; a change does.
fn find_changed(reading: &ReplicaUpdate, board: &Blackboard) -> Vec<ReplicaRecord> {
    let is_changed = |record: &&ReplicaRecord| {
        let known = board.replicas.get(&record.id);
        known.is_none_or(|facts| {
            let is_outdated = facts.trust.is_outdated();
            !facts.record.is_same_entry(record) || !is_on_list(facts) || (is_outdated && !reading.is_whole)
        })
    };
    reading.present.iter().filter(is_changed).cloned().collect()
}

/// Replicas that count as listed and are not on a newer whole list.
fn find_absent(full_list: &ReplicaUpdate, board: &Blackboard) -> Vec<ReplicaId> {
    let present: FastSet<&ReplicaId> = full_list.present.iter().map(|record| &record.id).collect();
    let listed = board.replicas.values().filter(|facts| facts.is_listed);
    let ids = listed.map(|facts| &facts.record.id);
    ids.filter(|id| !present.contains(id)).cloned().collect()
}

impl Controller for DiscoveryController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::Tick,
            EventKind::ReplicasRead,
            EventKind::ListReachable,
            EventKind::ReplicaReplaced,
            EventKind::ReplicaLeaving,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::Tick { .. } => {
                self.review_entries(context);
                self.drop_stopped(context);
                self.leaving.drop_expired(context.now);
                self.request_list(context);
            }
            Event::ReplicasRead {
                update,
                store_position,
            } => {
                context.board.store_position = context.board.store_position.max(*store_position);
                self.receive_reading(update, *store_position, context);
            }
            Event::ListReachable { is_reachable } => self.set_reachable(*is_reachable, context),
            Event::ReplicaReplaced { replica } => self.drop_replaced(replica, context),
            Event::ReplicaLeaving {
                replica,
                started_epoch_ms,
            } => self.handle_leaving(replica, *started_epoch_ms, "answer", context),
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::Heartbeat {
                    list_position,
                    store_age_ms,
                    ..
                } => {
                    let peer_read_at = Moment(context.now.0.saturating_sub(*store_age_ms));
                    context.board.store_read_at = context.board.store_read_at.max(peer_read_at);
                    let position = place_peer_position(*list_position, context.board);
                    self.record_peer_ahead(from, position, MAX_LAG_MS, context);
                }
                PeerMessage::ReplicasWanted { position } => {
                    let position = place_peer_position(*position, context.board);
                    self.send_list_changes(from, position, context);
                }
                PeerMessage::ReplicasContent(update) if update.position.era().is_known() => {
                    self.handle_peer_update(from, update, context);
                }
                PeerMessage::ReplicasContent(update) => {
                    let update = ReplicaUpdate {
                        position: place_peer_position(update.position, context.board),
                        since: place_peer_position(update.since, context.board),
                        ..update.clone()
                    };
                    self.handle_peer_update(from, &update, context);
                }
                PeerMessage::ReplicaLeaving {
                    replica,
                    started_epoch_ms,
                } => self.handle_leaving(replica, *started_epoch_ms, from, context),
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, board: &Blackboard, now: Moment) -> Option<Moment> {
        let has_no_list = !board.list_position.is_known();
        let request_at = self
            .ahead
            .as_ref()
            .map(|ahead| ahead.request_at.max(self.next_request));
        let next_request = if has_no_list {
            Some(now.after_ms(EMPTY_LIST_INTERVAL_MS))
        } else {
            request_at
        };
        let times = self.next_stop_at.into_iter().chain(self.next_review_at);
        times.chain(next_request).min()
    }
}
