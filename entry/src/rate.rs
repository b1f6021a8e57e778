//! Asks the owner of a workspace's bucket for tokens.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    feed::SnapshotStore,
    generated::messages::{
        envelope::Body,
        token_answer::Outcome,
        Hello,
        TokenAnswer,
        TokenAsk, //
    },
    links::LinkTable,
    rank::ranking,
    refusal::{
        RefusalAnswer,
        RefusalReason, //
    },
    roster::TOTAL_UNITS,
    share::GRANT_VALIDITY,
    snapshot::WorkspaceRecord, //
};
use log::debug;
use metrics::counter;

/// Members asked for one request.
const ASKED_MEMBERS: usize = 4;

/// Time for which a member that didn't answer is passed over.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// When a caller may come back while no member holds the rate.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// Connections to the members that may own buckets.
#[derive(Clone, Debug)]
pub(crate) struct RateClient {
    links: LinkTable,
}

impl RateClient {
    pub(crate) fn new(vm: &str) -> RateClient {
        RateClient {
            links: LinkTable::new(Hello {
                vm: vm.into(),
                incarnation: 0,
            }),
        }
    }

    /// Follows the roster for as long as the process runs.
    pub(crate) async fn follow_roster(self, store: Arc<SnapshotStore>) {
        let mut changes = store.subscribe();
        loop {
            if let Some(roster) = store.load().roster() {
                self.links.update(roster, "", |_| {});
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes one token of a workspace.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the rate is used up or no member holds it.
    pub(crate) async fn take(
        &self,
        store: &SnapshotStore,
        workspace: &WorkspaceRecord,
    ) -> Result<(), RefusalAnswer> {
        let snapshot = store.load();
        let roster = snapshot.roster().ok_or_else(unavailable)?;
        let mut refused: Option<u32> = None;
        let order = ranking(workspace.limit.hash, roster.hashes());
        let mut asked = 0;
        for index in order {
            let vm = &roster.members()[index].vm;
            let Some(answer) = self.ask(vm, &workspace.name).await else {
                continue;
            };
            asked += 1;
            match answer.outcome() {
                Outcome::Granted => return Ok(()),
                // A member that holds most of the rate speaks for the others.
                Outcome::Refused if answer.units > TOTAL_UNITS / 2 => {
                    return Err(exceeded(answer.retry_after_ms))
                }
                Outcome::Refused => {
                    let wait = answer.retry_after_ms;
                    refused = Some(refused.map_or(wait, |least| least.min(wait)));
                }
                Outcome::NotOwner => {}
            }
            if asked >= ASKED_MEMBERS {
                break;
            }
        }
        Err(refused.map_or_else(unavailable, exceeded))
    }

    /// Asks one member; an answer that took too long doesn't count, since the member's lease may have
    /// ended meanwhile.
    async fn ask(&self, vm: &str, workspace: &str) -> Option<TokenAnswer> {
        let sent = Instant::now();
        let link = self.links.find(vm, sent)?;
        let ask = TokenAsk {
            workspace: workspace.into(),
            tokens: 1,
        };
        match link.request(Body::TokenAsk(ask), GRANT_VALIDITY).await {
            Ok(Body::TokenAnswer(answer)) if sent.elapsed() <= GRANT_VALIDITY => Some(answer),
            Ok(_) => {
                counter!("token_answers_late_total").increment(1);
                None
            }
            Err(error) => {
                counter!("token_asks_failed_total").increment(1);
                debug!("token ask: {error}");
                self.links.suspect(vm, Instant::now() + SUSPECT_TIME);
                None
            }
        }
    }
}

fn exceeded(retry_after_ms: u32) -> RefusalAnswer {
    RefusalAnswer::not_run(
        RefusalReason::RateExceeded,
        "rate and burst of the workspace are used up",
    )
    .retry_after(Duration::from_millis(retry_after_ms.into()))
}

fn unavailable() -> RefusalAnswer {
    RefusalAnswer::not_run(
        RefusalReason::RateUnavailable,
        "no member that holds the rate answers",
    )
    .retry_after(UNAVAILABLE_RETRY)
}
