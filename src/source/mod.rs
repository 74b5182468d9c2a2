//! Read-only clients of the platform's configuration service and VM list.

mod watch;

pub use watch::{Backoff, PlatformSource, WatchError, watch_register, watch_vms};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;

use crate::prelude::*;
use crate::traffic::upstream;

/// How long a watch may wait at the service before it answers that nothing changed, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;

/// How long after the end of a watch's wait the answer may take, in milliseconds.
const WATCH_GRACE_MS: u64 = 2_000;

/// The largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 4_000_000;

/// The register as the service publishes it.
#[derive(Debug, Deserialize)]
pub struct PublishedRegister {
    /// The revision; higher ones replace lower ones.
    pub revision: u64,
    /// The unparsed text of the register.
    pub text: String,
}

/// The VM list as the service publishes it.
#[derive(Debug, Deserialize)]
pub struct PublishedVms {
    /// The list's version; increases with each change.
    pub version: u64,
    /// All VMs on the list.
    pub vms: Vec<PublishedVm>,
}

/// One VM on the list.
#[derive(Debug, Deserialize)]
pub struct PublishedVm {
    /// The VM's unique name.
    pub name: String,
    /// The availability zone that the VM runs in.
    pub zone: String,
    /// The address to which callers connect.
    pub caller_address: String,
    /// The address to which other VMs connect.
    pub peer_address: String,
    /// Whether the VM is shutting down; `false` if the service omits the field.
    #[serde(default)]
    pub leaving: bool,
}

impl From<PublishedVm> for VmRecord {
    fn from(vm: PublishedVm) -> Self {
        Self {
            name: vm.name.into(),
            zone: vm.zone.into(),
            caller_address: vm.caller_address.into(),
            peer_address: vm.peer_address.into(),
            leaving: vm.leaving,
            store_lost: false,
            millicores: 0,
            listed: true,
            incarnation: None,
            started_epoch_ms: 0,
            renewal: 0,
            suspected_until: None,
            last_message_at: None,
        }
    }
}

/// A [`PlatformSource`] that long-polls the platform over HTTP.
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`; it connects on each request.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self { address })
    }

    async fn fetch<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        after: u64,
    ) -> Result<Option<T>, WatchError> {
        let url = format!(
            "http://{}{path}?after={after}&wait_ms={WATCH_WAIT_MS}",
            self.address
        );
        let url = Url::parse(&url).map_err(|_| WatchError::Malformed)?;
        let deadline = crate::clock::now().after_ms(WATCH_WAIT_MS + WATCH_GRACE_MS);
        let request = Request::new(Method::Get, url);
        let address = self.address.to_string();
        let mut response = upstream::exchange(&address, request, deadline)
            .await
            .map_err(|_| WatchError::Unreachable)?;
        match response.status() {
            StatusCode::NoContent => Ok(None),
            StatusCode::Ok => {
                let limit = Duration::from_millis(WATCH_GRACE_MS);
                let body = upstream::read_body(&mut response, MAX_RESPONSE_BYTES);
                let body = async_std::future::timeout(limit, body).await;
                let body = body.ok().flatten().ok_or(WatchError::Unreachable)?;
                let value = serde_json::from_slice(&body).map_err(|_| WatchError::Malformed)?;
                Ok(Some(value))
            }
            _ => Err(WatchError::Unreachable),
        }
    }
}

impl PlatformSource for HttpPlatform {
    fn register_after(&self, revision: u64) -> BoxFuture<'_, Result<Option<PublishedRegister>, WatchError>> {
        self.fetch("/v1/register", revision).boxed()
    }

    fn vms_after(&self, version: u64) -> BoxFuture<'_, Result<Option<PublishedVms>, WatchError>> {
        self.fetch("/v1/vms", version).boxed()
    }
}

impl PublishedRegister {
    /// Copies the text into a shared string.
    pub fn shared_text(&self) -> Arc<str> {
        self.text.as_str().into()
    }
}
