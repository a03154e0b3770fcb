//! Errors of an invalid settings object.

/// Reason why a settings object is invalid. Messages name the key by its path from the top of the object.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Error at the top level of the object, such as a missing key.
    #[error("{0}")]
    Object(serde_json::Error),
    /// Key with an invalid value, or an object that lacks a key.
    #[error("{path}: {source}")]
    Key {
        /// Path of the key or object, such as `limits.maxAttempts`.
        path: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Settings without a class.
    #[error("grades must list at least one class, got none")]
    NoClasses,
    /// Class with the name of an earlier class.
    #[error("grades[{index}].name must be unique, got {name:?} a second time")]
    DuplicateClass {
        /// Position of the later class.
        index: usize,
        /// Class name.
        name: String,
    },
    /// Class with a time that is not positive.
    #[error(
        "grades[{index}]: goalTime and deadline must be greater than 0 ms, got {latency_objective} and {deadline}"
    )]
    ClassTimes {
        /// Position of the class.
        index: usize,
        /// Latency objective, in milliseconds.
        latency_objective: f64,
        /// Deadline, in milliseconds.
        deadline: f64,
    },
    /// Rollout without stages, or with a different number of exposure caps.
    #[error(
        "specifics.steps and specifics.mostShares must have the same length of at least 1, got {stages} and {caps}"
    )]
    StageCount {
        /// Number of stages.
        stages: usize,
        /// Number of exposure caps.
        caps: usize,
    },
    /// Attempt limit that allows no attempt.
    #[error("limits.maxAttempts must be at least 1, got 0")]
    NoAttempts,
    /// Connection timeout that is not positive.
    #[error(
        "limits.connectTimeout and limits.connIdle must be greater than 0 ms, got {connect_timeout} and {idle_timeout}"
    )]
    ConnectionTimes {
        /// Connect timeout, in milliseconds.
        connect_timeout: f64,
        /// Idle timeout, in milliseconds.
        idle_timeout: f64,
    },
}

impl From<serde_path_to_error::Error<serde_json::Error>> for SettingsError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = error.path().to_string();
        let source = error.into_inner();
        if path == "." { SettingsError::Object(source) } else { SettingsError::Key { path, source } }
    }
}
