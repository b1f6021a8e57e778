//! Requests tokens of a workspace's rate from the roster member that owns the workspace's token bucket.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    feed::SnapshotStore,
    generated::messages::{
        envelope::Body,
        token_response::Outcome,
        Hello,
        LoadTotals,
        TokenRequest,
        TokenResponse, //
    },
    links::{
        LinkEvent,
        LinkTable, //
    },
    rank::ranking,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    roster::TOTAL_UNITS,
    share::GRANT_VALIDITY,
    snapshot::WorkspaceRecord, //
};
use log::debug;
use metrics::counter;

/// Responses of members after which no further member is asked for the same token.
const MAX_MEMBER_RESPONSES: usize = 4;

/// Time for which a member is excluded after a failed token request.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// `Retry-After` of a refusal while no member that holds the rate responds.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which a refusal is served from the cache.
const MAX_REFUSAL_LIFETIME: Duration = Duration::from_secs(1);

/// Number of cached refusals from which on expired ones are removed.
const REFUSALS_PRUNE_SIZE: usize = 1024;

/// Earliest time of the next token, by workspace.
type CachedRefusals = Vec<(u64, Instant)>; // Sorted by the workspace's hash.

/// Connections to the roster's members, which own the token buckets, and cached refusals.
#[derive(Clone, Debug)]
pub(crate) struct RateClient {
    links: LinkTable,
    refusals: Arc<Mutex<CachedRefusals>>,
}

impl RateClient {
    pub(crate) fn new(vm: &str) -> RateClient {
        RateClient {
            links: LinkTable::new(Hello {
                vm: vm.into(),
                ..Default::default()
            }),
            refusals: Arc::default(),
        }
    }

    /// Keeps the connections in step with the roster for as long as the process runs.
    ///
    /// `on_totals` receives the online requests of all VMs on the servers in this process's load reports.
    pub(crate) async fn watch_roster<F>(self, store: Arc<SnapshotStore>, on_totals: F)
    where
        F: Fn(LoadTotals) + Clone + Send + 'static,
    {
        let mut changes = store.subscribe();
        loop {
            if let Some(roster) = store.load().roster() {
                let on_totals = on_totals.clone();
                self.links.update(roster, "", move |_, event| {
                    if let LinkEvent::Message(Body::LoadTotals(totals)) = event {
                        on_totals(totals);
                    }
                });
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the connections to the members' control processes.
    pub(crate) fn links(&self) -> &LinkTable {
        &self.links
    }

    /// Refuses a request without asking a member if the workspace's next token isn't available yet.
    ///
    /// # Errors
    ///
    /// Returns `RefusalReason::RateExceeded` while a cached refusal of the workspace is valid.
    pub(crate) fn check_cached_refusal(
        &self,
        workspace: &WorkspaceRecord,
    ) -> Result<(), RefusalResponse> {
        let refusals = self.lock_refusals();
        let found = refusals.binary_search_by_key(&workspace.limit.hash, |entry| entry.0);
        let wait = found.map(|index| refusals[index].1.saturating_duration_since(Instant::now()));
        match wait {
            Ok(wait) if wait > Duration::ZERO => {
                counter!("token_asks_saved_total").increment(1);
                Err(exceeded_refusal(
                    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).max(1),
                ))
            }
            _ => Ok(()),
        }
    }

    /// Caches the time of a workspace's next token, since every token request before it is refused.
    fn cache_refusal(&self, workspace: &WorkspaceRecord, retry_after_ms: u32) {
        let now = Instant::now();
        let until = now + Duration::from_millis(retry_after_ms.into()).min(MAX_REFUSAL_LIFETIME);
        let mut refusals = self.lock_refusals();
        if refusals.len() >= REFUSALS_PRUNE_SIZE {
            refusals.retain(|entry| entry.1 > now);
        }
        match refusals.binary_search_by_key(&workspace.limit.hash, |entry| entry.0) {
            Ok(index) => refusals[index].1 = until,
            Err(index) => refusals.insert(index, (workspace.limit.hash, until)),
        }
    }

    fn lock_refusals(&self) -> MutexGuard<'_, CachedRefusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one token of a workspace's rate; members are asked in the order of their rank.
    ///
    /// # Errors
    ///
    /// Returns `RefusalReason::RateExceeded` if the rate is used up, and
    /// `RefusalReason::RateUnavailable` if no member that holds the rate responds.
    pub(crate) async fn take_token(
        &self,
        store: &SnapshotStore,
        workspace: &WorkspaceRecord,
    ) -> Result<(), RefusalResponse> {
        let snapshot = store.load();
        let roster = snapshot.roster().ok_or_else(unavailable_refusal)?;
        let mut refused: Option<u32> = None;
        let order = ranking(workspace.limit.hash, roster.hashes());
        let mut responses = 0;
        for index in order {
            let vm = &roster.members()[index].vm;
            let Some(response) = self.request_token(vm, &workspace.name).await else {
                continue;
            };
            responses += 1;
            match response.outcome() {
                Outcome::Granted => return Ok(()),
                // A member that holds most of the rate's units decides for all members.
                Outcome::Refused if response.units > TOTAL_UNITS / 2 => {
                    self.cache_refusal(workspace, response.retry_after_ms);
                    return Err(exceeded_refusal(response.retry_after_ms));
                }
                Outcome::Refused => {
                    let wait = response.retry_after_ms;
                    refused = Some(refused.map_or(wait, |least| least.min(wait)));
                }
                Outcome::NotOwner => {}
            }
            if responses >= MAX_MEMBER_RESPONSES {
                break;
            }
        }
        Err(refused.map_or_else(unavailable_refusal, exceeded_refusal))
    }

    /// Requests a token from one member.
    ///
    /// A response that took longer than `GRANT_VALIDITY` is dropped, since the member's lease may have
    /// expired in the meantime.
    async fn request_token(&self, vm: &str, workspace: &str) -> Option<TokenResponse> {
        let sent = Instant::now();
        let link = self.links.find(vm, sent)?;
        let request = TokenRequest {
            workspace: workspace.into(),
            tokens: 1,
        };
        match link.request(Body::TokenAsk(request), GRANT_VALIDITY).await {
            Ok(Body::TokenAnswer(response)) if sent.elapsed() <= GRANT_VALIDITY => Some(response),
            Ok(_) => {
                counter!("token_answers_late_total").increment(1);
                None
            }
            Err(error) => {
                counter!("token_asks_failed_total").increment(1);
                debug!("token request to {vm} failed: {error}");
                self.links.mark_suspect(vm, Instant::now() + SUSPECT_TIME);
                None
            }
        }
    }
}

fn exceeded_refusal(retry_after_ms: u32) -> RefusalResponse {
    RefusalResponse::not_run(
        RefusalReason::RateExceeded,
        "rate and burst of the workspace are used up",
    )
    .retry_after(Duration::from_millis(retry_after_ms.into()))
}

fn unavailable_refusal() -> RefusalResponse {
    RefusalResponse::not_run(
        RefusalReason::RateUnavailable,
        "no member that holds the rate responds",
    )
    .retry_after(UNAVAILABLE_RETRY_AFTER)
}
