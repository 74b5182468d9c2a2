//! Plays bursts of calls to a plain service on a model of its replicas, with and without shared admission
//! control, and compares what callers get. Nothing here uses a network or a clock.

mod ledger;
mod model;

use model::{Admission, LoadPlan, Loss, Report, play};

/// Runs of each comparison, with their own arrivals, delays and slow phases.
const SEEDS: [u64; 3] = [1, 2, 3];

fn sum(admission: Admission, plan: &LoadPlan) -> Report {
    let reports = SEEDS.iter().map(|seed| play(admission, plan, *seed));
    let total = reports.fold(Report::default(), Report::merge);
    println!("{admission:?} {plan:?}\n  {total}");
    total
}

/// Guards against arrivals that full replicas reject, and against requests that are answered late while others
/// overtake them, in bursts that the replicas could nearly serve.
#[test]
fn fewer_arrivals_are_rejected_and_more_calls_are_in_time_than_with_each_vms_own_choice() {
    for burst_per_s in [580, 900] {
        let plan = LoadPlan::burst(burst_per_s);
        let alone = sum(Admission::Alone, &plan);
        let owner = sum(Admission::Owner, &plan);
        assert!(owner.rejected * 10 <= alone.rejected, "{owner} against {alone}");
        assert!(owner.in_time > alone.in_time, "{owner} against {alone}");
        assert!(owner.late < alone.late, "{owner} against {alone}");
    }
}

/// Guards against a cost of asking that callers notice while there is nothing to decide.
#[test]
fn asking_adds_little_while_the_load_is_low() {
    let plan = LoadPlan::calm();
    let alone = sum(Admission::Alone, &plan);
    let owner = sum(Admission::Owner, &plan);
    assert_eq!(owner.refused + owner.failed, 0, "{owner}");
    assert!(owner.in_time >= alone.in_time, "{owner} against {alone}");
    assert!(owner.median_wait_us() <= 3_000, "{owner}");
}

/// Guards against calls that are lost with the owner that they wait at, whether it is killed or only silent.
#[test]
fn the_loss_of_the_owner_in_a_burst_costs_a_bounded_wait() {
    for loss in [Loss::Killed, Loss::Frozen] {
        let plan = LoadPlan::burst(580).with_loss(loss);
        let alone = sum(Admission::Alone, &plan);
        let owner = sum(Admission::Owner, &plan);
        assert!(owner.in_time > alone.in_time, "{owner} against {alone}");
        assert!(owner.failed <= alone.failed, "{owner} against {alone}");
        assert!(owner.rejected < alone.rejected, "{owner} against {alone}");
    }
}
