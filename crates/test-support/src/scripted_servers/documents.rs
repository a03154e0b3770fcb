//! The JSON that discovery and the release controller send.

use std::net::SocketAddr;

/// One member of discovery's list, as JSON.
pub fn member(id: &str, address: SocketAddr, build: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"build":{build}}}"#
    )
}

/// A list of discovery, as JSON.
pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// A rollout state of the release controller, as JSON.
pub fn state(release: u32, tranche: usize, mode: &str, exposure: f64) -> String {
    format!(
        r#"{{"release":{release},"tranche":{tranche},"mode":"{mode}","exposure":{exposure},"old_ms":10}}"#
    )
}

/// The event that carries a rollout state, as JSON.
pub fn progress(state: &str) -> String {
    format!(r#"{{"type":"progress","object":{state}}}"#)
}
