//! Runs under faults drawn from a seed. `SEEDED_FAULTS_SEEDS=FIRST..LAST` runs other seeds than the usual ones.

use std::ops::Range;

use garnetcrank_test_support::fault_run::run_seed;

const USUAL_SEEDS: Range<u64> = 1..6;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SEEDED_FAULTS_SEEDS") else { return USUAL_SEEDS };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a number")..last.parse().expect("a number")
}

#[test]
fn no_rule_is_broken_while_clients_leave_and_endpoints_fail() {
    for seed in seeds() {
        let seen = run_seed(seed);
        println!("seed {seed}: {} served", seen.served);
        assert!(seen.violations.is_empty(), "seed {seed}: {:#?}", seen.violations);
        assert!(seen.served > 50, "seed {seed}: {} served", seen.served);
    }
}
