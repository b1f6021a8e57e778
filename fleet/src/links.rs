//! Connections to other VMs for requests, opened on demand.

use std::{
    sync::Mutex,
    time::Duration, //
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    frame::FrameLink,
    generated::messages::envelope::Body,
    sync::lock, //
};
use compact_str::CompactString;
use tokio::time::timeout;

/// Time limit for opening a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections to other VMs by address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: Mutex<Vec<(CompactString, FrameLink)>>, // Sorted by address.
}

impl PeerLinks {
    /// Sends a request to the VM at an address and waits for the response; closes the connection on failure.
    pub(crate) async fn request(
        &self,
        address: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Body, ServeError> {
        let link = self.open(address).await?;
        let response = link.request(body, limit).await;
        if response.is_err() {
            self.drop_link(address);
        }
        response
    }

    async fn open(&self, address: &str) -> Result<FrameLink, ServeError> {
        let known = self.find(address);
        if let Some(link) = known.filter(|link| !link.is_closed()) {
            return Ok(link);
        }
        // The peer sends nothing but responses on a connection that this VM opens, so the inbox is dropped.
        let connecting = timeout(CONNECT_TIMEOUT, FrameLink::connect(address)).await;
        let timed_out = |_| ServeError::Timeout(Step::Connect, address.into());
        let (link, _) = connecting.map_err(timed_out)??;
        let mut links = lock(&self.links);
        match links.binary_search_by(|entry| entry.0.as_str().cmp(address)) {
            Ok(index) => links[index].1 = link.clone(),
            Err(index) => links.insert(index, (address.into(), link.clone())),
        }
        Ok(link)
    }

    fn find(&self, address: &str) -> Option<FrameLink> {
        let links = lock(&self.links);
        let found = links.binary_search_by(|entry| entry.0.as_str().cmp(address));
        Some(links[found.ok()?].1.clone())
    }

    fn drop_link(&self, address: &str) {
        lock(&self.links).retain(|entry| entry.0 != address);
    }
}
