//! Runs admitted requests and passes their answers on.

use std::time::Duration;

use boragerill::{
    answer::StreamEvent,
    feed::SnapshotStore,
    refusal::{
        RefusalReason,
        RefusalResponse,
        RunState, //
    }, //
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use log::info;
use rocket::response::stream::stream;
use tokio::{
    sync::watch,
    time::timeout, //
};

use crate::{
    admit::{
        check_key,
        CallerIdentity, //
    },
    forward::{
        AnswerStream,
        CheckedAnswer,
        ForwardClient,
        OutgoingRequest, //
    },
    gate::GatePermit,
    record::{
        begin_run,
        RecordHandle,
        RecordedAnswer,
        RunPermit, //
    },
    reply::{
        EntryReply,
        ReplyBody,
        ReplyStream, //
    },
    server::EntryState,
};

/// Runs an admitted request, at most once in all when it carries an idempotency key.
///
/// # Errors
///
/// Returns the refusal or failure to answer with.
pub(crate) async fn run_request(
    state: &EntryState,
    request: OutgoingRequest,
    identity: Option<CallerIdentity>,
    permit: GatePermit,
) -> Result<EntryReply, RefusalResponse> {
    let record = match (&request.caller.idempotency_key, request.route.idempotent) {
        (Some(key), false) => {
            let parts: [&[u8]; 3] = [
                request.caller.method.as_str().as_bytes(),
                request.caller.path.as_bytes(),
                &request.body, //
            ];
            match begin_run(
                &state.platform,
                &request.workspace,
                key,
                &parts,
                &request.caller.id,
            )
            .await?
            {
                RunPermit::First(record) => Some(record),
                RunPermit::Ended(answer) => return Ok(recorded_reply(&request.caller.id, answer)),
            }
        }
        _ => None,
    };
    let forward = state.forward.clone();
    let id = request.caller.id.clone();
    let Some(record) = record else {
        let answer = run_guarded(state, &forward, &request, identity.as_ref()).await?;
        return Ok(to_reply(state, &request, identity, answer, permit));
    };
    // A recorded run goes on when its caller hangs up, so that a resend finds the answer.
    let running = tokio::spawn(async move { run_recorded(&forward, &request, record).await });
    match running.await {
        Ok(answer) => answer.map(|answer| recorded_reply(&id, answer)),
        Err(error) => Err(RefusalResponse::unknown(
            RefusalReason::ServerFailed,
            error.to_string(),
        )),
    }
}

async fn run_recorded(
    forward: &ForwardClient,
    request: &OutgoingRequest,
    record: RecordHandle,
) -> Result<RecordedAnswer, RefusalResponse> {
    match forward.run(request).await {
        Ok(CheckedAnswer::Whole {
            status,
            content_type,
            body,
        }) => {
            let answer = RecordedAnswer {
                status,
                content_type,
                body,
            };
            record.record_answer(&answer).await;
            Ok(answer)
        }
        Ok(CheckedAnswer::Stream(_)) => {
            let detail = "idempotency-key does not go with a stream";
            Err(RefusalResponse::unknown(
                RefusalReason::RequestMalformed,
                detail,
            ))
        }
        Err(answer) => {
            if answer.state == RunState::NotRun {
                record.withdraw().await;
            }
            Err(answer)
        }
    }
}

/// Runs a request and gives it up when its key is withdrawn meanwhile.
async fn run_guarded(
    state: &EntryState,
    forward: &ForwardClient,
    request: &OutgoingRequest,
    identity: Option<&CallerIdentity>,
) -> Result<CheckedAnswer, RefusalResponse> {
    let Some(identity) = identity else {
        return forward.run(request).await;
    };
    let mut changes = state.store.subscribe();
    tokio::select! {
        answer = forward.run(request) => answer,
        refused = wait_for_withdrawal(&state.store, &mut changes, identity) => Err(refused),
    }
}

/// Waits until a key no longer works, and returns the refusal for its running request.
async fn wait_for_withdrawal(
    store: &SnapshotStore,
    changes: &mut watch::Receiver<u64>,
    identity: &CallerIdentity,
) -> RefusalResponse {
    loop {
        if let Err(refused) = check_key(&store.load(), &identity.hash) {
            return RefusalResponse::unknown(refused.reason, refused.detail);
        }
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn to_reply(
    state: &EntryState,
    request: &OutgoingRequest,
    identity: Option<CallerIdentity>,
    answer: CheckedAnswer,
    permit: GatePermit,
) -> EntryReply {
    let id = request.caller.id.clone();
    match answer {
        CheckedAnswer::Whole {
            status,
            content_type,
            body,
        } => recorded_reply(
            &id,
            RecordedAnswer {
                status,
                content_type,
                body,
            },
        ),
        CheckedAnswer::Stream(answer) => EntryReply {
            status: 200,
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", id.clone()),
            ],
            body: ReplyBody::Stream(pass_on(state.clone(), id, identity, answer, permit)),
        },
    }
}

fn recorded_reply(id: &CompactString, answer: RecordedAnswer) -> EntryReply {
    EntryReply {
        status: answer.status,
        headers: vec![
            ("content-type", answer.content_type),
            ("x-request-id", id.clone()),
        ],
        body: ReplyBody::Whole(answer.body),
    }
}

/// Passes an engine's events on; a stream that can't be completed ends with an error event and
/// without the end marker.
fn pass_on(
    state: EntryState,
    id: CompactString,
    identity: Option<CallerIdentity>,
    mut answer: Box<AnswerStream>,
    permit: GatePermit,
) -> ReplyStream {
    let patience = Duration::from_millis(state.settings.request_timeout_ms);
    stream! {
        let _permit = permit;
        let mut changes = state.store.subscribe();
        let mut event = answer.first.clone();
        loop {
            match event {
                StreamEvent::Done(bytes) => {
                    yield bytes;
                    return;
                }
                StreamEvent::Part(bytes) => yield bytes,
            }
            let next = next_event(&state, &mut changes, identity.as_ref(), &mut answer, patience).await;
            event = match next {
                Ok(event) => event,
                Err(refused) => {
                    info!("request {id}: stream from {} broke: {}", answer.server, refused.detail);
                    refused.count();
                    yield Bytes::from(format!("data: {}\n\n", refused.body(&id)));
                    return;
                }
            };
        }
    }
    .boxed()
}

async fn next_event(
    state: &EntryState,
    changes: &mut watch::Receiver<u64>,
    identity: Option<&CallerIdentity>,
    answer: &mut AnswerStream,
    patience: Duration,
) -> Result<StreamEvent, RefusalResponse> {
    let withdrawn = async {
        match identity {
            Some(identity) => wait_for_withdrawal(&state.store, changes, identity).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        event = timeout(patience, read_event(answer)) => {
            event.unwrap_or_else(|_| Err(RefusalResponse::unknown(RefusalReason::DeadlinePassed, "no further event")))
        }
        refused = withdrawn => Err(refused),
    }
}

async fn read_event(answer: &mut AnswerStream) -> Result<StreamEvent, RefusalResponse> {
    let broken = |detail: String| RefusalResponse::unknown(RefusalReason::ServerFailed, detail);
    loop {
        match answer.scanner.next_event() {
            Ok(Some(event)) => return Ok(event),
            Ok(None) => {}
            Err(fault) => return Err(broken(format!("stream {fault:?}"))),
        }
        match answer.response.chunk().await {
            Ok(Some(bytes)) => answer.scanner.push(&bytes),
            Ok(None) => return Err(broken("stream ended without its end marker".to_owned())),
            Err(error) => return Err(broken(error.to_string())),
        }
    }
}
