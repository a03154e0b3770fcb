//! JSON documents that discovery and the release controller send.

use std::net::SocketAddr;

/// Formats an endpoint of the endpoint list.
pub fn endpoint_json(id: &str, address: SocketAddr, build: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"build":{build}}}"#
    )
}

/// Formats an endpoint list: a snapshot if it is complete, else a delta.
pub fn endpoint_list_json(revision: u64, complete: bool, endpoints: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, endpoints.join(","))
}

/// Formats a rollout state of the release controller.
pub fn rollout_state_json(release: u32, tranche: usize, mode: &str, exposure: f64) -> String {
    format!(
        r#"{{"release":{release},"tranche":{tranche},"mode":"{mode}","exposure":{exposure},"old_ms":10}}"#
    )
}

/// Formats the event that carries a rollout state.
pub fn rollout_event_json(rollout_state: &str) -> String {
    format!(r#"{{"type":"progress","object":{rollout_state}}}"#)
}
