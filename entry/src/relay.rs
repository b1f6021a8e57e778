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
    admission::{
        check_key,
        CallerIdentity, //
    },
    forward::{
        CheckedResponse,
        EventStream,
        ForwardClient,
        OutgoingRequest, //
    },
    idempotency::{
        create_or_find,
        RecordHandle,
        RecordLookup, //
        RecordedResponse,
    },
    response::{
        BodyStream, //
        CallerResponse,
        ResponseBody,
    },
    server::EntryState,
    service_queue::RequestPermit,
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
    permit: RequestPermit,
) -> Result<CallerResponse, RefusalResponse> {
    let record = match (&request.caller.idempotency_key, request.route.idempotent) {
        (Some(key), false) => {
            let parts: [&[u8]; 3] = [
                request.caller.method.as_str().as_bytes(),
                request.caller.path.as_bytes(),
                &request.body, //
            ];
            match create_or_find(
                &state.platform,
                &request.workspace,
                key,
                &parts,
                &request.caller.id,
            )
            .await?
            {
                RecordLookup::Created(record) => Some(record),
                RecordLookup::Completed(answer) => {
                    return Ok(complete_response(&request.caller.id, answer))
                }
            }
        }
        _ => None,
    };
    let forward = state.forward.clone();
    let id = request.caller.id.clone();
    let Some(record) = record else {
        let answer = run_until_withdrawn(state, &forward, &request, identity.as_ref()).await?;
        return Ok(to_response(state, &request, identity, answer, permit));
    };
    // A recorded run goes on when its caller hangs up, so that a resend finds the answer.
    let running = tokio::spawn(async move { run_recorded(&forward, &request, record).await });
    match running.await {
        Ok(answer) => answer.map(|answer| complete_response(&id, answer)),
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
) -> Result<RecordedResponse, RefusalResponse> {
    match forward.run(request).await {
        Ok(CheckedResponse::Complete {
            status,
            content_type,
            body,
        }) => {
            let answer = RecordedResponse {
                status,
                content_type,
                body,
            };
            record.store_response(&answer).await;
            Ok(answer)
        }
        Ok(CheckedResponse::Stream(_)) => {
            let detail = "idempotency-key does not go with a stream";
            Err(RefusalResponse::unknown(
                RefusalReason::RequestMalformed,
                detail,
            ))
        }
        Err(answer) => {
            if answer.state == RunState::NotRun {
                record.remove().await;
            }
            Err(answer)
        }
    }
}

/// Runs a request and gives it up when its key is withdrawn meanwhile.
async fn run_until_withdrawn(
    state: &EntryState,
    forward: &ForwardClient,
    request: &OutgoingRequest,
    identity: Option<&CallerIdentity>,
) -> Result<CheckedResponse, RefusalResponse> {
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

fn to_response(
    state: &EntryState,
    request: &OutgoingRequest,
    identity: Option<CallerIdentity>,
    answer: CheckedResponse,
    permit: RequestPermit,
) -> CallerResponse {
    let id = request.caller.id.clone();
    match answer {
        CheckedResponse::Complete {
            status,
            content_type,
            body,
        } => complete_response(
            &id,
            RecordedResponse {
                status,
                content_type,
                body,
            },
        ),
        CheckedResponse::Stream(answer) => CallerResponse {
            status: 200,
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", id.clone()),
            ],
            body: ResponseBody::Stream(forward_events(state.clone(), id, identity, answer, permit)),
        },
    }
}

fn complete_response(id: &CompactString, answer: RecordedResponse) -> CallerResponse {
    CallerResponse {
        status: answer.status,
        headers: vec![
            ("content-type", answer.content_type),
            ("x-request-id", id.clone()),
        ],
        body: ResponseBody::Complete(answer.body),
    }
}

/// Passes an engine's events on; a stream that can't be completed ends with an error event and
/// without the end marker.
fn forward_events(
    state: EntryState,
    id: CompactString,
    identity: Option<CallerIdentity>,
    mut answer: Box<EventStream>,
    permit: RequestPermit,
) -> BodyStream {
    let event_timeout = Duration::from_millis(state.settings.request_timeout_ms);
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
            let next = next_event(&state, &mut changes, identity.as_ref(), &mut answer, event_timeout).await;
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
    answer: &mut EventStream,
    event_timeout: Duration,
) -> Result<StreamEvent, RefusalResponse> {
    let withdrawn = async {
        match identity {
            Some(identity) => wait_for_withdrawal(&state.store, changes, identity).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        event = timeout(event_timeout, read_event(answer)) => {
            event.unwrap_or_else(|_| Err(RefusalResponse::unknown(RefusalReason::DeadlinePassed, "no further event")))
        }
        refused = withdrawn => Err(refused),
    }
}

async fn read_event(answer: &mut EventStream) -> Result<StreamEvent, RefusalResponse> {
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
