//! Takes announcements of upstreams over gRPC and hands them to the engine.

use log::debug;
use model::announce::{Announcement, INTERVAL_MS};
use ntex::{SharedCfg, service::fn_factory_with_config};
use ntex_grpc::server::{ServerError, ServerRequest, ServerResponse};
use rpc::{convert, schema};
use tokio::sync::mpsc;

/// The `Upstream` service of the schema.
#[derive(Debug, Clone)]
pub struct Announcements {
    taken: mpsc::Sender<Announcement>,
}

#[ntex_grpc::server(schema::Upstream)]
impl Announcements {
    #[method(Announce)]
    async fn announce(&self, request: schema::AnnounceRequest) -> schema::AnnounceResponse {
        let announcement = match convert::announcement(&request) {
            Ok(announcement) => announcement,
            Err(invalid) => {
                debug!(target: "announce", "announcement is refused: {invalid}");
                return refused(invalid.field, &invalid.reason);
            }
        };
        match self.taken.try_send(announcement) {
            Ok(()) => schema::AnnounceResponse {
                taken: true,
                next_ms: INTERVAL_MS,
                ..schema::AnnounceResponse::default()
            },
            Err(_) => refused("", "this VM is busy or stops: announce to another"),
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

/// Makes the service for a server's thread; announcements go to `taken`.
pub fn factory(
    taken: mpsc::Sender<Announcement>,
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
            taken: taken.clone(),
        })
    })
}
