//! gRPC client for a control VM or an entry VM.

use std::{fmt, net::SocketAddr, time::Duration};

use displaydoc::Display;
use ntex::{SharedCfg, http::uri::Scheme, time::timeout_checked};
use ntex_grpc::client::{ClientError, Request, Transport};
use ntex_h2::client::SimpleClient;

use crate::schema::{
    AnnounceRequest, AnnounceResponse, ApplyRequest, ApplyResponse, DumpRequest, DumpResponse,
    GetChangeRequest, GetChangeResponse, ListChangesResponse, ListUpstreamsResponse,
    OperatorClient, ReadRequest, ReportRequest, ReportResponse, StatusResponse, UpstreamClient,
};

/// Default time limit of a call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a call got no response.
#[derive(Debug, Display)]
pub enum Error {
    /// can't connect to {peer}: {reason}; the call was not sent
    Connect {
        /// Address of the called VM.
        peer: SocketAddr,
        /// Reason why the connection failed.
        reason: String,
    },
    /// {peer} did not answer `{step}` within {limit:?}; the call may have been run
    Timeout {
        /// Address of the called VM.
        peer: SocketAddr,
        /// Called gRPC method.
        step: &'static str,
        /// Time limit of the call.
        limit: Duration,
    },
    /// call `{step}` to {peer} failed: {reason}; the call may have been run
    Broken {
        /// Address of the called VM.
        peer: SocketAddr,
        /// Called gRPC method.
        step: &'static str,
        /// Error of the connection or the status of the call.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Reports whether the call was not sent, and therefore not run.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Connection to one VM, over which calls may run concurrently.
#[derive(Clone)]
pub struct Client {
    peer: SocketAddr,
    limit: Duration,
    operator: OperatorClient<SimpleClient>,
    upstream: UpstreamClient<SimpleClient>,
    connection: SimpleClient,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Client({})", self.peer)
    }
}

impl Client {
    /// Connects to `peer`. The time limit `limit` applies to the connection attempt and to each call.
    ///
    /// # Errors
    ///
    /// Fails when no connection is established within `limit`.
    pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connecting = ntex::rt::tcp_connect(peer, SharedCfg::default());
        let failed = |reason: String| Error::Connect { peer, reason };
        let io = timeout_checked(limit, connecting)
            .await
            .map_err(|()| failed(format!("no connection within {limit:?}")))?
            .map_err(|e| failed(e.to_string()))?;
        let connection = SimpleClient::new(io, Scheme::HTTP, peer.to_string().into());
        Ok(Self {
            peer,
            limit,
            operator: OperatorClient::new(connection.clone()),
            upstream: UpstreamClient::new(connection.clone()),
            connection,
        })
    }

    /// Returns the address of the VM that the client is connected to.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reports whether the connection is closed; further calls need a new client.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Runs a command that changes the cluster configuration.
    ///
    /// # Errors
    ///
    /// Fails when there is no response; the error says whether the command may have been run.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyResponse, Error> {
        self.call("Apply", self.operator.apply(request)).await
    }

    /// Returns the status of the cluster.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn status(&self, request: &ReadRequest) -> Result<StatusResponse, Error> {
        self.call("Status", self.operator.status(request)).await
    }

    /// Returns the admitted and the announced upstreams.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn list_upstreams(
        &self,
        request: &ReadRequest,
    ) -> Result<ListUpstreamsResponse, Error> {
        let call = self.operator.list_upstreams(request);
        self.call("ListUpstreams", call).await
    }

    /// Returns the planned changes.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn list_changes(&self, request: &ReadRequest) -> Result<ListChangesResponse, Error> {
        let call = self.operator.list_changes(request);
        self.call("ListChanges", call).await
    }

    /// Returns one planned change.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn get_change(&self, request: &GetChangeRequest) -> Result<GetChangeResponse, Error> {
        self.call("GetChange", self.operator.get_change(request))
            .await
    }

    /// Returns a dump of the state of the called process.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn dump(&self, request: &DumpRequest) -> Result<DumpResponse, Error> {
        self.call("Dump", self.operator.dump(request)).await
    }

    /// Returns the counters for the report to operators.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn report(&self) -> Result<ReportResponse, Error> {
        let request = ReportRequest::default();
        self.call("Report", self.operator.report(&request)).await
    }

    /// Announces an upstream to an entry VM of its failure domain.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn announce(&self, request: &AnnounceRequest) -> Result<AnnounceResponse, Error> {
        self.call("Announce", self.upstream.announce(request)).await
    }

    /// Sends `call` and waits for the response within the time limit.
    async fn call<M>(
        &self,
        step: &'static str,
        call: Request<'_, SimpleClient, M>,
    ) -> Result<M::Output, Error>
    where
        M: ntex_grpc::MethodDef,
        SimpleClient: Transport<M, Error = ntex::error::Error<ClientError>>,
    {
        let answer = timeout_checked(self.limit, call.send())
            .await
            .map_err(|()| Error::Timeout {
                peer: self.peer,
                step,
                limit: self.limit,
            })?;
        let response = answer.map_err(|e| Error::Broken {
            peer: self.peer,
            step,
            reason: format!("{:?}", e.into_error()),
        })?;
        Ok(response.into_inner())
    }
}
