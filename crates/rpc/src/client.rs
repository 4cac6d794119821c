//! A client of a control VM or an entry VM.

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

/// Time that one call may take unless the caller says otherwise.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call got no answer.
#[derive(Debug, Display)]
pub enum Error {
    /// {peer} can't be reached: {reason}; the call was not sent
    Connect {
        /// Whom the call was for.
        peer: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// {peer} did not answer `{step}` within {limit:?}; the call may have been run
    Timeout {
        /// Whom the call was for.
        peer: SocketAddr,
        /// Method that was called.
        step: &'static str,
        /// How long the client waited.
        limit: Duration,
    },
    /// {peer} broke off `{step}`: {reason}; the call may have been run
    Broken {
        /// Whom the call was for.
        peer: SocketAddr,
        /// Method that was called.
        step: &'static str,
        /// What happened.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the call was certainly not run.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// A connection to one VM. Calls may run at the same time.
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
    /// Connects to `peer`; connecting and each call may take `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the peer can't be reached in time.
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

    /// Whom the client is connected to.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection has ended, so that the caller has to connect again.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Runs a command that changes the cluster configuration.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer; says whether the command may have been run.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyResponse, Error> {
        self.call("Apply", self.operator.apply(request)).await
    }

    /// Says how the cluster is.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn status(&self, request: &ReadRequest) -> Result<StatusResponse, Error> {
        self.call("Status", self.operator.status(request)).await
    }

    /// Lists admitted and announced upstreams.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn list_upstreams(
        &self,
        request: &ReadRequest,
    ) -> Result<ListUpstreamsResponse, Error> {
        let call = self.operator.list_upstreams(request);
        self.call("ListUpstreams", call).await
    }

    /// Lists planned changes.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn list_changes(&self, request: &ReadRequest) -> Result<ListChangesResponse, Error> {
        let call = self.operator.list_changes(request);
        self.call("ListChanges", call).await
    }

    /// Shows one planned change.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn get_change(&self, request: &GetChangeRequest) -> Result<GetChangeResponse, Error> {
        self.call("GetChange", self.operator.get_change(request))
            .await
    }

    /// Dumps the state of a process.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn dump(&self, request: &DumpRequest) -> Result<DumpResponse, Error> {
        self.call("Dump", self.operator.dump(request)).await
    }

    /// Counts for the operators' report.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn report(&self) -> Result<ReportResponse, Error> {
        let request = ReportRequest::default();
        self.call("Report", self.operator.report(&request)).await
    }

    /// Announces an upstream to an entry VM of its failure domain.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn announce(&self, request: &AnnounceRequest) -> Result<AnnounceResponse, Error> {
        self.call("Announce", self.upstream.announce(request)).await
    }

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
