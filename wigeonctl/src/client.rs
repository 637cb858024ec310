//! HTTP client for the gates.

use std::path::Path;
use std::time::Duration;

use reqwest::{Certificate, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeongate_api::problem::Problem;

use crate::error::{CtlError, Refused};
use crate::settings::Settings;

/// The limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The limit for a whole response, in addition to `Call::gate_wait`.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether a call whose outcome is unknown may be sent to the next gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Running the call twice has the same effect as running it once.
    Idempotent,
    /// Running the call twice may do harm.
    Never,
}

/// One call to a gate.
pub struct Call<'a> {
    /// The step that the call carries out, for error messages.
    pub step: &'a str,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: &'a str,
    /// Whether the call may be sent again when its outcome is unknown.
    pub retry: RetryPolicy,
    /// How long the gate may hold the call before it answers.
    pub gate_wait: Duration,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            step: "",
            method: Method::GET,
            path: "/",
            retry: RetryPolicy::Idempotent,
            gate_wait: Duration::ZERO,
        }
    }
}

/// Sends calls to the gates in order until one answers.
pub struct Client {
    http: reqwest::Client,
    gates: Vec<String>,
    key: String,
}

/// Why a gate returned no response.
enum SendError {
    /// The request is invalid, such as for a malformed gate URL.
    InvalidRequest(String),
    /// The connection failed, so the gate did not execute the call.
    NotExecuted(String),
    /// The gate may have executed the call.
    Unknown(String),
}

impl Client {
    /// Creates a client; fails without a key or if the certificate authority cannot be read.
    pub fn new(settings: &Settings) -> Result<Self, CtlError> {
        let key = settings.key.clone().ok_or_else(|| {
            let text = "no key given: use --key, the variable WIGEONCTL_KEY or the settings file";
            CtlError::Usage(text.to_owned())
        })?;
        // The only error is that a provider is already installed.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let mut builder = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(path) = &settings.authority {
            builder = builder.tls_certs_only(certificates(path)?);
        }
        let http = builder
            .build()
            .map_err(|error| CtlError::Usage(format!("creating the HTTP client: {error}")))?;
        Ok(Self {
            http,
            gates: settings.gates.clone(),
            key,
        })
    }

    /// Fetches a JSON document.
    pub async fn get<T: DeserializeOwned>(&self, step: &str, path: &str) -> Result<T, CtlError> {
        let call = Call {
            step,
            path,
            ..Call::default()
        };
        self.call(&call, None::<&()>).await
    }

    /// Sends a call and parses the JSON document of the response.
    pub async fn call<T: DeserializeOwned>(
        &self,
        call: &Call<'_>,
        body: Option<&impl Serialize>,
    ) -> Result<T, CtlError> {
        let (gate, response) = self.send(call, body).await?;
        response.json().await.map_err(|error| {
            let step = call.step.to_owned();
            let reason = error_chain(&error);
            match call.retry {
                RetryPolicy::Idempotent => CtlError::Unreadable { step, gate, reason },
                RetryPolicy::Never => CtlError::Unknown { step, gate, reason },
            }
        })
    }

    /// Sends a call and returns the URL of the gate that answered and its response.
    ///
    /// Tries the next gate if one cannot be reached or is unavailable, or if the outcome is unknown
    /// and the call is idempotent.
    pub async fn send(
        &self,
        call: &Call<'_>,
        body: Option<&impl Serialize>,
    ) -> Result<(String, Response), CtlError> {
        let mut tried = Vec::new();
        let mut refused = None;
        for gate in &self.gates {
            let mut request = self
                .http
                .request(call.method.clone(), format!("{gate}{}", call.path))
                .bearer_auth(&self.key)
                .timeout(RESPONSE_TIMEOUT + call.gate_wait);
            if let Some(body) = body {
                request = request.json(body);
            }
            match send_request(request).await {
                Ok(response) if response.status().is_success() => {
                    return Ok((gate.clone(), response));
                }
                Ok(response) => {
                    let error = read_problem(call.step, gate, response).await;
                    let try_next = matches!(&error, CtlError::Refused(r) if r.is_unavailable());
                    if !try_next {
                        return Err(error);
                    }
                    refused = Some(error);
                }
                Err(SendError::InvalidRequest(reason)) => {
                    return Err(CtlError::Usage(format!("--gate {gate}: {reason}")));
                }
                Err(SendError::Unknown(reason)) if call.retry == RetryPolicy::Never => {
                    return Err(CtlError::Unknown {
                        step: call.step.to_owned(),
                        gate: gate.clone(),
                        reason,
                    });
                }
                Err(SendError::NotExecuted(reason) | SendError::Unknown(reason)) => {
                    tried.push(format!("  {gate}: {reason}"));
                }
            }
        }
        Err(refused.unwrap_or(CtlError::Unreachable {
            step: call.step.to_owned(),
            tried,
        }))
    }
}

async fn send_request(request: RequestBuilder) -> Result<Response, SendError> {
    request.send().await.map_err(|error| {
        let reason = error_chain(&error);
        if error.is_builder() {
            SendError::InvalidRequest(reason)
        } else if error.is_connect() {
            SendError::NotExecuted(reason)
        } else {
            SendError::Unknown(reason)
        }
    })
}

/// Converts an error response to an error, from its problem document if it has one.
async fn read_problem(step: &str, gate: &str, response: Response) -> CtlError {
    let status = response.status();
    let step = step.to_owned();
    let gate = gate.to_owned();
    match response.json::<Problem>().await {
        Ok(problem) => CtlError::Refused(Box::new(Refused {
            step,
            gate,
            problem,
        })),
        Err(error) => CtlError::Unreadable {
            step,
            gate,
            reason: format!("status {status}: {}", error_chain(&error)),
        },
    }
}

/// Returns the text of an error and of all its causes.
fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

fn certificates(path: &Path) -> Result<Vec<Certificate>, CtlError> {
    let file_error = |reason: String| CtlError::File {
        path: path.to_owned(),
        reason,
    };
    let pem = std::fs::read(path).map_err(|error| file_error(error.to_string()))?;
    let certificates =
        Certificate::from_pem_bundle(&pem).map_err(|error| file_error(error_chain(&error)))?;
    if certificates.is_empty() {
        return Err(file_error("the file contains no certificate".to_owned()));
    }
    Ok(certificates)
}
