//! Asking other instances, and answering them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use quinn::{Connection, Endpoint, Incoming, TransportConfig};
use tokio::sync::{mpsc, oneshot};

use super::{
    keys::PeerTls,
    message::{Ask, MAX_MESSAGE_BYTES, Reply, decode, encode},
};
use crate::{Error, settings::PeerSettings};

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// After how long without a packet a connection is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A question that came in, with where its answer goes.
#[derive(Debug)]
pub struct Answerer {
    /// The question.
    pub ask: Ask,
    /// The answer's way back.
    pub reply: oneshot::Sender<Reply>,
}

/// The endpoint of one instance.
#[derive(Debug, Clone)]
pub struct Link {
    endpoint: Endpoint,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl Link {
    /// Opens the endpoint; questions that come in go to `answerers`.
    ///
    /// # Errors
    ///
    /// If the keys do not hold or the address cannot be had.
    pub fn open(
        settings: &PeerSettings,
        answerers: mpsc::Sender<Answerer>,
    ) -> Result<Self, Error> {
        let mut tls = PeerTls::try_new(settings)?;
        let transport = Arc::new(transport()?);
        tls.server.transport_config(transport.clone());
        tls.client.transport_config(transport);
        let listen = settings.listen;
        let mut endpoint = Endpoint::server(tls.server, listen)
            .map_err(|e| Error::new(&format!("listening on {listen}"), e))?;
        endpoint.set_default_client_config(tls.client);
        tokio::spawn(accept(endpoint.clone(), answerers));
        Ok(Self { endpoint, connections: Arc::default() })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.endpoint
            .local_addr()
            .map_err(|e| Error::new("reading the peers' address", e))
    }

    /// Asks an instance.
    ///
    /// # Errors
    ///
    /// If it cannot be reached or does not answer in time.
    pub async fn ask(
        &self,
        peer: SocketAddr,
        ask: &Ask,
    ) -> Result<Reply, Error> {
        let asking = self.ask_on(peer, ask);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, asking).await;
        let answer = answer
            .unwrap_or_else(|_| Err(Error::new("asking a peer", "no answer")));
        if answer.is_err() {
            self.lock().remove(&peer);
        }
        answer
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }

    async fn ask_on(
        &self,
        peer: SocketAddr,
        ask: &Ask,
    ) -> Result<Reply, Error> {
        let fail = |e: &dyn std::fmt::Display| Error::new("asking a peer", e);
        let connection = self.connection(peer).await?;
        let (mut send, mut receive) =
            connection.open_bi().await.map_err(|e| fail(&e))?;
        send.write_all(&encode(ask)?).await.map_err(|e| fail(&e))?;
        send.finish().map_err(|e| fail(&e))?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await;
        decode(&bytes.map_err(|e| fail(&e))?)
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, Error> {
        let kept = self.lock().get(&peer).cloned();
        if let Some(connection) = kept
            && connection.close_reason().is_none()
        {
            return Ok(connection);
        }
        let fail =
            |e: &dyn std::fmt::Display| Error::new("reaching a peer", e);
        let connecting = self
            .endpoint
            .connect(peer, PeerTls::name())
            .map_err(|e| fail(&e))?;
        let connection = connecting.await.map_err(|e| fail(&e))?;
        self.lock().insert(peer, connection.clone());
        Ok(connection)
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        // Each change is one insertion or removal, so the map stays whole.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn transport() -> Result<TransportConfig, Error> {
    let mut transport = TransportConfig::default();
    let idle = IDLE_TIMEOUT
        .try_into()
        .map_err(|e| Error::new("setting up peers", e))?;
    transport.max_idle_timeout(Some(idle));
    Ok(transport)
}

async fn accept(endpoint: Endpoint, answerers: mpsc::Sender<Answerer>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve(incoming, answerers.clone()));
    }
}

async fn serve(incoming: Incoming, answerers: mpsc::Sender<Answerer>) {
    let Ok(connection) = incoming.await else { return };
    while let Ok((send, receive)) = connection.accept_bi().await {
        let answerers = answerers.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(send, receive, answerers).await {
                log::debug!("a peer's question was not answered: {error}");
            }
        });
    }
}

async fn answer(
    mut send: quinn::SendStream,
    mut receive: quinn::RecvStream,
    answerers: mpsc::Sender<Answerer>,
) -> Result<(), Error> {
    let fail = |e: &dyn std::fmt::Display| Error::new("answering a peer", e);
    let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await;
    let ask = decode(&bytes.map_err(|e| fail(&e))?)?;
    let (reply, answered) = oneshot::channel();
    let answerer = Answerer { ask, reply };
    answerers.send(answerer).await.map_err(|e| fail(&e))?;
    let reply = answered.await.map_err(|e| fail(&e))?;
    send.write_all(&encode(&reply)?).await.map_err(|e| fail(&e))?;
    send.finish().map_err(|e| fail(&e))
}
