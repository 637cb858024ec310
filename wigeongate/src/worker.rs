//! Workers, as the daemon reaches them.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use reqwest::{Client, StatusCode};
use wigeongate_api::worker::{Orders, OrdersReply, ReportQuery, WorkerReport};

/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What may be added to the time that a report is asked to wait.
const REPORT_MARGIN: Duration = Duration::from_secs(2);

/// What a worker answered to a batch of orders.
#[derive(Debug, Clone)]
pub enum OrdersAnswer {
    /// It took the batch.
    Accepted(OrdersReply),
    /// It knows a newer epoch and did nothing.
    Stale(OrdersReply),
}

/// Reaches one worker.
pub trait WorkerPort: Send + Sync + 'static {
    /// Sends a batch of orders; an error leaves open whether it took effect.
    fn order<'a>(&'a self, orders: &'a Orders) -> BoxFuture<'a, Result<OrdersAnswer>>;

    /// Asks for a report.
    fn report(&self, query: ReportQuery) -> BoxFuture<'_, Result<WorkerReport>>;
}

/// Reaches a worker over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    client: Client,
    address: SocketAddr,
}

impl HttpWorker {
    /// Makes a client of the worker at `address`.
    pub const fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl WorkerPort for HttpWorker {
    fn order<'a>(&'a self, orders: &'a Orders) -> BoxFuture<'a, Result<OrdersAnswer>> {
        let step = || format!("ordering worker {}", self.address);
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
