//! The wire as it is written: names and shapes of lines, before any meaning.

use garnetcrank_settings::Settings;
use serde::{Deserialize, Serialize};

/// One line of a batch.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Line {
    Mark {
        wall: f64,
        serial: u64,
    },
    YourTurn {},
    #[serde(rename_all = "camelCase")]
    Directory {
        roster_id: u32,
        members_list: Vec<Row>,
    },
    #[serde(rename_all = "camelCase")]
    NewInstance {
        front: u32,
        init_seed: u64,
        config: Box<Settings>,
    },
    Retire {
        front: u32,
    },
    #[serde(rename_all = "camelCase")]
    Fleet {
        front: u32,
        how: ListKind,
        #[serde(default)]
        roster_id: u32,
    },
    #[serde(rename_all = "camelCase")]
    Ingress {
        front: u32,
        op_id: u32,
        class: String,
        #[serde(default)]
        party: Option<Party>,
        #[serde(default)]
        key: Option<String>,
        client_deadline: f64,
        #[serde(default)]
        cost: Option<f64>,
        #[serde(default)]
        bits: u32,
    },
    #[serde(rename_all = "camelCase")]
    UnderWay {
        front: u32,
        op_id: u32,
        #[serde(default)]
        round_no: usize,
    },
    #[serde(rename_all = "camelCase")]
    Done {
        front: u32,
        op_id: u32,
        #[serde(default)]
        round_no: usize,
        outcome: Status,
        #[serde(default)]
        lag: f64,
        #[serde(default)]
        ended: bool,
        #[serde(default)]
        usage: Option<Vec<f64>>,
    },
    #[serde(rename_all = "camelCase")]
    Aborted {
        front: u32,
        op_id: u32,
    },
    Ring {
        front: u32,
        #[serde(default)]
        cookie: u64,
    },
    HealthResult {
        front: u32,
        machine: String,
        #[serde(default)]
        lag: f64,
        outcome: Status,
        #[serde(default)]
        usage: Option<Vec<f64>>,
    },
    Whisper {
        front: u32,
        #[serde(default)]
        sender: u32,
        #[serde(default)]
        octets: String,
    },
    #[serde(rename_all = "camelCase")]
    StepNews {
        front: u32,
        #[serde(default)]
        release: u32,
        #[serde(default)]
        wave: usize,
        #[serde(default)]
        course: u8,
        #[serde(default)]
        how: u8,
        outcome: Status,
        #[serde(default)]
        limit_share: f64,
        #[serde(default)]
        behind: f64,
    },
    Scorecard {
        front: u32,
        class: String,
        release: u32,
        #[serde(default)]
        lag: f64,
        #[serde(default)]
        errors: u32,
        #[serde(default)]
        behind: f64,
        #[serde(default)]
        count: u32,
    },
    ReportedWrong {
        front: u32,
        machine: String,
        #[serde(default)]
        behind: f64,
        class: String,
    },
}

/// A tenant's name; sites without tenants may send a number.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Party {
    Name(String),
    Number(#[allow(dead_code)] f64),
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListKind {
    Incremental,
    Full,
    Saved,
    Failed,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub unit_group: u32,
    #[serde(default)]
    pub dc: String,
    #[serde(default)]
    pub last_start: Option<f64>,
    pub availability: Availability,
    pub machine: String,
    #[serde(default)]
    pub build: f64,
    #[serde(default = "one")]
    pub rating: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    On,
    Fading,
    Off,
}

/// One line of a reply.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all = "camelCase")]
pub enum Answer<'a> {
    #[serde(rename_all = "camelCase")]
    Place {
        front: u32,
        op_id: u32,
        machine: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        try_for: Option<f64>,
    },
    #[serde(rename_all = "camelCase")]
    Retract {
        front: u32,
        op_id: u32,
        round_no: usize,
    },
    #[serde(rename_all = "camelCase")]
    TurnAway {
        front: u32,
        op_id: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        not_before_for: Option<f64>,
    },
    #[serde(rename_all = "camelCase")]
    Fail {
        front: u32,
        op_id: u32,
    },
    After {
        front: u32,
        delay: f64,
        cookie: u64,
    },
    Test {
        front: u32,
        machine: &'a str,
    },
    Release {
        front: u32,
        machine: &'a str,
    },
    Notify {
        front: u32,
        dest: Dest,
        octets: String,
    },
    StreamChanges {
        front: u32,
        want: bool,
    },
    QueryAll {
        front: u32,
    },
    Vote {
        front: u32,
        release: u32,
        wave: usize,
        how: u8,
    },
    JournalLine {
        front: u32,
        words: &'a str,
    },
    Broken {
        front: u32,
        words: &'a str,
    },
    Finished {
        serial: u64,
    },
}

#[derive(Serialize)]
#[serde(untagged)]
pub enum Dest {
    Peer(u32),
    All(&'static str),
}
