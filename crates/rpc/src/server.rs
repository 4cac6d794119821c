//! Runs a gRPC server at one address.

use std::{io, net::SocketAddr};

use ntex::{
    SharedCfg,
    server::{Server, ServerBuilder},
    service::ServiceFactory,
    time::Seconds,
};
use ntex_grpc::server::{GrpcServer, ServerError, ServerRequest, ServerResponse};

/// Time that calls get to finish when the server stops.
const SHUTDOWN: Seconds = Seconds(2);

/// Starts a server at `listen`; `make` is called on the server's own thread for each service.
/// Stop it with [`Server::stop`].
///
/// # Errors
///
/// Fails when the address can't be listened at.
pub fn start<F, T>(name: &'static str, listen: SocketAddr, make: F) -> io::Result<Server>
where
    F: Fn() -> T + Send + Clone + 'static,
    T: ServiceFactory<ServerRequest, SharedCfg, Response = ServerResponse, Error = ServerError>
        + 'static,
    T::Service: Clone,
{
    let server = ServerBuilder::new()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN)
        .bind(name, listen, async move |_| GrpcServer::new(make()))?;
    Ok(server.run())
}
