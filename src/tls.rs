//! Certificates and keys for the connections between the system's processes.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

use crate::error::{Error, Result};
use crate::settings::TlsSettings;

/// The name that every process certificate carries.
pub const SERVER_NAME: &str = "rattanstall.internal";
/// The protocol name negotiated between processes.
const ALPN: &[u8] = b"rattanstall/1";

/// Client and server configuration for mutual TLS.
pub struct Identity {
    /// For connections this process opens.
    pub client: ClientConfig,
    /// For connections this process accepts.
    pub server: ServerConfig,
}

impl Identity {
    /// Reads the CA certificate, certificate and key that the settings name.
    pub fn load(settings: &TlsSettings) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        roots.add(read_cert(&settings.ca)?).map_err(tls_error)?;
        let roots = Arc::new(roots);
        let cert = read_cert(&settings.cert)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(tls_error)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut client = ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(vec![cert.clone()], key.clone_key())
            .map_err(tls_error)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .map_err(tls_error)?;
        let mut server = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![cert], key)
            .map_err(tls_error)?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self { client, server })
    }
}

/// Writes a new certificate authority and one process certificate into `dir`:
/// `ca.pem`, `ca.key`, `cert.pem` and `cert.key`.
pub fn create_material(dir: &Path) -> Result<()> {
    let ca_key = KeyPair::generate().map_err(tls_error)?;
    let mut ca_params = CertificateParams::new(Vec::new()).map_err(tls_error)?;
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    ca_params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let ca_cert = ca_params.self_signed(&ca_key).map_err(tls_error)?;
    let key = KeyPair::generate().map_err(tls_error)?;
    let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(tls_error)?;
    let issuer = Issuer::from_params(&ca_params, &ca_key);
    let cert = params.signed_by(&key, &issuer).map_err(tls_error)?;
    write(dir, "ca.pem", &ca_cert.pem())?;
    write(dir, "ca.key", &ca_key.serialize_pem())?;
    write(dir, "cert.pem", &cert.pem())?;
    write(dir, "cert.key", &key.serialize_pem())
}

fn write(dir: &Path, name: &str, pem: &str) -> Result<()> {
    let file = dir.join(name);
    fs::write(&file, pem).map_err(|e| Error::io(format!("writing {}", file.display()), e))
}

fn read_cert(file: &Path) -> Result<CertificateDer<'static>> {
    CertificateDer::from_pem_file(file).map_err(|e| Error::Tls(format!("{}: {e}", file.display())))
}

fn tls_error(error: impl std::fmt::Display) -> Error {
    Error::Tls(error.to_string())
}
