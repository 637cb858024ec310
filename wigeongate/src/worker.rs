//! The client interface to workers, and its HTTP implementation.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use reqwest::{Client, StatusCode};
use wigeongate_api::worker::{Orders, OrdersReply, ReportQuery, WorkerReport};

/// The timeout of a request that sends orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time allowed for a report request beyond the wait that it asks for.
const REPORT_MARGIN: Duration = Duration::from_secs(2);

/// A worker's answer to a batch of orders.
#[derive(Debug, Clone)]
pub enum OrdersAnswer {
    /// The worker accepted the batch.
    Accepted(OrdersReply),
    /// The worker has seen a newer epoch and did nothing.
    Stale(OrdersReply),
}

/// A client of one worker.
pub trait WorkerPort: Send + Sync + 'static {
    /// Sends a batch of orders. After an error it is unknown whether the batch took effect.
    fn order<'a>(&'a self, orders: &'a Orders) -> BoxFuture<'a, Result<OrdersAnswer>>;

    /// Requests a report, which the worker may delay by `wait_ms` while nothing changes. Fails when
    /// the worker does not answer in time or the report cannot be decoded.
    fn report(&self, query: ReportQuery) -> BoxFuture<'_, Result<WorkerReport>>;
}

/// A client of one worker over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    client: Client,
    address: SocketAddr,
}

impl HttpWorker {
    /// Creates a client of the worker at `address`.
    pub const fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl WorkerPort for HttpWorker {
    fn order<'a>(&'a self, orders: &'a Orders) -> BoxFuture<'a, Result<OrdersAnswer>> {
        let step = || format!("sending orders to worker {}", self.address);
        async move {
            let url = format!("http://{}/v1/orders", self.address);
            let request = self.client.post(url).json(orders).timeout(ORDER_TIMEOUT);
            let response = request.send().await.wrap_err_with(step)?;
            if response.status() == StatusCode::CONFLICT {
                return Ok(OrdersAnswer::Stale(
                    response.json().await.wrap_err_with(step)?,
                ));
            }
            let response = response.error_for_status().wrap_err_with(step)?;
            Ok(OrdersAnswer::Accepted(
                response.json().await.wrap_err_with(step)?,
            ))
        }
        .boxed()
    }

    fn report(&self, query: ReportQuery) -> BoxFuture<'_, Result<WorkerReport>> {
        let step = || format!("reading the report of worker {}", self.address);
        async move {
            let ReportQuery { since, wait_ms } = query;
            let url = format!(
                "http://{}/v1/report?since={since}&wait_ms={wait_ms}",
                self.address
            );
            let timeout = Duration::from_millis(wait_ms) + REPORT_MARGIN;
            let response = self.client.get(url).timeout(timeout).send().await;
            let response = response
                .wrap_err_with(step)?
                .error_for_status()
                .wrap_err_with(step)?;
            response.json().await.wrap_err_with(step)
        }
        .boxed()
    }
}
