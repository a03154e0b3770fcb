//! `garnetcrank ledger inspect`: a look at a store that changes nothing.

use std::path::Path;

use garnetcrank_consensus::replicated_state::Proposal;
use garnetcrank_store::{Record, Store, StoreError};
use serde_json::json;

use crate::command_text::command_text;
use crate::{Trouble, show};

fn trouble(error: &StoreError) -> Trouble {
    let hint = match error {
        StoreError::InUse => " (stop its agent first)",
        _ => "",
    };
    Trouble::Store(format!("{error}{hint}"))
}

fn entry(record: &Record) -> String {
    match record.kind {
        0 if record.data.is_empty() => "(a leader's first)".to_owned(),
        0 => match postcard::from_bytes::<Proposal>(&record.data) {
            Ok(proposal) => {
                format!(
                    "session {} no. {}: {}",
                    proposal.session,
                    proposal.sequence,
                    command_text(&proposal.command)
                )
            }
            Err(error) => format!("can't be read: {error}"),
        },
        _ => "(a change of members)".to_owned(),
    }
}

/// Prints what a store holds.
pub fn run(path: &Path, entries: bool, scrub: bool, json: bool) -> Result<(), Trouble> {
    let store = Store::inspect(path).map_err(|e| trouble(&e))?;
    let usage = store.usage().map_err(|e| trouble(&e))?;
    let report = if scrub { Some(store.scrub().map_err(|e| trouble(&e))?) } else { None };
    let corrupt: Vec<String> =
        report.iter().flat_map(|r| r.corrupt.iter().map(ToString::to_string)).collect();
    let loaded = match store.load() {
        Ok(loaded) => Some(loaded),
        // The report has it in full.
        Err(StoreError::Corrupt(_)) if !corrupt.is_empty() => None,
        Err(error) => return Err(trouble(&error)),
    };
    let identity = store.identity();
    let rows: Vec<[String; 3]> = loaded
        .iter()
        .filter(|_| entries)
        .flat_map(|l| &l.entries)
        .map(|r| [r.index.to_string(), r.term.to_string(), entry(r)])
        .collect();
    let hard = loaded.as_ref().map(|l| l.hard);
    let snapshot = loaded.as_ref().and_then(|l| l.snapshot.as_ref()).map(|s| (s.index, s.term, s.data.len()));
    let value = json!({
        "name": identity.name, "id": format!("{:016x}", identity.id), "cluster": identity.cluster,
        "starts": store.starts(), "usage": usage, "hard": hard, "sound": report.as_ref().map(|r| r.sound),
        "snapshot": snapshot.map(|(index, term, bytes)| json!({"index": index, "term": term, "bytes": bytes})),
        "corrupt": corrupt, "entries": rows,
    });
    show::print(json, &value, || {
        let mut lines = vec![format!(
            "{} ({:016x}) of cluster {}, opened {} times",
            identity.name,
            identity.id,
            identity.cluster,
            store.starts()
        )];
        if let Some(hard) = hard {
            lines.push(format!(
                "  term {}, vote {:016x}, decided up to {}",
                hard.term, hard.vote, hard.commit
            ));
        }
        if let Some((index, term, bytes)) = snapshot {
            lines.push(format!("  snapshot up to {index} of term {term}, {bytes} bytes"));
        }
        let span = usage.first.zip(usage.last).map_or("none".to_owned(), |(a, b)| format!("{a} to {b}"));
        lines.push(format!("  entries: {span}; {} keys; {} bytes used", usage.keys, usage.bytes));
        if let Some(report) = &report {
            lines.push(format!("  {} values are sound, {} corrupt", report.sound, report.corrupt.len()));
        }
        lines.extend(corrupt.iter().map(|c| format!("  corrupt: {c}")));
        if !rows.is_empty() {
            lines.push(show::table(["INDEX", "TERM", "ENTRY"], rows.clone()));
        }
        lines.join("\n")
    })?;
    if corrupt.is_empty() {
        Ok(())
    } else {
        Err(Trouble::Store(format!("{} values are corrupt", corrupt.len())))
    }
}
