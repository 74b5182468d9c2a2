//! Compares rules that decide which feature of requests crashes replicas, on one set of drawn days: replicas
//! that harmful requests crash, and harmless requests that are refused. `--nocapture` prints the table.

mod day;
mod rules;

use day::DrawnDay;
use rules::{BlameRule, CountInRow, GroupTest, LikelihoodRatio, ProductRule};

/// Number of days of each kind.
const DAYS: u64 = 12;

/// The most replicas that harmful requests may crash on a day on which one in ten requests is harmful.
const MAX_CRASHES: usize = 9;

type NewRule = fn() -> Box<dyn BlameRule>;

type NewDay = fn(u64) -> DrawnDay;

const RULES: [(&str, NewRule); 4] = [
    ("count in a row", || Box::new(CountInRow::default())),
    ("likelihood ratio", || Box::new(LikelihoodRatio::default())),
    ("group test", || Box::new(GroupTest::default())),
    ("passes and companions", || Box::new(ProductRule::new())),
];

/// Plays all days of one kind under a rule; returns the most crashes by harmful requests on a day and the sum of
/// refused harmless requests.
fn play_kind(make_day: NewDay, new_rule: NewRule) -> (usize, usize) {
    let outcomes = (0..DAYS).map(|seed| make_day(seed).play(&mut *new_rule()));
    outcomes.fold((0, 0), |(crashes, refused), outcome| {
        (
            crashes.max(outcome.harmful_crashes),
            refused + outcome.harmless_refused,
        )
    })
}

#[test]
fn the_rule_in_use_holds_harmful_parts_and_no_common_ones() {
    let kinds: [(&str, NewDay); 5] = [
        ("one in ten harmful", DrawnDay::one_in_ten),
        ("three in ten harmful", DrawnDay::three_in_ten),
        ("two harmful parts", DrawnDay::two_parts),
        ("replicas crash by themselves", DrawnDay::own_crashes),
        ("racks lose power", DrawnDay::rack_losses),
    ];
    let mut table =
        String::from("rule, day: most crashes by harmful requests, harmless requests refused in all\n");
    for (rule_name, new_rule) in RULES {
        for (day_name, make_day) in kinds {
            let (crashes, refused) = play_kind(make_day, new_rule);
            table.push_str(&format!("{rule_name}, {day_name}: {crashes}, {refused}\n"));
        }
    }
    println!("{table}");
    let product = RULES[3].1;
    for make_day in [DrawnDay::one_in_ten, DrawnDay::two_parts] {
        let (crashes, _) = play_kind(make_day, product);
        assert!(crashes <= MAX_CRASHES, "{table}");
    }
    for make_day in [DrawnDay::own_crashes, DrawnDay::rack_losses] {
        let (_, refused) = play_kind(make_day, product);
        assert_eq!(refused, 0, "{table}");
    }
}
