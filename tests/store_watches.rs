//! When the watches of a fleet's VMs on the configuration time out, which tells them of missed changes.

use dotterelspan::controllers::readers::{longest_watch_ms, watch_wait_ms};
use dotterelspan::prelude::*;

/// Number of VMs that read the list of replicas for the others, any of which may be disturbed together.
const DISTURBED: usize = 6;

/// The longest time until the watch of an undisturbed VM times out, in milliseconds: the bound on a change, less
/// the time to read the list and to pass it on.
const NOTICED_WITHIN_MS: u64 = 1_500;

/// The number of watches a second that time out in the whole fleet, and the longest time between two of one VM in
/// milliseconds.
const MAX_TIMEOUTS_PER_SECOND: f64 = 6.5;
const MAX_PERIOD_MS: u64 = 25_000;

fn fleet(count: usize) -> Vec<VmRecord> {
    let vm = |number: usize| VmRecord {
        name: format!("vm-{number}").into(),
        zone: "a".into(),
        caller_address: "".into(),
        peer_address: "".into(),
        leaving: false,
        store_lost: false,
        millicores: 0,
        listed: true,
        incarnation: None,
        started_epoch_ms: 0,
        renewal: 0,
        suspected_until: None,
        last_message_at: None,
    };
    (1..=count).map(vm).collect()
}

/// The times at which the watches of each VM time out, from watches that begin at different times on.
fn timeouts(vms: &[VmRecord], until_ms: u64) -> Vec<Vec<u64>> {
    let of_vm = |(index, vm): (usize, &VmRecord)| {
        let mut now_ms = 1_796_490_000_000 + index as u64 * 7_919 % 1_500;
        let mut times = Vec::new();
        while now_ms < 1_796_490_000_000 + until_ms {
            let wait_ms = watch_wait_ms(vms, &vm.name, now_ms);
            assert!(wait_ms <= longest_watch_ms(vms.len()), "{wait_ms}");
            now_ms += wait_ms;
            times.push(now_ms);
            // The store answers a little late.
            now_ms += 5;
        }
        times
    };
    vms.iter().enumerate().map(of_vm).collect()
}

#[test]
fn some_watch_times_out_soon_whichever_vms_are_disturbed() {
    for count in [8, 12, 18, 21, 117, 330] {
        let vms = fleet(count);
        let times = timeouts(&vms, 4 * MAX_PERIOD_MS);
        let mut all: Vec<(u64, usize)> = times
            .iter()
            .enumerate()
            .flat_map(|(vm, times)| times.iter().map(move |time| (*time, vm)))
            .collect();
        all.sort_unstable();
        // The worst choice of disturbed VMs are those whose watches would have timed out next.
        let steady = all.len() / 4..all.len() - 4 * DISTURBED;
        let (first, last) = (all[steady.start].0, all[steady.end].0);
        let per_second = steady.len() as f64 * 1_000.0 / (last - first) as f64;
        for begin in steady {
            let began_at = all[begin].0;
            let mut disturbed = Vec::new();
            let noticed = all[begin + 1..].iter().find(|(_, vm)| {
                let is_new = !disturbed.contains(vm);
                if is_new && disturbed.len() < DISTURBED {
                    disturbed.push(*vm);
                    return false;
                }
                is_new
            });
            let noticed_ms = noticed.map_or(u64::MAX, |(time, _)| time - began_at);
            assert!(noticed_ms <= NOTICED_WITHIN_MS, "{count} VMs: {noticed_ms} ms");
        }
        let limit = MAX_TIMEOUTS_PER_SECOND.max(count as f64 * 1_100.0 / MAX_PERIOD_MS as f64);
        assert!(per_second <= limit, "{count} VMs: {per_second} a second");
    }
}
