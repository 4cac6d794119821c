//! Receives announcements of upstreams over gRPC and passes them to the engine.

use log::debug;
use model::announce::{Announcement, INTERVAL_MS};
use ntex::{SharedCfg, service::fn_factory_with_config};
use ntex_grpc::server::{ServerError, ServerRequest, ServerResponse};
use rpc::{convert, schema};
use tokio::sync::mpsc;

/// Implements the gRPC service `Upstream`.
#[derive(Debug, Clone)]
pub struct Announcements {
    announcements: mpsc::Sender<Announcement>,
}

#[ntex_grpc::server(schema::Upstream)]
impl Announcements {
    #[method(Announce)]
    async fn announce(&self, request: schema::AnnounceRequest) -> schema::AnnounceResponse {
        let announcement = match convert::announcement(&request) {
            Ok(announcement) => announcement,
            Err(invalid) => {
                debug!(target: "announce", "refused an invalid announcement: {invalid}");
                return refused(invalid.field, &invalid.reason);
            }
        };
        match self.announcements.try_send(announcement) {
            Ok(()) => schema::AnnounceResponse {
                taken: true,
                next_ms: INTERVAL_MS,
                ..schema::AnnounceResponse::default()
            },
            Err(_) => refused(
                "",
                "this VM is overloaded or stopping: announce to another one",
            ),
        }
    }
}

fn refused(field: &str, reason: &str) -> schema::AnnounceResponse {
    schema::AnnounceResponse {
        taken: false,
        field: field.into(),
        reason: reason.into(),
        next_ms: INTERVAL_MS,
    }
}

/// Returns a factory that makes the service for each thread of the server. The service sends valid
/// announcements to `announcements`.
pub fn service_factory(
    announcements: mpsc::Sender<Announcement>,
) -> impl ntex::ServiceFactory<
    ServerRequest,
    SharedCfg,
    Response = ServerResponse,
    Error = ServerError,
    Service = Announcements,
    InitError = (),
> {
    fn_factory_with_config(async move |_: SharedCfg| {
        Ok::<_, ()>(Announcements {
            announcements: announcements.clone(),
        })
    })
}
