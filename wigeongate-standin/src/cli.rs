//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs an in-memory stand-in for one of the platform's services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the key-value store.
    #[bpaf(command)]
    Store {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Run the host list service.
    #[bpaf(command)]
    Hosts {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Run the workers of an inventory on loopback addresses.
    #[bpaf(command)]
    Workers {
        /// Inventory file.
        #[bpaf(argument("FILE"))]
        inventory: PathBuf,
        /// Name of a worker to run; all workers by default.
        #[bpaf(argument("NAME"), many)]
        only: Vec<String>,
        /// Listen on free ports instead of those in the inventory, and print them.
        any_port: bool,
    },
    /// Run the backend servers of an inventory on loopback addresses.
    #[bpaf(command)]
    Backends {
        /// Inventory file.
        #[bpaf(argument("FILE"))]
        inventory: PathBuf,
        /// Name of a backend server to run; all backend servers by default.
        #[bpaf(argument("NAME"), many)]
        only: Vec<String>,
        /// Listen on free ports instead of those in the inventory, and print them.
        any_port: bool,
    },
}

/// Parses the command line; exits the process if the arguments are invalid.
pub fn parse() -> Command {
    command().run()
}
