//! Runs admitted requests and forwards their responses to the callers.

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
        RecordLookup,
        RecordedResponse, //
    },
    response::{
        BodyStream,
        CallerResponse,
        ResponseBody, //
    },
    server::EntryState,
    service_queue::RequestPermit,
};

/// Runs an admitted request.
///
/// A non-idempotent request with an idempotency key runs at most once, also if it is resent.
///
/// # Errors
///
/// Returns the refusal or failure that the caller gets.
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
                RecordLookup::Completed(response) => {
                    return Ok(complete_response(&request.caller.id, response))
                }
            }
        }
        _ => None,
    };
    let forward = state.forward.clone();
    let id = request.caller.id.clone();
    let Some(record) = record else {
        let response = run_until_withdrawn(state, &forward, &request, identity.as_ref()).await?;
        return Ok(to_response(state, &request, identity, response, permit));
    };
    // A recorded run continues if its caller hangs up, so that a resend finds the response.
    let running = tokio::spawn(async move { run_recorded(&forward, &request, record).await });
    match running.await {
        Ok(response) => response.map(|response| complete_response(&id, response)),
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
            let response = RecordedResponse {
                status,
                content_type,
                body,
            };
            record.store_response(&response).await;
            Ok(response)
        }
        Ok(CheckedResponse::Stream(_)) => {
            let detail = "idempotency-key can't be combined with a stream";
            Err(RefusalResponse::unknown(
                RefusalReason::RequestMalformed,
                detail,
            ))
        }
        Err(refusal) => {
            if refusal.state == RunState::NotRun {
                record.remove().await;
            }
            Err(refusal)
        }
    }
}

/// Runs a request, and abandons it if its API key is withdrawn in the meantime.
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
        response = forward.run(request) => response,
        refused = wait_for_withdrawal(&state.store, &mut changes, identity) => Err(refused),
    }
}

/// Waits until a key is withdrawn or removed, and returns the refusal for the running request.
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
    response: CheckedResponse,
    permit: RequestPermit,
) -> CallerResponse {
    let id = request.caller.id.clone();
    match response {
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
        CheckedResponse::Stream(events) => CallerResponse {
            status: 200,
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", id.clone()),
            ],
            body: ResponseBody::Stream(forward_events(state.clone(), id, identity, events, permit)),
        },
    }
}

fn complete_response(id: &CompactString, response: RecordedResponse) -> CallerResponse {
    CallerResponse {
        status: response.status,
        headers: vec![
            ("content-type", response.content_type),
            ("x-request-id", id.clone()),
        ],
        body: ResponseBody::Complete(response.body),
    }
}

/// Forwards an engine's events to the caller.
///
/// A stream that breaks off ends with an error event in place of the end marker.
fn forward_events(
    state: EntryState,
    id: CompactString,
    identity: Option<CallerIdentity>,
    mut events: Box<EventStream>,
    permit: RequestPermit,
) -> BodyStream {
    let event_timeout = Duration::from_millis(state.settings.request_timeout_ms);
    stream! {
        let _permit = permit;
        let mut changes = state.store.subscribe();
        let mut event = events.first.clone();
        loop {
            match event {
                StreamEvent::Done(bytes) => {
                    yield bytes;
                    return;
                }
                StreamEvent::Part(bytes) => yield bytes,
            }
            let next = next_event(&state, &mut changes, identity.as_ref(), &mut events, event_timeout).await;
            event = match next {
                Ok(event) => event,
                Err(refused) => {
                    info!("request {id}: stream from {} failed: {}", events.server, refused.detail);
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
    events: &mut EventStream,
    event_timeout: Duration,
) -> Result<StreamEvent, RefusalResponse> {
    let withdrawn = async {
        match identity {
            Some(identity) => wait_for_withdrawal(&state.store, changes, identity).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        event = timeout(event_timeout, read_event(events)) => {
            event.unwrap_or_else(|_| Err(RefusalResponse::unknown(RefusalReason::DeadlinePassed, "timed out waiting for the next event")))
        }
        refused = withdrawn => Err(refused),
    }
}

async fn read_event(events: &mut EventStream) -> Result<StreamEvent, RefusalResponse> {
    let broken = |detail: String| RefusalResponse::unknown(RefusalReason::ServerFailed, detail);
    loop {
        match events.scanner.next_event() {
            Ok(Some(event)) => return Ok(event),
            Ok(None) => {}
            Err(fault) => return Err(broken(format!("stream {fault:?}"))),
        }
        match events.response.chunk().await {
            Ok(Some(bytes)) => events.scanner.push(&bytes),
            Ok(None) => return Err(broken("stream ended without its end marker".to_owned())),
            Err(error) => return Err(broken(error.to_string())),
        }
    }
}
