//! Connections to other VMs for calls, opened when they are needed.

use std::{
    sync::Mutex,
    time::Duration, //
};

use boragerill::{
    error::ServeError,
    frame::FrameLink,
    generated::messages::envelope::Body,
    sync::lock, //
};
use compact_str::CompactString;

/// Connections to other VMs by address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: Mutex<Vec<(CompactString, FrameLink)>>, // Sorted by address.
}

impl PeerLinks {
    /// Asks the VM at an address, and gives the connection up when no answer comes.
    pub(crate) async fn ask(
        &self,
        address: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Body, ServeError> {
        let link = self.open(address).await?;
        let answer = link.request(body, limit).await;
        if answer.is_err() {
            self.drop_link(address);
        }
        answer
    }

    async fn open(&self, address: &str) -> Result<FrameLink, ServeError> {
        let known = self.find(address);
        if let Some(link) = known.filter(|link| !link.is_closed()) {
            return Ok(link);
        }
        // Nothing but answers comes on connections that this VM opens.
        let (link, _) = FrameLink::connect(address).await?;
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
