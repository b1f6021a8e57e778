//! Connections to other VMs for requests, opened on demand.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    frame::FrameLink,
    generated::messages::envelope::Body,
    link_reuse::{
        LinkChoice,
        RecentLinks, //
    },
    sync::lock, //
};
use compact_str::ToCompactString;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use crate::pool::{
    set_socket_options,
    UNACKNOWLEDGED_TIMEOUT, //
};

/// Time limit for opening a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections to other VMs by address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: Mutex<RecentLinks<FrameLink>>,
}

impl PeerLinks {
    /// Sends a request to the VM at an address and waits for the response. The connection isn't used for further
    /// requests if this one fails.
    pub(crate) async fn request(
        &self,
        address: &str,
        body: Body,
        limit: Duration,
        choice: LinkChoice,
    ) -> Result<Body, ServeError> {
        let link = self.open(address, choice).await?;
        let response = link.request(body, limit).await;
        let mut links = lock(&self.links);
        match response {
            Ok(_) => links.confirm(address, &link, Instant::now()),
            Err(_) => links.remove(address, &link),
        }
        response
    }

    async fn open(&self, address: &str, choice: LinkChoice) -> Result<FrameLink, ServeError> {
        let recent = lock(&self.links).find(address, choice, Instant::now());
        if let Some(link) = recent.filter(|link| !link.is_closed()) {
            return Ok(link);
        }
        let link = connect(address).await?;
        lock(&self.links).insert(address, link.clone(), Instant::now());
        Ok(link)
    }
}

async fn connect(address: &str) -> Result<FrameLink, ServeError> {
    let unreachable = |error: std::io::Error| {
        ServeError::Unreachable(Step::Connect, address.into(), error.to_compact_string())
    };
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connecting.map_err(|_| ServeError::Timeout(Step::Connect, address.into()))?;
    let stream = connected.map_err(unreachable)?;
    set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT).map_err(unreachable)?;
    // The peer sends nothing but responses on a connection that this VM opens, so the inbox is dropped.
    let (link, _) = FrameLink::open(stream, address);
    Ok(link)
}
