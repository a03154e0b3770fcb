//! Validation beyond deserialization: ranges of values, and values that must agree with each other.

use crate::error::SettingsError;
use crate::raw::{RawClass, RawLimits, RawRollout, RawSettings};

/// Validates a settings object.
///
/// # Errors
/// The first invalid value found.
pub(crate) fn validate(raw: &RawSettings) -> Result<(), SettingsError> {
    if raw.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    validate_stages(&raw.rollout)?;
    if raw.limits.max_attempts == 0 {
        return Err(SettingsError::NoAttempts);
    }
    for index in 0..raw.classes.len() {
        validate_class(&raw.classes, index)?;
    }
    validate_connection_times(&raw.limits)
}

fn validate_stages(rollout: &RawRollout) -> Result<(), SettingsError> {
    let stages = rollout.stages.len();
    let caps = rollout.exposure_caps.len();
    if stages != caps || stages == 0 {
        return Err(SettingsError::StageCount { stages, caps });
    }
    Ok(())
}

fn validate_class(classes: &[RawClass], index: usize) -> Result<(), SettingsError> {
    let class = &classes[index];
    if classes[..index].iter().any(|earlier| earlier.name == class.name) {
        return Err(SettingsError::DuplicateClass { index, name: class.name.clone() });
    }
    // Negating the comparison rejects NaN as well.
    let times_are_positive = class.deadline > 0.0 && class.latency_objective > 0.0;
    if !times_are_positive {
        return Err(SettingsError::ClassTimes {
            index,
            latency_objective: class.latency_objective,
            deadline: class.deadline,
        });
    }
    Ok(())
}

fn validate_connection_times(limits: &RawLimits) -> Result<(), SettingsError> {
    if limits.connect_timeout <= 0.0 || limits.idle_timeout <= 0.0 {
        return Err(SettingsError::ConnectionTimes {
            connect_timeout: limits.connect_timeout,
            idle_timeout: limits.idle_timeout,
        });
    }
    Ok(())
}
