//! `garnetcrank ledger inspect`: prints the content of a store without changing any stored value.

use std::path::Path;

use garnetcrank_consensus::replicated_state::Proposal;
use garnetcrank_store::{
    HardState, LogEntry, OwnerIdentity, PersistedState, ScrubReport, Store, StoreError, Usage,
};
use serde_json::{Value, json};

use crate::command_text::command_text;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// Value of [`LogEntry::kind`] for an entry with a proposal. All other kinds are membership changes.
const KIND_NORMAL: u8 = 0;

/// Optional parts of the output.
#[derive(Debug, Clone, Copy)]
pub(super) struct InspectOptions {
    /// Whether the log entries are printed.
    pub(super) entries: bool,
    /// Whether every value is checked for corruption.
    pub(super) scrub: bool,
}

/// Snapshot without its data.
struct SnapshotSummary {
    index: u64,
    term: u64,
    bytes: usize,
}

/// Content of a store, ready to be printed.
struct Inspection {
    identity: OwnerIdentity,
    start_count: u64,
    usage: Usage,
    hard_state: Option<HardState>,
    snapshot: Option<SnapshotSummary>,
    scrub: Option<ScrubReport>,
    /// Index, term and text of each entry.
    entries: Vec<[String; 3]>,
}

/// Prints the content of a store.
///
/// # Errors
/// The store can't be read, or the scrub found corrupt values, which are printed first.
pub(super) fn inspect(path: &Path, options: InspectOptions, format: OutputFormat) -> Result<(), CliError> {
    let inspection = Inspection::of(&Store::inspect(path)?, options)?;
    output::print(format, &inspection.json(), || inspection.text())?;
    match inspection.corrupt_texts().len() {
        0 => Ok(()),
        count => Err(CliError::CorruptValues { count }),
    }
}

impl Inspection {
    fn of(store: &Store, options: InspectOptions) -> Result<Self, StoreError> {
        let usage = store.usage()?;
        let scrub = if options.scrub { Some(store.scrub()?) } else { None };
        let persisted = load(store, scrub.as_ref())?;
        let mut entries = Vec::new();
        let mut snapshot = None;
        let mut hard_state = None;
        if let Some(persisted) = persisted {
            hard_state = Some(persisted.hard_state);
            snapshot = persisted.snapshot.map(|snapshot| SnapshotSummary {
                index: snapshot.index,
                term: snapshot.term,
                bytes: snapshot.data.len(),
            });
            if options.entries {
                entries = persisted.entries.iter().map(entry_row).collect();
            }
        }
        let identity = store.identity().clone();
        Ok(Self { identity, start_count: store.start_count(), usage, hard_state, snapshot, scrub, entries })
    }

    /// Describes each corrupt value that the scrub found.
    fn corrupt_texts(&self) -> Vec<String> {
        match &self.scrub {
            Some(scrub) => scrub.corrupt.iter().map(ToString::to_string).collect(),
            None => Vec::new(),
        }
    }

    fn json(&self) -> Value {
        let snapshot = self
            .snapshot
            .as_ref()
            .map(|snapshot| json!({"index": snapshot.index, "term": snapshot.term, "bytes": snapshot.bytes}));
        json!({
            "name": self.identity.name,
            "id": format!("{:016x}", self.identity.id),
            "cluster": self.identity.cluster,
            "starts": self.start_count,
            "usage": self.usage,
            "hard": self.hard_state,
            "sound": self.scrub.as_ref().map(|scrub| scrub.valid_count),
            "snapshot": snapshot,
            "corrupt": self.corrupt_texts(),
            "entries": self.entries,
        })
    }

    fn text(&self) -> String {
        let OwnerIdentity { name, id, cluster } = &self.identity;
        let mut lines =
            vec![format!("{name} ({id:016x}) of cluster {cluster}, opened {} times", self.start_count)];
        if let Some(hard) = self.hard_state {
            lines.push(format!(
                "  term {}, vote {:016x}, committed up to {}",
                hard.term, hard.vote, hard.commit
            ));
        }
        if let Some(SnapshotSummary { index, term, bytes }) = &self.snapshot {
            lines.push(format!("  snapshot up to {index} of term {term}, {bytes} bytes"));
        }
        lines.push(self.usage_text());
        if let Some(scrub) = &self.scrub {
            lines.push(format!("  {} values are intact, {} corrupt", scrub.valid_count, scrub.corrupt.len()));
        }
        for corrupt in self.corrupt_texts() {
            lines.push(format!("  corrupt: {corrupt}"));
        }
        if !self.entries.is_empty() {
            lines.push(output::table(["INDEX", "TERM", "ENTRY"], self.entries.clone()));
        }
        lines.join("\n")
    }

    fn usage_text(&self) -> String {
        let Usage { bytes, first, last, keys, .. } = &self.usage;
        let range = match (first, last) {
            (Some(first), Some(last)) => format!("{first} to {last}"),
            _ => "none".to_owned(),
        };
        format!("  entries: {range}; {keys} keys; {bytes} bytes used")
    }
}

/// Loads a store. Returns `None` if corrupt values prevent that and the scrub has already reported them.
fn load(store: &Store, scrub: Option<&ScrubReport>) -> Result<Option<PersistedState>, StoreError> {
    let is_reported = scrub.is_some_and(|scrub| !scrub.corrupt.is_empty());
    match store.load() {
        Ok(persisted) => Ok(Some(persisted)),
        Err(StoreError::Corrupt(_)) if is_reported => Ok(None),
        Err(error) => Err(error),
    }
}

fn entry_row(entry: &LogEntry) -> [String; 3] {
    [entry.index.to_string(), entry.term.to_string(), entry_text(entry)]
}

fn entry_text(entry: &LogEntry) -> String {
    if entry.kind != KIND_NORMAL {
        return "(a change of members)".to_owned();
    }
    if entry.data.is_empty() {
        return "(a leader's first)".to_owned();
    }
    match postcard::from_bytes::<Proposal>(&entry.data) {
        Ok(Proposal { session, sequence, command }) => {
            format!("session {session} no. {sequence}: {}", command_text(&command))
        }
        Err(error) => format!("can't be read: {error}"),
    }
}
