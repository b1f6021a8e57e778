//! Finds out which software version began a stream that a caller takes up again.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    backend::BackendTable,
    catalog::RouteKind,
    generated::messages::{
        envelope::Body,
        Heartbeat,
        StreamNotice,
        StreamOriginRequest,
        StreamOriginResponse, //
    },
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    stream_version::{
        ServiceKey,
        StreamKey,
        StreamOrigin,
        StreamTable,
        VersionKey, //
    },
    sync::lock,
    timer::millis, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use log::info;
use metrics::counter;
use tokio::time::sleep;

use crate::{
    admission::AdmittedRequest,
    backends::BackendState,
    caller::header_text,
    peers,
    state::FleetState,
    state_fetch::{
        has_confirmed_servers,
        servers_confirmed,
        FetchedState, //
    }, //
};

/// Number of VMs that are asked for the version of a stream: those that have run the longest.
const ASKED_VMS: usize = 3;

/// Time within which these VMs have to respond.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after the start of a VM within which it hears of the others and loads the stored versions.
const JOIN_TIME: Duration = Duration::from_millis(600);

/// Interval at which a VM that has just started asks again.
const JOIN_RETRY_PERIOD: Duration = Duration::from_millis(40);

/// Most streams in one heartbeat; the next one carries further ones.
const NOTICE_STREAMS: usize = 1000;

/// Retry delay for callers whose stream can't go on: they have to begin it anew.
pub(crate) const ANEW_RETRY: Duration = Duration::from_millis(50);

/// Streams that were begun lately.
#[derive(Debug, Default)]
pub(crate) struct StreamRegistry {
    table: Mutex<StreamTable>,
}

impl StreamRegistry {
    /// Records that a server has sent the first event of a stream that can be taken up again.
    pub(crate) fn record_start(&self, request: &str, server: &BackendState) {
        let origin = StreamOrigin {
            stream: hash_name(request),
            version: server.version,
        };
        let service = hash_name(&server.server.service);
        lock(&self.table).record_own(service, origin, Instant::now());
    }

    /// Adds the streams that other VMs have to know and that haven't been reported to a heartbeat, and returns whether there
    /// are any: those of services with several versions, and all while the list of servers isn't confirmed, since no VM may
    /// be able to vouch for their version then.
    pub(crate) fn add_new(&self, heartbeat: &mut Heartbeat, state: &FleetState) -> bool {
        let is_confirmed = has_confirmed_servers(state, Instant::now());
        let is_needed = |service| !is_confirmed || state.backends.has_mixed_versions(service);
        let origins = lock(&self.table).take_unreported(is_needed, NOTICE_STREAMS);
        heartbeat.streams = stream_notices(origins);
        !heartbeat.streams.is_empty()
    }

    /// Records the streams in another VM's heartbeat.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) {
        let mut table = lock(&self.table);
        for notice in &heartbeat.streams {
            for &stream in &notice.streams {
                let version = notice.version;
                table.record(StreamOrigin { stream, version }, now);
            }
        }
    }

    /// Removes old records.
    pub(crate) fn prune(&self, now: Instant) {
        lock(&self.table).prune(now);
    }

    fn find(&self, stream: StreamKey) -> Option<VersionKey> {
        lock(&self.table).find(stream)
    }
}

/// Sets the version at which a request has to run, if it takes a stream up again.
///
/// # Errors
///
/// Returns a refusal if it is unknown which version began the stream.
pub(crate) async fn pin_version(
    state: &FleetState,
    request: &mut AdmittedRequest,
) -> Result<(), RefusalResponse> {
    let names = &state.format.names;
    let headers = &request.outgoing.headers;
    let is_stream = matches!(request.route.kind, RouteKind::Stream(_));
    if !is_stream || !headers.contains_key(&names.last_event) {
        return Ok(());
    }
    let resumed = header_text(headers, &names.resumed_request).map(hash_name);
    let service = hash_name(&request.service);
    let found = match known_version(state, resumed, service) {
        Some(found) => Some(found),
        None => ask_until_joined(state, resumed, service).await,
    };
    let version = found.map(|found| found.version);
    counter!("streams_taken_up_total", "known" => if version.is_some() { "yes" } else { "no" })
        .increment(1);
    info!(
        request = request.outgoing.id.as_str(),
        resumed_request = header_text(headers, &names.resumed_request),
        version = version.map(|version| state.backends.version_name(version)).as_deref(),
        source = found.map(|found| found.source.name()),
        source_vm = found.and_then(|found| found.vm).map(|vm| vm_name(state, vm)).as_deref(),
        servers = state.backends.read(BackendTable::through),
        unconfirmed_ms = state.fetches.unconfirmed_for(FetchedState::Backends).map(millis);
        "stream taken up"
    );
    if version.is_none() {
        let detail = "the version of the servers that began the stream is unknown";
        let refused = RefusalResponse::not_run(RefusalReason::VersionUnknown, detail);
        return Err(refused.retry_after(ANEW_RETRY));
    }
    request.version = version;
    Ok(())
}

/// Returns the only version that can have begun a stream of a service, unless this VM may have missed others.
pub(crate) fn sole_version(state: &FleetState, service: ServiceKey) -> Option<VersionKey> {
    let confirmed = servers_confirmed(state, Instant::now());
    state.backends.sole_version(service, confirmed)
}

/// How the version that began a stream is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum VersionSource {
    /// By a record of the stream.
    Record,
    /// No other version has served in the lifetime of a stream.
    SoleVersion,
}

impl VersionSource {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            VersionSource::Record => "record",
            VersionSource::SoleVersion => "sole version",
        }
    }
}

/// Version that began a stream, and how it is known.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: VersionKey,
    source: VersionSource,
    vm: Option<u64>, // Hash of the name of the VM that knows it; `None` if this one does.
}

/// Returns the version that began a stream, if this VM knows it.
fn known_version(
    state: &FleetState,
    stream: Option<StreamKey>,
    service: ServiceKey,
) -> Option<KnownVersion> {
    let own = |version, source| KnownVersion {
        version,
        source,
        vm: None,
    };
    let known = stream.and_then(|stream| state.streams.find(stream));
    let known = known.map(|version| own(version, VersionSource::Record));
    let sole = || sole_version(state, service);
    known.or_else(|| sole().map(|version| own(version, VersionSource::SoleVersion)))
}

/// Returns the name of a VM, for logs.
fn vm_name(state: &FleetState, vm: u64) -> CompactString {
    let members = lock(&state.members);
    let found = members.members().iter().find(|member| member.hash == vm);
    found.map_or_else(
        || format_compact!("{vm:x}"),
        |member| member.info.vm.clone(),
    )
}

/// Asks other VMs for the version of a stream. A VM that has just started doesn't know them yet, and asks until
/// [`JOIN_TIME`] after its start.
async fn ask_until_joined(
    state: &FleetState,
    stream: Option<StreamKey>,
    service: ServiceKey,
) -> Option<KnownVersion> {
    loop {
        let asked = Instant::now();
        let found = ask_vms(state, stream, service).await;
        if found.is_some() || asked >= state.started + JOIN_TIME {
            return found;
        }
        sleep(JOIN_RETRY_PERIOD).await;
        if let Some(found) = known_version(state, stream, service) {
            return Some(found);
        }
    }
}

/// Asks the VMs that have run the longest for the version of a stream; returns the first version that one of them
/// knows.
async fn ask_vms(
    state: &FleetState,
    stream: Option<StreamKey>,
    service: ServiceKey,
) -> Option<KnownVersion> {
    let now = Instant::now();
    let mut vms: Vec<(u64, u64)> = {
        let members = lock(&state.members);
        let reachable = members.members().iter();
        let reachable = reachable.filter(|member| member.is_reachable(now));
        reachable
            .map(|member| (member.info.incarnation, hash_name(&member.info.vm)))
            .collect()
    };
    vms.sort_unstable();
    let request = StreamOriginRequest { stream, service };
    let ask = |vm| async move {
        let body = Body::StreamOriginAsk(request);
        (vm, peers::request(state, vm, body, ASK_TIMEOUT).await)
    };
    let asked = vms.iter().take(ASKED_VMS).map(|&(_, vm)| ask(vm));
    let mut answers: FuturesUnordered<_> = asked.collect();
    let mut sole = None;
    while let Some((vm, answer)) = answers.next().await {
        let found = |version, source| KnownVersion {
            version,
            source,
            vm: Some(vm),
        };
        match answer {
            Ok(Body::StreamOrigin(origin)) => {
                if let Some(version) = origin.version {
                    return Some(found(version, VersionSource::Record));
                }
                let stated = origin.sole_version;
                sole = sole.or(stated.map(|version| found(version, VersionSource::SoleVersion)));
            }
            Ok(_) => {}
            Err(error) => {
                info!(error = error.to_string().as_str(); "asking for the version of a stream failed");
            }
        }
    }
    sole
}

/// Responds to another VM that asks for the version of a stream.
pub(crate) fn stream_origin_response(
    state: &FleetState,
    request: &StreamOriginRequest,
) -> StreamOriginResponse {
    let known = request.stream.and_then(|stream| state.streams.find(stream));
    StreamOriginResponse {
        version: known,
        sole_version: sole_version(state, request.service),
    }
}

/// Groups streams by version.
fn stream_notices(mut origins: Vec<StreamOrigin>) -> Vec<StreamNotice> {
    origins.sort_unstable_by_key(|origin| origin.version);
    let groups = origins.chunk_by(|one, other| one.version == other.version);
    groups
        .map(|group| StreamNotice {
            version: group[0].version,
            streams: group.iter().map(|origin| origin.stream).collect(),
        })
        .collect()
}
