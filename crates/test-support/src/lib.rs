//! Test doubles for the tests and benches of all packages: scripted peers, faulty devices and load
//! generators.

pub mod agent_cluster;
pub mod fault_relay;
pub mod fault_run;
pub mod faulty_disk;
pub mod full_backlog;
pub mod linearizability;
pub mod load_generator;
pub mod recording_endpoint;
pub mod scripted_servers;
pub mod virtual_fleet;
