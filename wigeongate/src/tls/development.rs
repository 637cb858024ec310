//! Issues certificates for development and tests.

use eyre::{Result, WrapErr};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};

/// A certificate with its key and the authority that signed it, as PEM texts.
#[derive(Clone)]
pub struct IssuedCertificate {
    /// The certificate.
    pub certificate: String,
    /// Its private key.
    pub key: String,
    /// The authority's certificate.
    pub authority: String,
}

/// Creates an authority and issues a certificate for each list of host names and IP addresses.
///
/// The authority's private key is discarded. Fails if a key pair cannot be generated or a name is
/// invalid.
pub fn issue(subjects: &[&[&str]]) -> Result<Vec<IssuedCertificate>> {
    let mut params = CertificateParams::default();
    params
        .distinguished_name
        .push(DnType::CommonName, "wigeongate development authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let step = "creating the authority";
    let key = KeyPair::generate().wrap_err(step)?;
    let authority = CertifiedIssuer::self_signed(params, key).wrap_err(step)?;
    subjects
        .iter()
        .map(|names| issue_one(&authority, names))
        .collect()
}

fn issue_one(
    authority: &CertifiedIssuer<'_, KeyPair>,
    names: &[&str],
) -> Result<IssuedCertificate> {
    let step = "issuing a certificate";
    let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    let mut params = CertificateParams::new(names).wrap_err(step)?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().wrap_err(step)?;
    let certificate = params.signed_by(&key, authority).wrap_err(step)?;
    Ok(IssuedCertificate {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
        authority: authority.pem(),
    })
}
