//! gRPC server that listens at one address.

use std::{io, net::SocketAddr, rc::Rc};

use ntex::{
    SharedCfg,
    io::Io,
    server::{Server, ServerBuilder},
    service::{Service, ServiceCtx, ServiceFactory, fn_factory_with_config},
    time::Seconds,
};
use ntex_grpc::server::{ServerError, ServerRequest, ServerResponse};
use ntex_h2::{Control, ControlAck, StreamError};

mod call;

use call::Calls;

/// Time for open calls to finish when the server stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(2);

/// Starts a server that listens at `listen`. The server calls `make` on its own thread to create
/// the service, and runs until [`Server::stop`].
///
/// # Errors
///
/// Fails when the server can't listen at the address.
pub fn start<F, T>(name: &'static str, listen: SocketAddr, make: F) -> io::Result<Server>
where
    F: Fn() -> T + Send + Clone + 'static,
    T: ServiceFactory<ServerRequest, SharedCfg, Response = ServerResponse, Error = ServerError>
        + 'static,
    T::Service: 'static,
{
    let server = ServerBuilder::new()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .bind(name, listen, async move |_| {
            let factory = Rc::new(make());
            fn_factory_with_config(async move |config: SharedCfg| {
                let factory = factory.clone();
                Ok::<_, ()>(Connections { factory, config })
            })
        })?;
    Ok(server.run())
}

/// Serves accepted connections with a new service for each connection.
struct Connections<T> {
    factory: Rc<T>,
    config: SharedCfg,
}

impl<T> Service<Io> for Connections<T>
where
    T: ServiceFactory<ServerRequest, SharedCfg, Response = ServerResponse, Error = ServerError>
        + 'static,
{
    type Response = ();
    type Error = T::InitError;

    async fn call(&self, io: Io, _: ServiceCtx<'_, Self>) -> Result<(), T::InitError> {
        let service = self.factory.create(self.config.clone()).await?;
        let served = ntex_h2::server::handle_one(io.into(), Calls::new(service), ControlHandler);
        if let Err(error) = served.await {
            log::debug!(target: "rpc", "gRPC connection closed with an error: {error}");
        }
        Ok(())
    }
}

/// Acknowledges control messages of the HTTP/2 transport, which keeps the default behavior.
struct ControlHandler;

impl Service<Control<StreamError>> for ControlHandler {
    type Response = ControlAck;
    type Error = ();

    async fn call(
        &self,
        message: Control<StreamError>,
        _: ServiceCtx<'_, Self>,
    ) -> Result<ControlAck, ()> {
        Ok(message.ack())
    }
}
