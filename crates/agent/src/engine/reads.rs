//! Reads of the replicated state, as applied by this instance.

use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::SubjectState;

use super::Engine;
use crate::api::{SUBJECTS_PER_PAGE, SubjectPage, SubjectView};
use crate::engine_input::{QueryOutput, StateQuery};

impl Engine {
    pub(super) fn run_query(&self, query: &StateQuery) -> QueryOutput {
        match query {
            StateQuery::Leases => QueryOutput::Leases(self.lease_views()),
            StateQuery::Subject(subject) => QueryOutput::Subjects(self.single_subject(subject)),
            StateQuery::Page { after, space } => {
                QueryOutput::Subjects(self.subject_page(after.as_ref(), space.as_deref()))
            }
        }
    }

    /// Returns a page with one subject, or an empty page if nothing has been decided about it.
    fn single_subject(&self, subject: &Subject) -> SubjectPage {
        let state = self.node.state();
        let mut subjects = Vec::new();
        if let Some(found) = state.subject_state(subject) {
            subjects.push(subject_view(subject, found));
        }
        SubjectPage { applied: state.applied(), subjects, next: None }
    }

    fn subject_page(&self, after: Option<&Subject>, space: Option<&str>) -> SubjectPage {
        let state = self.node.state();
        let mut subjects = Vec::new();
        let first_of_space = space.map(|space| Subject::new(space, 0));
        // `subjects_after` excludes the subject it starts from, so the space's first subject is looked up
        // separately.
        if after.is_none()
            && let Some(first) = &first_of_space
            && let Some(found) = state.subject_state(first)
        {
            subjects.push(subject_view(first, found));
        }
        for (subject, found) in state.subjects_after(after.or(first_of_space.as_ref())) {
            let is_outside_space = space.is_some_and(|space| subject.space != space);
            // One subject beyond the page size shows that another page follows.
            if is_outside_space || subjects.len() > SUBJECTS_PER_PAGE {
                break;
            }
            subjects.push(subject_view(subject, found));
        }
        let has_more = subjects.len() > SUBJECTS_PER_PAGE;
        subjects.truncate(SUBJECTS_PER_PAGE);
        let next = if has_more { subjects.last().map(|last| last.subject.clone()) } else { None };
        SubjectPage { applied: state.applied(), subjects, next }
    }
}

fn subject_view(subject: &Subject, state: &SubjectState) -> SubjectView {
    SubjectView { subject: subject.clone(), state: state.clone() }
}
