//! Why a settings object is rejected.

/// An invalid settings object. Each message names the key, as a path from the top of the object.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The object as a whole is not what was expected, such as a missing top-level key.
    #[error("{0}")]
    Object(serde_json::Error),
    /// A key is missing below `path`, or its value has the wrong type or range.
    #[error("{path}: {source}")]
    Key {
        /// Path of the key, such as `limits.maxAttempts`.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// No class of requests is given.
    #[error("grades is empty: at least one class is required")]
    NoClasses,
    /// Two classes share a name.
    #[error("grades[{index}].name: {name:?} is used by an earlier class")]
    DuplicateClass {
        /// Position of the second one.
        index: usize,
        /// The name.
        name: String,
    },
    /// A class has a time that is not positive.
    #[error("grades[{index}]: goalTime and deadline must be over 0 ms, got {goal_time} and {deadline}")]
    ClassTimes {
        /// Position of the class.
        index: usize,
        /// Its latency objective, in milliseconds.
        goal_time: f64,
        /// Its deadline, in milliseconds.
        deadline: f64,
    },
    /// The rollout's stages and their exposure caps do not fit together.
    #[error(
        "specifics.steps and specifics.mostShares must have one common length of at least 1, got {stages} and {caps}"
    )]
    StageCount {
        /// Number of stages.
        stages: usize,
        /// Number of exposure caps.
        caps: usize,
    },
    /// No attempt is allowed.
    #[error("limits.maxAttempts must be at least 1, got 0")]
    NoAttempts,
    /// A connection timeout is not positive.
    #[error(
        "limits.connectTimeout and limits.connIdle must be over 0 ms, got {connect_timeout} and {conn_idle}"
    )]
    ConnectionTimes {
        /// Connect timeout, in milliseconds.
        connect_timeout: f64,
        /// Idle timeout, in milliseconds.
        conn_idle: f64,
    },
}

impl From<serde_path_to_error::Error<serde_json::Error>> for SettingsError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = error.path().to_string();
        let source = error.into_inner();
        if path == "." { SettingsError::Object(source) } else { SettingsError::Key { path, source } }
    }
}
