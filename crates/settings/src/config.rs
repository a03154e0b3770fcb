//! Conversion of the settings object to the configuration of the decisions.

use garnetcrank_policy::api::{
    Class, Config, Idempotency, KeyScope, ReplacementMode, Rollout, Tenant, VoteMode, ZoneId,
};

use crate::micros;
use crate::raw::{
    RawClass, RawIdempotency, RawKeyScope, RawRegistryMode, RawReplacementMode, RawRollout, RawSettings,
    RawVoteMode,
};

/// Value of `valueBy` where priority goes by work instead of by request.
const VALUE_BY_WORK: &str = "work";
/// Value of `countedBy` where exposure is counted for each class by itself.
const COUNTED_BY_CLASS: &str = "class";
/// Value of `weights` where ratings of endpoints compare nothing.
const NO_WEIGHTS: &str = "none";

/// The configuration of an instance in `zone`.
pub(crate) fn from_raw(raw: &RawSettings, zone: ZoneId) -> Config {
    Config {
        instance_count: raw.balancers.max(1),
        instance_index: raw.me,
        zone,
        classes: raw.grades.iter().map(class).collect(),
        tenants: raw
            .tenants
            .iter()
            .map(|tenant| Tenant { share: tenant.portion, quota_per_s: tenant.quota_rps })
            .collect(),
        priority_by_work: raw.value_by == VALUE_BY_WORK,
        over_quota_weight: raw.over_share_worth,
        poll_endpoints: raw.registry_mode == RawRegistryMode::OnRequest,
        poll_timeout: micros(raw.safety.ask_within),
        health_checks: raw.limits.probes,
        cancellation: raw.limits.cancel,
        hedging: raw.limits.parallel_tries,
        gossip: raw.limits.peer_messages,
        retry_after: raw.limits.retry_after.then(|| micros(raw.limits.max_retry_after)),
        max_attempts: raw.limits.max_attempts,
        resolution: micros(raw.resolution),
        drain_grace: micros(raw.safety.drain_grace),
        slow_start_initial: raw.safety.cold_from,
        slow_start_duration: micros(raw.safety.warm_after),
        overload_multiple: raw.safety.fall_multiple,
        overload_window: micros(raw.safety.fall),
        cross_zone_price: raw.prices.cross_zone,
        rated: raw.weights != NO_WEIGHTS,
        rollout: rollout(&raw.specifics),
    }
}

fn class(raw: &RawClass) -> Class {
    Class {
        name: raw.name.clone(),
        idempotency: idempotency(raw),
        latency_objective: micros(raw.goal_time),
        deadline: micros(raw.deadline),
        priority_weight: raw.credit,
        late_priority_weight: raw.late_share,
        streamed: raw.stream,
    }
}

fn idempotency(raw: &RawClass) -> Idempotency {
    match raw.effect {
        RawIdempotency::Repeatable => Idempotency::Idempotent,
        RawIdempotency::Once => Idempotency::NonIdempotent,
        RawIdempotency::ByKey => {
            Idempotency::Keyed { scope: key_scope(raw.dedup_scope), window: micros(raw.repeat_window) }
        }
    }
}

fn key_scope(raw: RawKeyScope) -> KeyScope {
    match raw {
        RawKeyScope::All => KeyScope::All,
        RawKeyScope::Zone => KeyScope::Zone,
        RawKeyScope::Cell => KeyScope::Cell,
    }
}

fn rollout(raw: &RawRollout) -> Rollout {
    Rollout {
        mode: match raw.vote_mode {
            RawVoteMode::Any => VoteMode::Any,
            RawVoteMode::Share => VoteMode::Share,
            RawVoteMode::Timer => VoteMode::Timer,
        },
        replacement: match raw.replace_mode {
            RawReplacementMode::Beside => ReplacementMode::SideBySide,
            RawReplacementMode::InPlace => ReplacementMode::InPlace,
        },
        stages: raw.steps.clone(),
        exposure_caps: raw.most_shares.clone(),
        exposure_window: micros(raw.exposure_window),
        exposure_allowance: raw.spare_tries,
        exposure_by_class: raw.counted_by == COUNTED_BY_CLASS,
        guarded_stages: raw.guarded_stages,
        forward_only_keys: raw.no_return,
        vote_ttl: micros(raw.ballot_ttl),
        vote_timeout: micros(raw.vote_wait),
        rollback_quorum: raw.back_votes,
        votes_per_s: raw.api_rate,
        stage_duration: micros(raw.moves_after),
        delay_price: raw.delay_price,
        harm_price: raw.damage_price,
    }
}
