//! Notices: the value that each member last published on a topic, which is its current view and not a
//! decision.

use serde::{Deserialize, Serialize};

use super::command::Reply;
use super::{MAX_VALUE_BYTES, ReplicatedState};
use crate::ids::{Index, InstanceId};

/// Maximum number of topics with at least one notice.
pub const MAX_TOPICS: usize = 64;
/// Maximum length of a topic's name, in bytes.
const MAX_TOPIC_BYTES: usize = 64;

/// The value that a member has published on a topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The published value.
    pub value: Vec<u8>,
    /// Log index at which it was last published.
    #[serde(rename = "posted")]
    pub published_at: Index,
}

impl ReplicatedState {
    /// Returns the members' notices on a topic, in order of the members' ids.
    pub fn notices(&self, topic: &str) -> impl Iterator<Item = (InstanceId, &Notice)> {
        self.notices.get(topic).into_iter().flatten().map(|(id, notice)| (*id, notice))
    }

    pub(super) fn publish_notice(
        &mut self,
        index: Index,
        from: InstanceId,
        topic: &str,
        value: Option<&[u8]>,
    ) -> Result<Reply, Reply> {
        self.require_member(from)?;
        let value_too_long = value.is_some_and(|value| value.len() > MAX_VALUE_BYTES);
        if value_too_long || topic.len() > MAX_TOPIC_BYTES {
            return Err(Reply::Rejected(format!(
                "a notice has {MAX_VALUE_BYTES} bytes at the most, a board's name {MAX_TOPIC_BYTES}"
            )));
        }
        if !self.notices.contains_key(topic) && self.notices.len() >= MAX_TOPICS {
            return Err(Reply::CapacityExceeded);
        }
        let notices = self.notices.entry(topic.to_owned()).or_default();
        match value {
            Some(value) => {
                notices.insert(from, Notice { value: value.to_vec(), published_at: index });
            }
            None => {
                notices.remove(&from);
            }
        }
        if notices.is_empty() {
            self.notices.remove(topic);
        }
        Ok(Reply::Done)
    }
}
