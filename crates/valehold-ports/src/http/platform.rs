//! The platform's table, object store and instance list over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::FutureExt;
use http::{Request, StatusCode};
use http_body_util::Full;

use super::client::{
    ClientSettings, Connections, HttpClient, bare, check_status, not_sendable,
    uri, with_json,
};
use crate::{
    error::PortError,
    port::{
        Answer, CommitOutcome, InstanceList, Listed, Objects, Row, Table,
        Transaction,
    },
};

/// The platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpPlatform {
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr, settings: ClientSettings) -> Self {
        let client = HttpClient::new(settings, Connections::Kept);
        Self { client, address }
    }

    async fn read_row(&self, key: &str) -> Result<Option<Row>, PortError> {
        let uri = uri(self.address, &format!("/table/row?key={key}"))?;
        self.client.json(bare("GET", uri)?).await
    }

    async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, PortError> {
        let uri = uri(self.address, &format!("/table/rows?key={prefix}"))?;
        let rows = self.client.json(bare("GET", uri)?).await?;
        rows.ok_or_else(|| PortError::malformed("no rows"))
    }

    async fn try_commit(
        &self,
        tx: &Transaction,
    ) -> Result<CommitOutcome, PortError> {
        let uri = uri(self.address, "/table/commit")?;
        let outcome = self.client.json(with_json(uri, tx)?).await?;
        outcome.ok_or_else(|| PortError::malformed("no outcome"))
    }

    async fn read_object(
        &self,
        name: &str,
    ) -> Result<Option<Bytes>, PortError> {
        let uri = uri(self.address, &format!("/objects/{name}"))?;
        let response = self.client.whole(bare("GET", uri)?).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(response.status())?;
        Ok(Some(response.into_body()))
    }

    async fn write_object(
        &self,
        name: &str,
        body: Bytes,
    ) -> Result<(), PortError> {
        let uri = uri(self.address, &format!("/objects/{name}"))?;
        let request = Request::builder()
            .method("PUT")
            .uri(uri)
            .body(Full::from(body))
            .map_err(|e| not_sendable(&e.to_string()))?;
        check_status(self.client.whole(request).await?.status())
    }

    async fn read_list(&self) -> Result<Vec<Listed>, PortError> {
        let uri = uri(self.address, "/instances")?;
        let list = self.client.json(bare("GET", uri)?).await?;
        list.ok_or_else(|| PortError::malformed("no list"))
    }
}

impl Table for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Row>> {
        self.read_row(key).boxed()
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Row>> {
        self.read_rows(prefix).boxed()
    }

    fn commit<'a>(&'a self, tx: &'a Transaction) -> Answer<'a, CommitOutcome> {
        self.try_commit(tx).boxed()
    }
}

impl Objects for HttpPlatform {
    fn read<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Bytes>> {
        self.read_object(name).boxed()
    }

    fn write<'a>(&'a self, name: &'a str, body: Bytes) -> Answer<'a, ()> {
        self.write_object(name, body).boxed()
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> Answer<'_, Vec<Listed>> {
        self.read_list().boxed()
    }
}
