//! Table of the cluster's members.

use garnetcrank_agent::api::MemberView;

use crate::output;

/// Text for an unknown value.
const UNKNOWN: &str = "?";

/// Formats the members as a table, which shows `leader` as the leader's role.
pub(super) fn members_table(members: &[MemberView], leader: Option<&str>) -> String {
    let header = ["NAME", "NUMBER", "ADDRESS", "PART", "HEARD FROM", "HOLDS"];
    output::table(header, members.iter().map(|member| member_row(member, leader)))
}

fn member_row(member: &MemberView, leader: Option<&str>) -> [String; 6] {
    let is_leader = leader == Some(member.name.as_str());
    let role = if is_leader { "leader" } else { &member.role };
    let recently_active = match member.recently_active {
        Some(true) => "yes",
        Some(false) => "NO",
        None => UNKNOWN,
    };
    let matched_index = match member.matched_index {
        Some(index) => index.to_string(),
        None => UNKNOWN.to_owned(),
    };
    [
        member.name.clone(),
        member.id.clone(),
        member.address.clone(),
        role.to_owned(),
        recently_active.to_owned(),
        matched_index,
    ]
}
