//! Messages of wigeongate's HTTP interfaces to callers, operators, the platform and etcd.

pub mod backend;
pub mod caller;
pub mod etcd;
pub mod hosts;
pub mod operator;
pub mod problem;
pub mod worker;
