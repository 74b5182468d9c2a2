//! How much of a shared limit an owner may grant while it may not be the only owner.
//!
//! For a while there may be several owners: one was partitioned or suspended, or has just taken over from one
//! that other VMs still consider alive.

use crate::prelude::*;

/// The time after a takeover within which VMs may not have detected yet which others are unreachable, in
/// milliseconds.
const DETECTION_MS: u64 = 2_500;

/// The time after a takeover within which permits of the previous owner may still be used, in milliseconds.
const TAKEOVER_MS: u64 = 4_000;

/// How long a handover by the previous owner is valid, in milliseconds: this VM must become the owner within
/// this time.
const HANDOVER_MS: u64 = 3_000;

/// The fraction of a limit that a fallback owner grants: by its own view another VM is the owner, but the
/// requesting VM can't reach that one. There may be several fallback owners.
const FALLBACK_FRACTION: (u64, u64) = (1, 8);

/// The fraction that an owner grants in the first [`DETECTION_MS`] after a takeover, when it may not have
/// detected yet that others took over too.
const UNDETECTED_FRACTION: (u64, u64) = (1, 4);

/// The fraction that an owner grants once it has detected which VMs are unreachable, until the end of the
/// takeover.
const DETECTED_FRACTION: (u64, u64) = (1, 2);

/// How long after it became known a limit counts as new, in milliseconds. No owner can have granted much of
/// a new limit, so that a takeover doesn't reduce it.
const NEW_LIMIT_MS: u64 = 1_000;

/// The longest usual time between two ownership checks, in milliseconds. After a longer gap the process may
/// have been suspended, and another VM may have taken over meanwhile.
const SUSPENSION_MS: u64 = 1_500;

/// This VM's view of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// Whether this VM is the owner by its own view of the cluster.
    pub is_owner: bool,
    /// How often this VM has refuted a suspicion of itself; an increase means that others considered it dead.
    pub renewal: u32,
    /// The number of VMs that it considers alive, including itself; zero at startup until it has contacted
    /// others.
    pub live_count: usize,
    /// The number of VMs that may be running, including unreachable ones.
    pub member_count: usize,
}

/// What an owner grants that reaches a majority of the VMs that may be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MajorityPart {
    /// All of the limit; the unreachable VMs grant at most half of it besides.
    Whole,
    /// The reached part of the VMs and this many percent of the limit on top, so that all owners together
    /// exceed the limit by no more than that.
    Extended {
        /// Part of the limit granted beyond the part of the VMs that are reached, in percent.
        percent: u64,
    },
}

/// What an update of the view changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenureChange {
    /// This VM has just lost the ownership.
    pub is_lost: bool,
    /// This VM has just begun to grant, become the owner, or may have lost the ownership without detecting it.
    pub is_taken_over: bool,
}

/// The time for which this VM has been an owner, and what it knows of other owners.
#[derive(Debug, Default)]
pub struct OwnerTenure {
    view: Option<OwnerView>,
    checked_at: Moment,
    /// When this VM last began to grant, became the owner, or may have lost ownership without detecting it.
    took_over_at: Moment,
    /// When the previous owner last announced that it has stopped granting.
    handed_over_at: Option<Moment>,
}

impl OwnerTenure {
    /// Updates the view of the ownership.
    pub fn update_view(&mut self, view: OwnerView, now: Moment) -> TenureChange {
        let was_owner = self.view.is_some_and(|known| known.is_owner);
        let is_continuous = self.view.is_some_and(|known| {
            known.renewal == view.renewal
                && known.is_owner >= view.is_owner
                && !now.reached(self.checked_at.after_ms(SUSPENSION_MS))
        });
        if !is_continuous {
            self.took_over_at = now;
        }
        self.view = Some(view);
        self.checked_at = now;
        let is_lost = was_owner && !view.is_owner;
        if is_lost {
            self.handed_over_at = None;
        }
        TenureChange {
            is_lost,
            is_taken_over: !is_continuous,
        }
    }

    /// Records that the previous owner has stopped granting. The message may arrive before this VM sees itself
    /// as the owner.
    pub fn record_handover(&mut self, now: Moment) {
        self.handed_over_at = Some(now);
    }

    /// When this VM last began to grant, became the owner, or may have lost ownership without detecting it.
    pub fn took_over_at(&self) -> Moment {
        self.took_over_at
    }

    /// Whether this VM is the owner by its latest view.
    pub fn is_owner(&self) -> bool {
        self.view.is_some_and(|view| view.is_owner)
    }

    /// Whether the previous owner has stopped granting for this tenure.
    pub fn is_handed_over(&self) -> bool {
        let valid_until = self.handed_over_at.map(|at| at.after_ms(HANDOVER_MS));
        valid_until.is_some_and(|until| until >= self.took_over_at)
    }

    /// Whether this VM has been the owner for so long that no earlier owner grants any more.
    pub fn is_settled(&self, now: Moment) -> bool {
        self.is_owner() && now.reached(self.took_over_at.after_ms(TAKEOVER_MS))
    }

    /// Whether a limit that became known at this time was new when this VM took over.
    pub fn covers_new(&self, known_since: Moment) -> bool {
        known_since.after_ms(NEW_LIMIT_MS) >= self.took_over_at
    }

    /// The fraction of a limit that this VM may grant now. A new limit is granted in full right after a
    /// takeover.
    pub fn fraction(&self, majority: MajorityPart, is_new: bool, now: Moment) -> (u64, u64) {
        let Some(view) = self.view else {
            return FALLBACK_FRACTION;
        };
        if view.live_count == 0 {
            return (0, 1);
        }
        let base_fraction = match self.took_over_at.until_ms(now) {
            _ if !view.is_owner => FALLBACK_FRACTION,
            _ if is_new || self.is_handed_over() => (1, 1),
            ..DETECTION_MS => UNDETECTED_FRACTION,
            DETECTION_MS..TAKEOVER_MS => DETECTED_FRACTION,
            _ => (1, 1),
        };
        // Unless a majority of the VMs is reachable, other owners may grant the rest of the limit.
        let (live_count, member_count) = (view.live_count as u64, view.member_count.max(1) as u64);
        let live_fraction = match majority {
            _ if live_count * 2 <= member_count => (live_count, member_count),
            MajorityPart::Whole => return base_fraction,
            MajorityPart::Extended { percent } => {
                (live_count * 100 + percent * member_count, member_count * 100)
            }
        };
        if base_fraction.0 * live_fraction.1 < live_fraction.0 * base_fraction.1 {
            base_fraction
        } else {
            live_fraction
        }
    }
}
