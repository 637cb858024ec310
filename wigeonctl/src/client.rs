//! Calls of the gates.

use std::path::Path;
use std::time::Duration;

use reqwest::{Certificate, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeongate_api::problem::Problem;

use crate::error::{CtlError, Refused};
use crate::settings::Settings;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long an answer may take, beyond what the call itself waits for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether a call whose outcome is unknown may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Doing it twice is the same as doing it once.
    Idempotent,
    /// Doing it twice may do harm.
    Never,
}

/// One call.
pub struct Call<'a> {
    /// What it does, for messages.
    pub step: &'a str,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'a str,
    /// Whether it may be sent again.
    pub retry: RetryPolicy,
    /// How long the gate itself may wait.
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

/// Calls the gates in turn until one answers.
pub struct Client {
    http: reqwest::Client,
    gates: Vec<String>,
    key: String,
}

/// Why one gate gave no answer.
enum SendError {
    /// The call cannot be sent to this URL at all.
    InvalidRequest(String),
    /// Nothing was done there.
    NotExecuted(String),
    /// It may have been done there.
    Unknown(String),
}

impl Client {
    /// Prepares calls.
    pub fn new(settings: &Settings) -> Result<Self, CtlError> {
        let key = settings.key.clone().ok_or_else(|| {
            let text = "a key is needed: --key, the variable WIGEONCTL_KEY or the settings file";
            CtlError::Usage(text.to_owned())
        })?;
        // An error only says that a provider is there already.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let mut builder = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(path) = &settings.authority {
            builder = builder.tls_certs_only(certificates(path)?);
        }
        let http = builder
            .build()
            .map_err(|error| CtlError::Usage(format!("making an HTTP client: {error}")))?;
        Ok(Self {
            http,
            gates: settings.gates.clone(),
            key,
        })
    }

    /// Asks for a document.
    pub async fn get<T: DeserializeOwned>(&self, step: &str, path: &str) -> Result<T, CtlError> {
        let call = Call {
            step,
            path,
            ..Call::default()
        };
        self.call(&call, None::<&()>).await
    }

    /// Makes a call and reads the document that it brings.
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

    /// Makes a call and returns the gate that answered with its response.
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

/// Reads a problem document.
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

/// Returns an error with its causes.
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
        return Err(file_error("it holds no certificate".to_owned()));
    }
    Ok(certificates)
}
