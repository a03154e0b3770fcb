//! Runs under faults drawn from a seed. `SEEDED_FAULTS_SEEDS=FIRST..LAST` runs other seeds than the usual ones.

use std::ops::Range;

use garnetcrank_test_support::fault_run::run_seed;

use crate::common::seeds;

const USUAL_SEEDS: Range<u64> = 1..6;

#[test]
fn no_rule_is_broken_while_clients_leave_and_endpoints_fail() {
    for seed in seeds("SEEDED_FAULTS_SEEDS", USUAL_SEEDS) {
        let seen = run_seed(seed);
        println!("seed {seed}: {} served", seen.served);
        assert!(seen.violations.is_empty(), "seed {seed}: {:#?}", seen.violations);
        assert!(seen.served > 50, "seed {seed}: {} served", seen.served);
    }
}
