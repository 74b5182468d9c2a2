//! Follows the store's eras, by this node's own readings and by peers. An era ends when the store comes back
//! from an older copy.

use super::message::PeerMessage;
use crate::prelude::*;

/// How long the operator and the replicas may take to write again what the copy lacks, in milliseconds: about
/// two seconds, and the time in which the change spreads.
pub const REWRITE_MS: u64 = 2_500;

/// Keeps the latest era on the board and tells the neighbors of a new one.
#[derive(Debug, Default)]
pub struct EraController;

impl EraController {
    fn learn(&self, era: StoreEra, source: &str, context: &mut ControlContext<'_>) {
        let facts = &mut context.board.store_era;
        if era <= facts.latest {
            return;
        }
        let previous = std::mem::replace(&mut facts.latest, era);
        if previous.is_known() {
            facts.changed_at = Some(context.now);
            context.log(format!(
                "event=store_era_changed era={era} previous={previous} source={source} list_revision={} \
                 store_revision={}",
                context.board.list_position, context.board.store_position
            ));
            context.send_to_neighbors(&context.heartbeat(false));
        }
        context.publish();
    }

    /// Notes a peer of an older version, which reads no eras.
    fn note_peer_era(&self, era: StoreEra, context: &mut ControlContext<'_>) {
        if !era.is_known() && context.board.store_era.changed_at.is_some() {
            context.board.store_era.eraless_peer_at = Some(context.now);
        }
    }
}

impl Controller for EraController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[
            EventKind::RegisterRead,
            EventKind::ReplicasRead,
            EventKind::PeerMessage,
        ]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::RegisterRead(reading) => {
                self.learn(reading.store_position.era(), "configuration", context)
            }
            Event::ReplicasRead { store_position, .. } => self.learn(store_position.era(), "list", context),
            Event::PeerMessage { from, message, .. } => match message {
                PeerMessage::Heartbeat { store_era, .. } => {
                    self.learn(*store_era, from, context);
                    self.note_peer_era(*store_era, context);
                }
                PeerMessage::ReplicasContent(update) => self.learn(update.position.era(), from, context),
                _ => {}
            },
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        None
    }
}
