//! Conversion of the settings object to the policy's configuration.

use garnetcrank_policy::api::{
    Class, Config, Idempotency, KeyScope, ReplacementMode, Rollout, Tenant, VoteMode, ZoneId,
};

use crate::micros_from_ms;
use crate::raw::{
    RawClass, RawDiscoveryMode, RawIdempotency, RawKeyScope, RawReplacementMode, RawRollout, RawSettings,
    RawVoteMode,
};

/// Value of `valueBy` that applies priority weights per unit of work instead of per request.
const VALUE_BY_WORK: &str = "work";
/// Value of `countedBy` that counts exposure separately for each class.
const COUNTED_BY_CLASS: &str = "class";
/// Value of `weights` for deployments in which endpoint ratings are not comparable.
const NO_WEIGHTS: &str = "none";

/// Builds the policy configuration of an instance in `zone`.
pub(crate) fn from_raw(raw: &RawSettings, zone: ZoneId) -> Config {
    Config {
        instance_count: raw.instance_count.max(1),
        instance_index: raw.instance_index,
        zone,
        classes: raw.classes.iter().map(class).collect(),
        tenants: raw
            .tenants
            .iter()
            .map(|tenant| Tenant { service_share: tenant.service_share, quota_per_s: tenant.quota_per_s })
            .collect(),
        priority_by_work: raw.priority_by == VALUE_BY_WORK,
        over_quota_weight: raw.over_quota_weight,
        poll_endpoints: raw.discovery_mode == RawDiscoveryMode::Polled,
        poll_timeout: micros_from_ms(raw.safety.poll_timeout),
        health_checks: raw.limits.health_checks,
        cancellation: raw.limits.cancellation,
        hedging: raw.limits.hedging,
        gossip: raw.limits.gossip,
        retry_after: raw.limits.retry_after.then(|| micros_from_ms(raw.limits.max_retry_after)),
        max_attempts: raw.limits.max_attempts,
        resolution: micros_from_ms(raw.resolution),
        drain_grace: micros_from_ms(raw.safety.drain_grace),
        slow_start_initial: raw.safety.slow_start_initial,
        slow_start_duration: micros_from_ms(raw.safety.slow_start_duration),
        overload_multiple: raw.safety.overload_multiple,
        overload_window: micros_from_ms(raw.safety.overload_window),
        cross_zone_price: raw.prices.cross_zone,
        ratings_compare_sizes: raw.weights != NO_WEIGHTS,
        rollout: rollout(&raw.rollout),
    }
}

fn class(raw: &RawClass) -> Class {
    Class {
        name: raw.name.clone(),
        idempotency: idempotency(raw),
        latency_objective: micros_from_ms(raw.latency_objective),
        deadline: micros_from_ms(raw.deadline),
        priority_weight: raw.priority_weight,
        late_response_value: raw.late_response_value,
        streamed: raw.streamed,
    }
}

fn idempotency(raw: &RawClass) -> Idempotency {
    match raw.idempotency {
        RawIdempotency::Idempotent => Idempotency::Idempotent,
        RawIdempotency::NonIdempotent => Idempotency::NonIdempotent,
        RawIdempotency::Keyed => {
            Idempotency::Keyed { scope: key_scope(raw.key_scope), window: micros_from_ms(raw.key_window) }
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
            RawVoteMode::InstanceCount => VoteMode::InstanceCount,
            RawVoteMode::Timer => VoteMode::Timer,
        },
        replacement: match raw.replacement {
            RawReplacementMode::SideBySide => ReplacementMode::SideBySide,
            RawReplacementMode::InPlace => ReplacementMode::InPlace,
        },
        stages: raw.stages.clone(),
        exposure_caps: raw.exposure_caps.clone(),
        exposure_window: micros_from_ms(raw.exposure_window),
        exposure_allowance: raw.exposure_allowance,
        exposure_by_class: raw.counted_by == COUNTED_BY_CLASS,
        guarded_stages: raw.guarded_stages,
        forward_only_keys: raw.forward_only_keys,
        vote_ttl: micros_from_ms(raw.vote_ttl),
        vote_timeout: micros_from_ms(raw.vote_timeout),
        rollback_quorum: raw.rollback_quorum,
        votes_per_s: raw.votes_per_s,
        stage_duration: micros_from_ms(raw.stage_duration),
        delay_price: raw.delay_price,
        harm_price: raw.harm_price,
    }
}
