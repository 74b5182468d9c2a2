//! Features of requests that are suspected of crashing upstreams, as traffic and placement see them.

use std::cmp::Reverse;
use std::sync::Arc;

use super::{FeatureSet, RequestFeature};
use crate::prelude::*;

/// The suspicion that requests with a feature crash the upstreams that run them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of consecutive runs during which an upstream crashed.
    pub crash_count: u32,
    /// When the feature's quarantine ends, before which no request with it is run; in the past if there is
    /// none.
    pub quarantined_until: Moment,
    /// Until when requests with the feature run without restriction, since this VM completed such requests
    /// shortly before the crash; in the past if there is no such time.
    pub tolerated_until: Moment,
    /// Runs that passed since the latest crash, as far as this VM knows.
    pub passes: u32,
    /// Other features that all crashed runs had, any of which may be the cause instead.
    pub companions: Arc<[RequestFeature]>,
    /// The other parts that each crashed run had, any of which may be the cause of that crash instead. Empty for
    /// contents, and once further crashes speak against a different cause of each.
    pub other_parts: Arc<[Arc<[RequestFeature]>]>,
}

impl Suspicion {
    /// Whether requests with the feature must not be run now.
    pub fn is_quarantined(&self, now: Moment) -> bool {
        !now.reached(self.quarantined_until)
    }
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRestriction {
    /// It may be run like any other.
    Unrestricted,
    /// It may be run as a trial of a suspected feature, one at a time in the whole fleet.
    Trial(TrialScope),
    /// It must not be run.
    Quarantined {
        /// The quarantined feature.
        feature: RequestFeature,
        /// When the quarantine ends.
        until: Moment,
    },
}

/// What a trial run is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialScope {
    /// The suspected feature.
    pub feature: RequestFeature,
    /// Whether the run is of use although the feature is quarantined: the request lacks another feature that
    /// all crashed runs had, so it shows which of the two is the cause.
    pub tells_apart: bool,
}

/// The suspected features.
#[derive(Clone, Debug, Default)]
pub struct SuspicionMap {
    suspicions: FastMap<RequestFeature, Suspicion>,
}

impl SuspicionMap {
    /// The suspicion against a feature; `None` if no upstream crashed while running a request with it, or if
    /// it was cleared.
    pub fn get(&self, feature: RequestFeature) -> Option<&Suspicion> {
        self.suspicions.get(&feature)
    }

    /// Sets or removes the suspicion against a feature.
    pub fn set(&mut self, feature: RequestFeature, suspicion: Option<Suspicion>) {
        match suspicion {
            Some(suspicion) => self.suspicions.insert(feature, suspicion),
            None => self.suspicions.remove(&feature),
        };
    }

    /// Number of suspected features.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether no feature is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// All suspicions, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestFeature, &Suspicion)> {
        self.suspicions
            .iter()
            .map(|(feature, suspicion)| (*feature, suspicion))
    }

    /// Whether a request has a suspected feature that is not tolerated.
    pub fn is_suspect(&self, features: &FeatureSet, now: Moment) -> bool {
        self.restriction(features, now) != RunRestriction::Unrestricted
    }

    /// How a request with these features may be run.
    pub fn restriction(&self, features: &FeatureSet, now: Moment) -> RunRestriction {
        if self.is_empty() {
            return RunRestriction::Unrestricted;
        }
        let mut quarantined: Option<(Moment, RequestFeature)> = None;
        let mut trial: Option<(u32, Reverse<RequestFeature>, bool)> = None;
        for feature in features.as_slice() {
            let Some(suspicion) = self.get(*feature) else {
                continue;
            };
            let is_quarantined = suspicion.is_quarantined(now);
            if is_quarantined && !self.has_other_cause(suspicion, features) {
                quarantined = quarantined.max(Some((suspicion.quarantined_until, *feature)));
            } else if is_quarantined || now.reached(suspicion.tolerated_until) {
                // All VMs choose the same feature, so that requests with the same suspected features run one
                // at a time.
                let candidate = (suspicion.crash_count, Reverse(*feature), is_quarantined);
                trial = trial.max(Some(candidate));
            }
        }
        match (quarantined, trial) {
            (Some((until, feature)), _) => RunRestriction::Quarantined { feature, until },
            (None, Some((_, Reverse(feature), tells_apart))) => {
                RunRestriction::Trial(TrialScope { feature, tells_apart })
            }
            (None, None) => RunRestriction::Unrestricted,
        }
    }

    /// Whether all crashes of a suspicion may be due to features that these do not include: one of all crashes, or
    /// one of each.
    fn has_other_cause(&self, suspicion: &Suspicion, features: &FeatureSet) -> bool {
        let may_be_cause = |other: &RequestFeature| !features.contains(*other) && self.get(*other).is_some();
        let mut each_crash = suspicion.other_parts.iter();
        suspicion.companions.iter().any(may_be_cause)
            || !suspicion.other_parts.is_empty() && each_crash.all(|parts| parts.iter().any(may_be_cause))
    }
}
