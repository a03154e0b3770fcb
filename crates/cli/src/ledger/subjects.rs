//! `garnetcrank ledger list` and `show`: the subjects and their states.

use garnetcrank_agent::api::{SubjectPage, SubjectView};
use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::SubjectState;

use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// Prints all subjects, or those of one space.
///
/// # Errors
/// No agent answered, or one rejected the request.
pub(super) fn list(
    client: &AgentClient,
    format: OutputFormat,
    space: Option<&str>,
    query: &str,
) -> Result<(), CliError> {
    let subjects = read_all(client, space, query)?;
    output::print(format, &subjects, || subjects_table(&subjects))
}

/// Prints one subject.
///
/// # Errors
/// The subject is not decided, no agent answered, or one rejected the request.
pub(super) fn show(
    client: &AgentClient,
    format: OutputFormat,
    subject: Subject,
    query: &str,
) -> Result<(), CliError> {
    let page: SubjectPage = client.get(&format!("/v1/ledger/{subject}?{query}"))?;
    match page.subjects.first() {
        Some(view) => output::print(format, view, || subjects_table(&page.subjects)),
        None => Err(CliError::NotDecided(subject)),
    }
}

/// Reads all pages of the list of subjects.
fn read_all(client: &AgentClient, space: Option<&str>, query: &str) -> Result<Vec<SubjectView>, CliError> {
    let mut all = Vec::new();
    let mut after: Option<Subject> = None;
    loop {
        let mut path = format!("/v1/ledger?{query}");
        if let Some(space) = space {
            path.push_str(&format!("&space={space}"));
        }
        if let Some(after) = &after {
            path.push_str(&format!("&after={after}"));
        }
        let page: SubjectPage = client.get(&path)?;
        all.extend(page.subjects);
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(all),
        }
    }
}

fn subjects_table(subjects: &[SubjectView]) -> String {
    output::table(["SUBJECT", "STANDING", "VALUE"], subjects.iter().map(subject_row))
}

fn subject_row(view: &SubjectView) -> [String; 3] {
    let (state, value) = match &view.state {
        SubjectState::Decided(value) => ("decided", output::bytes_text(value)),
        SubjectState::Dispatched(epoch) => ("handed out", format!("epoch {epoch}")),
        SubjectState::Executed(epoch) => ("ran", format!("epoch {epoch}")),
    };
    [view.subject.to_string(), state.to_owned(), value]
}
