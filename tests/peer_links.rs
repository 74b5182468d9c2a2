//! The introduction that a node sends on a new link.

use std::time::{Duration, Instant};

use dotterelspan::blackboard::OwnIdentity;
use dotterelspan::controllers::discovery::DiscoveryController;
use dotterelspan::controllers::{ControlCore, Controller};
use dotterelspan::peers::PeerHub;
use dotterelspan::prelude::*;
use dotterelspan::runtime::ControlHandle;
use dotterelspan::settings::SharedKey;

/// Timeout for the control thread to handle one event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_node_that_lost_the_store_says_so_on_a_new_link() {
    let own = OwnIdentity {
        name: "vm-0".into(),
        zone: "a".into(),
        caller_address: "c".into(),
        peer_address: "p".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 1_000,
    };
    let controllers: Vec<Box<dyn Controller>> = vec![Box::new(DiscoveryController::default())];
    let core = ControlCore::new(Blackboard::new(own), controllers);
    let control = ControlHandle::start(core, |_| {}).expect("the control thread starts");
    let hub = PeerHub::new(SharedKey::for_closed_network(), control.clone());
    assert!(!hub.introduction().store_lost);

    control.send_event(Event::ListReachable { is_reachable: false });
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while control.snapshot().list_lost_at.is_none() {
        assert!(Instant::now() < deadline, "the event was not handled in time");
        std::thread::sleep(Duration::from_millis(5));
    }
    let introduction = hub.introduction();
    assert!(introduction.store_lost);
    assert_eq!(
        introduction.renewal, 1,
        "a higher renewal makes other nodes accept the change"
    );
}
