//! Certificates by which instances know each other.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
};

use crate::{Error, settings::PeerSettings};

/// The name that every instance's certificate carries. Who may talk is
/// decided by the authority that signed, not by a name.
const PEER_NAME: &str = "instance.valehold";

/// The name that an authority's certificate carries.
const AUTHORITY_NAME: &str = "valehold authority";

/// The protocol's name in the handshake.
const PROTOCOL: &[u8] = b"valehold-peer";

/// Keys of one instance, as PEM, for its settings.
#[derive(Debug, Clone)]
pub struct PeerKeys {
    /// The authority's certificate.
    pub authority: String,
    /// The instance's certificate.
    pub certificate: String,
    /// The instance's private key.
    pub key: String,
}

/// An authority that signs the certificates of a deployment's instances.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
    key: String,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// If keys cannot be made.
    pub fn try_new() -> Result<Self, Error> {
        let key = KeyPair::generate().map_err(making)?;
        let params = authority_params();
        let certificate = params.self_signed(&key).map_err(making)?.pem();
        let key_pem = key.serialize_pem();
        let issuer = Issuer::new(params, key);
        Ok(Self { certificate, issuer, key: key_pem })
    }

    /// Makes an authority from its certificate and key, as PEM.
    ///
    /// # Errors
    ///
    /// If the key is none.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, Error> {
        let pair = KeyPair::from_pem(key).map_err(making)?;
        // What a certificate is checked against is the authority's name and
        // key, so the same name with the same key signs for it.
        let issuer = Issuer::new(authority_params(), pair);
        let certificate = certificate.to_owned();
        Ok(Self { certificate, issuer, key: key.to_owned() })
    }

    /// Returns its certificate, as PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns its private key, as PEM.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Makes an instance's keys.
    ///
    /// # Errors
    ///
    /// If keys cannot be made.
    pub fn issue(&self) -> Result<PeerKeys, Error> {
        let key = KeyPair::generate().map_err(making)?;
        let names = vec![PEER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).map_err(making)?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate =
            params.signed_by(&key, &self.issuer).map_err(making)?;
        Ok(PeerKeys {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name = DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params
}

fn making(cause: impl std::fmt::Display) -> Error {
    Error::new("making keys", cause)
}

fn reading(cause: impl std::fmt::Display) -> Error {
    Error::new("reading the peers' keys", cause)
}

/// Both sides' TLS, from an instance's settings.
pub(super) struct PeerTls {
    pub(super) server: quinn::ServerConfig,
    pub(super) client: quinn::ClientConfig,
}

impl PeerTls {
    pub(super) fn try_new(settings: &PeerSettings) -> Result<Self, Error> {
        let mut roots = RootCertStore::empty();
        let authority =
            CertificateDer::from_pem_slice(settings.authority.as_bytes())
                .map_err(reading)?;
        roots.add(authority).map_err(reading)?;
        let roots = Arc::new(roots);
        let own =
            CertificateDer::from_pem_slice(settings.certificate.as_bytes())
                .map_err(reading)?;
        let key = PrivateKeyDer::from_pem_slice(settings.key.as_bytes())
            .map_err(reading)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            roots.clone(),
            provider.clone(),
        )
        .build()
        .map_err(reading)?;
        let versions = [&rustls::version::TLS13];
        let mut server =
            rustls::ServerConfig::builder_with_provider(provider.clone())
                .with_protocol_versions(&versions)
                .map_err(reading)?
                .with_client_cert_verifier(verifier)
                .with_single_cert(vec![own.clone()], key.clone_key())
                .map_err(reading)?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&versions)
            .map_err(reading)?
            .with_root_certificates(roots)
            .with_client_auth_cert(vec![own], key)
            .map_err(reading)?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        let server = QuicServerConfig::try_from(server).map_err(reading)?;
        let client = QuicClientConfig::try_from(client).map_err(reading)?;
        Ok(Self {
            server: quinn::ServerConfig::with_crypto(Arc::new(server)),
            client: quinn::ClientConfig::new(Arc::new(client)),
        })
    }

    /// Returns the name to ask for when connecting.
    pub(super) fn name() -> &'static str {
        debug_assert!(ServerName::try_from(PEER_NAME).is_ok());
        PEER_NAME
    }
}
