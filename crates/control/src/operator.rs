//! The RPC service for operators. Any control VM accepts any call.

use std::{sync::Arc, time::Duration};

use model::config::{Applied, Config};
use ntex::{SharedCfg, service::fn_factory_with_config};
use rpc::{
    convert::{self, Invalid, OperatorRequest},
    schema::{self, RefusalKind, apply_response::Outcome},
};
use tokio::time::timeout;

use crate::{dump, read, replica, state::State};

/// Maximum time to commit a command before its outcome counts as unknown.
const COMMIT_WAIT: Duration = Duration::from_secs(4);

/// Maximum time for which one call waits for the replacement of a control VM.
const REPLACE_WAIT: Duration = Duration::from_secs(4);

/// Handles the calls of operators.
#[derive(Debug, Clone)]
pub struct Service {
    state: State,
}

/// Returns a factory that creates the service in each server thread.
pub fn factory(
    state: State,
) -> impl ntex::ServiceFactory<
    ntex_grpc::server::ServerRequest,
    SharedCfg,
    Response = ntex_grpc::server::ServerResponse,
    Error = ntex_grpc::server::ServerError,
    Service = Service,
    InitError = (),
> {
    fn_factory_with_config(async move |_: SharedCfg| {
        Ok::<_, ()>(Service {
            state: state.clone(),
        })
    })
}

#[ntex_grpc::server(schema::Operator)]
impl Service {
    #[method(Apply)]
    async fn apply(&self, request: schema::ApplyRequest) -> schema::ApplyResponse {
        metrics::counter!("oriole_control_commands_total").increment(1);
        let outcome = self.apply_request(&request).await;
        if !matches!(outcome, Outcome::Accepted(_)) {
            metrics::counter!("oriole_control_commands_not_accepted_total").increment(1);
        }
        schema::ApplyResponse {
            outcome: Some(outcome),
        }
    }

    #[method(Status)]
    async fn status(&self, request: schema::ReadRequest) -> schema::StatusResponse {
        let view = read::ReadView::read(&self.state, request.allow_old).await;
        read::status(&self.state, &view)
    }

    #[method(ListUpstreams)]
    async fn list_upstreams(&self, request: schema::ReadRequest) -> schema::ListUpstreamsResponse {
        let view = read::ReadView::read(&self.state, request.allow_old).await;
        read::upstreams(&self.state, &view)
    }

    #[method(ListChanges)]
    async fn list_changes(&self, request: schema::ReadRequest) -> schema::ListChangesResponse {
        let view = read::ReadView::read(&self.state, request.allow_old).await;
        read::changes(&self.state, &view)
    }

    #[method(GetChange)]
    async fn get_change(&self, request: schema::GetChangeRequest) -> schema::GetChangeResponse {
        let view = read::ReadView::read(&self.state, request.allow_old).await;
        read::change(&self.state, &view, request.number)
    }

    #[method(Dump)]
    async fn dump(&self, request: schema::DumpRequest) -> schema::DumpResponse {
        match dump::vm_state(&self.state, &request.vm).await {
            Ok(json) => schema::DumpResponse {
                json: json.into(),
                ..schema::DumpResponse::default()
            },
            Err(reason) => schema::DumpResponse {
                reason: reason.into(),
                ..schema::DumpResponse::default()
            },
        }
    }

    #[method(Report)]
    async fn report(&self, _: schema::ReportRequest) -> schema::ReportResponse {
        schema::ReportResponse {
            json: dump::all_states(&self.state).await.into(),
        }
    }
}

impl Service {
    async fn apply_request(&self, request: &schema::ApplyRequest) -> Outcome {
        // A command that is sent again gets its first answer, even if a name in it no longer
        // exists.
        if let Some(first) = first_answer(&self.state.replica.applied_config(), request) {
            return self.outcome(&first);
        }
        match self.parse_request(request) {
            Ok(OperatorRequest::Command(entry)) => {
                log::info!(
                    target: "operator",
                    "operator {} sent request {}: {:?}", entry.operator, entry.request, entry.command
                );
                let proposed = timeout(COMMIT_WAIT, self.state.replica.propose(entry)).await;
                match proposed {
                    Ok(Ok(applied)) => self.outcome(&applied),
                    Ok(Err(error)) => self.not_applied(&error),
                    Err(_) => outcome_unknown("the command was not committed within 4 s"),
                }
            }
            Ok(OperatorRequest::Replace { old, new }) => {
                self.replace(old.as_str(), new.as_str()).await
            }
            Err(invalid) => self.refuse_invalid(request, &invalid).await,
        }
    }

    fn parse_request(&self, request: &schema::ApplyRequest) -> Result<OperatorRequest, Invalid> {
        let config = self.state.replica.applied_config();
        convert::entry(request, |service, upstream| {
            let announced = self
                .state
                .soft_state()
                .upstreams
                .upstream_to_admit(service, upstream);
            // An upstream in the configuration may be admitted again with its configured values.
            announced.or_else(|reason| {
                let known = config.services.get(service);
                let known = known.and_then(|service| service.upstreams.get(upstream));
                known.cloned().ok_or(reason)
            })
        })
    }

    /// Refuses an invalid request, unless it repeats a command that was already accepted. This
    /// replica may not have applied that command yet, so a linearizable read precedes the refusal:
    /// a refusal must mean that the command has not run.
    async fn refuse_invalid(&self, request: &schema::ApplyRequest, invalid: &Invalid) -> Outcome {
        let well_formed = !request.operator.is_empty() && !request.request_id.is_empty();
        if well_formed {
            match timeout(COMMIT_WAIT, self.state.replica.read_linearizable()).await {
                Ok(Ok(config)) => {
                    if let Some(first) = first_answer(&config, request) {
                        return self.outcome(&first);
                    }
                }
                Ok(Err(error)) => return outcome_unknown(&error.to_string()),
                Err(_) => return outcome_unknown("no leader confirmed the read within 4 s"),
            }
        }
        Outcome::Refused(schema::Refused {
            kind: RefusalKind::Field,
            field: invalid.field.into(),
            reason: invalid.to_string().into(),
            index: 0,
            version: self.state.replica.applied_config().version,
        })
    }

    /// Converts the result of a committed command into a response.
    fn outcome(&self, applied: &Applied) -> Outcome {
        let config = self.state.replica.applied_config();
        match &applied.outcome {
            Ok(()) => Outcome::Accepted(schema::Accepted {
                index: applied.index,
                // The version of a configuration is the index of its last command.
                version: applied.index,
                change: config
                    .changes
                    .get(&applied.index)
                    .map_or(0, |_| applied.index),
            }),
            Err(refusal) => {
                let (kind, field) = convert::refusal(refusal);
                Outcome::Refused(schema::Refused {
                    kind,
                    field: field.into(),
                    reason: refusal.to_string().into(),
                    index: applied.index,
                    version: config.version,
                })
            }
        }
    }

    fn not_applied(&self, error: &replica::Error) -> Outcome {
        match error {
            replica::Error::NoLeader => self.refused(RefusalKind::NoLeader, &error.to_string()),
            _ => outcome_unknown(&error.to_string()),
        }
    }

    /// Replaces a control VM. A replacement that takes longer than the call continues, and a
    /// repeated call waits for the same replacement.
    async fn replace(&self, old: &str, new: &str) -> Outcome {
        log::info!(target: "operator", "replacing control VM {old} by {new}");
        let replaced = timeout(REPLACE_WAIT, self.state.replica.replace(old, new)).await;
        match replaced {
            Ok(Ok(())) => Outcome::Accepted(schema::Accepted {
                index: self.state.replica.status().committed,
                version: self.state.replica.applied_config().version,
                change: 0,
            }),
            Ok(Err(replica::Error::Refused(reason))) => {
                self.refused(RefusalKind::Conflict, &reason)
            }
            Ok(Err(error)) => self.not_applied(&error),
            Err(_) => outcome_unknown("the new control VM is still catching up"),
        }
    }

    fn refused(&self, kind: RefusalKind, reason: &str) -> Outcome {
        Outcome::Refused(schema::Refused {
            kind,
            reason: reason.into(),
            version: self.state.replica.applied_config().version,
            ..schema::Refused::default()
        })
    }
}

fn first_answer(config: &Arc<Config>, request: &schema::ApplyRequest) -> Option<Applied> {
    config
        .answer(&request.operator, &request.request_id)
        .cloned()
}

fn outcome_unknown(reason: &str) -> Outcome {
    let reason =
        format!("{reason}; resend the request with the same request id to learn its outcome");
    Outcome::Unknown(schema::Unknown {
        reason: reason.into(),
    })
}
