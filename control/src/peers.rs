//! Connections to the other control processes of the region.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    config::ConfigTable,
    feed::{
        subscribe_one,
        FeedMessage, //
    },
    generated::messages::{
        envelope::Body,
        LeaseGrant, //
    },
    links::{
        LinkEvent,
        LinkTable, //
    },
    timer::TimerService, //
};
use compact_str::CompactString;
use log::{
    debug,
    info, //
};
use metrics::counter;
use tokio::time::sleep;

use crate::hub::ControlHub;

/// Delay before the subscription to another peer.
const RESUBSCRIBE_DELAY: Duration = Duration::from_millis(500);

/// Sends heartbeats with lease grants to all members of the roster.
pub(crate) async fn send_heartbeats(hub: Arc<ControlHub>, timer: &mut TimerService) {
    let links = LinkTable::new(hub.hello());
    let mut ticks = timer.subscribe(Duration::from_millis(hub.settings.heartbeat_ms));
    while ticks.next().await.is_some() {
        if let Some(roster) = hub.store.load().roster() {
            let closing = hub.clone();
            links.update(roster, &hub.settings.vm, move |vm, event| {
                if matches!(event, LinkEvent::Closed) {
                    closing.lock_share().disconnect_peer(vm, Instant::now());
                }
            });
        }
        let now = Instant::now();
        let grants = hub.lock_share().tick(now);
        let feeds = hub.has_batch_process();
        for (vm, grant) in grants {
            counter!("heartbeats_total").increment(1);
            let sent = links
                .find(&vm, now)
                .map(|link| link.push(0, Body::ShareLend(LeaseGrant { feeds, ..grant })));
            if let Some(Err(error)) = sent {
                debug!("heartbeat to {vm} not sent: {error}");
            }
        }
    }
}

/// Subscribes to the configuration of one random peer at a time, in addition to the platform's watch.
pub(crate) async fn subscribe_to_peers(hub: Arc<ControlHub>) {
    let hello = hub.hello();
    loop {
        if let Some(address) = choose_random_peer(&hub) {
            let after = hub.store.with_table(ConfigTable::through);
            let ended = subscribe_one(&address, &hello, after, |message| {
                if let FeedMessage::Delta(delta) = message {
                    hub.apply(delta);
                }
            })
            .await;
            info!("configuration feed of a peer ended: {ended}");
        }
        sleep(RESUBSCRIBE_DELAY).await;
    }
}

/// Returns the control address of a random peer, from the settings and the roster.
fn choose_random_peer(hub: &ControlHub) -> Option<CompactString> {
    let own = format!("{}:{}", hub.settings.address, hub.settings.port);
    let mut addresses: Vec<CompactString> =
        hub.settings.peers.iter().map(CompactString::from).collect();
    if let Some(roster) = hub.store.load().roster() {
        addresses.extend(roster.members().iter().map(|member| member.control.clone()));
    }
    addresses.retain(|address| address.as_str() != own);
    addresses.sort();
    addresses.dedup();
    let index = rand::random::<u64>()
        % u64::try_from(addresses.len())
            .ok()
            .filter(|&count| count > 0)?;
    addresses.into_iter().nth(usize::try_from(index).ok()?)
}
