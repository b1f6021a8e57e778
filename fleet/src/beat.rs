//! Heartbeats between VMs: datagrams that say who is there and how many requests each has where.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    allowance::UseReport,
    generated::messages::{
        Beat,
        DemandNote,
        JobNote,
        MemberNote,
        PlaceNote,
        UseNote, //
    },
    member::{
        BeatVerdict,
        MemberFacts, //
    },
    place::{
        PlaceDemand,
        PlaceUse, //
    },
    sync::lock,
    timer::TimerService, //
};
use log::{
    info,
    warn, //
};
use metrics::{
    counter,
    gauge, //
};
use prost::Message;
use tokio::{
    net::UdpSocket,
    time::sleep, //
};

use crate::{
    jobs::JobNotice,
    peers,
    relay::millis,
    state::FleetState,
    takeover, //
};

/// Period of whole heartbeats.
const BEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time for which changes are collected before they are told.
const COLLECT_TIME: Duration = Duration::from_millis(2);

/// Period of asking the seeds for the other VMs until one answers.
const JOIN_PERIOD: Duration = Duration::from_millis(200);

/// Whole heartbeats between two that tell which VMs the sender knows.
const MEMBER_BEATS: u64 = 12;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives heartbeats.
pub(crate) struct BeatSocket {
    state: Arc<FleetState>,
    socket: UdpSocket,
    sequence: AtomicU64,
    told: Mutex<Vec<(u32, PlaceUse)>>, // Sorted by the server's key.
    told_demands: Mutex<Vec<PlaceDemand>>,
    fetching: Arc<AtomicBool>,
}

impl BeatSocket {
    /// Uses a bound socket.
    pub(crate) fn new(state: Arc<FleetState>, socket: UdpSocket) -> BeatSocket {
        BeatSocket {
            state,
            socket,
            sequence: AtomicU64::new(1),
            told: Mutex::default(),
            told_demands: Mutex::default(),
            fetching: Arc::default(),
        }
    }

    /// Sends whole heartbeats periodically and changes as soon as they come.
    pub(crate) async fn send_beats(&self) {
        let mut timer = TimerService::default();
        let mut ticks = timer.subscribe(BEAT_PERIOD);
        loop {
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    self.send_whole().await;
                }
                () = self.state.backends.changed.notified() => {
                    // Changes that come together go out together.
                    sleep(COLLECT_TIME).await;
                    self.send_changes().await;
                }
            }
        }
    }

    /// Asks the seeds for the other VMs whenever none is heard.
    pub(crate) async fn join(&self) {
        loop {
            if lock(&self.state.members).heard_size(Instant::now()) == 1 {
                let beat = Beat {
                    joins: true,
                    ..self.whole_beat()
                };
                let bytes = beat.encode_to_vec();
                for address in self.seed_addresses() {
                    self.send_to(&bytes, address).await;
                }
            }
            sleep(JOIN_PERIOD).await;
        }
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let own = lock(&self.state.members).own().address.clone();
        let port = self.state.settings.peer_port;
        let seeds = self.state.seeds();
        let hosts = seeds
            .iter()
            .map(|seed| seed.split(':').next().unwrap_or_default());
        hosts
            .filter_map(|host| format!("{host}:{port}").parse().ok())
            .filter(|address: &SocketAddr| address.to_string() != own)
            .collect()
    }

    /// Receives heartbeats.
    pub(crate) async fn receive_beats(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    warn!(error = error.to_string().as_str(); "no heartbeat received");
                    sleep(COLLECT_TIME).await;
                    continue;
                }
            };
            match Beat::decode(&buffer[..length]) {
                Ok(beat) => self.receive(beat, from).await,
                Err(error) => {
                    counter!("beats_malformed_total").increment(1);
                    warn!(peer = from.to_string().as_str(), error = error.to_string().as_str(); "heartbeat can't be read");
                }
            }
        }
    }

    async fn send_whole(&self) {
        let now = Instant::now();
        self.note_silence(now);
        let mut beat = self.whole_beat();
        if beat.sequence % MEMBER_BEATS == 0 {
            beat.members = self.known_members();
        }
        self.send_all(&beat, now).await;
    }

    /// Sends what has changed since the last heartbeat.
    async fn send_changes(&self) {
        let places = self.changed_places();
        let uses = lock(&self.state.allowances).take_changes();
        let demands = self.state.backends.own_demands();
        let same = std::mem::replace(&mut *lock(&self.told_demands), demands.clone()) == demands;
        if places.is_empty() && uses.is_empty() && same {
            return;
        }
        let beat = Beat {
            places,
            uses: uses.into_iter().map(use_note).collect(),
            ..self.empty_beat()
        };
        self.send_all(&beat, Instant::now()).await;
    }

    async fn send_all(&self, beat: &Beat, now: Instant) {
        let bytes = beat.encode_to_vec();
        let addresses: Vec<SocketAddr> = {
            let members = lock(&self.state.members);
            // Silent VMs hear whole heartbeats only, by which they are found again.
            let targets = members
                .members()
                .iter()
                .filter(|member| beat.full || member.is_heard(now));
            targets
                .filter_map(|member| member.facts.address.parse().ok())
                .collect()
        };
        counter!("beat_bytes_sent_total").increment((bytes.len() * addresses.len()) as u64);
        for address in addresses {
            self.send_to(&bytes, address).await;
        }
    }

    async fn send_to(&self, bytes: &[u8], address: SocketAddr) {
        // A lost heartbeat is made up for by the next one.
        if self.socket.send_to(bytes, address).await.is_err() {
            counter!("beats_unsent_total").increment(1);
        }
    }

    fn empty_beat(&self) -> Beat {
        Beat {
            sender: self.state.vm_hash,
            incarnation: self.state.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            catalog: self.state.catalog.version(),
            backends: self.state.backends.read(|table| table.through()),
            ends: self.state.ends.through(),
            demands: self.demand_notes(),
            ..Default::default()
        }
    }

    fn demand_notes(&self) -> Vec<DemandNote> {
        let demands = self.state.backends.own_demands();
        let notes = demands.into_iter().map(|demand| DemandNote {
            service: demand.service,
            waiting: demand.waiting,
            due_ms: demand.due_ms,
        });
        notes.collect()
    }

    fn whole_beat(&self) -> Beat {
        let now = Instant::now();
        let own = lock(&self.state.members).own().clone();
        Beat {
            member: Some(member_note(&own)),
            full: true,
            places: self.all_places(),
            uses: lock(&self.state.allowances)
                .uses()
                .into_iter()
                .map(use_note)
                .collect(),
            jobs: self.job_notes(now),
            ..self.empty_beat()
        }
    }

    fn all_places(&self) -> Vec<PlaceNote> {
        let servers = self.state.backends.all();
        let uses: Vec<(u32, PlaceUse)> = servers
            .iter()
            .map(|state| (state.key, state.used()))
            .filter(|(_, used)| used.total() > 0)
            .collect();
        let notes = uses.iter().map(|&(key, used)| place_note(key, used));
        let notes = notes.collect();
        let mut told = lock(&self.told);
        *told = uses;
        told.sort_by_key(|entry| entry.0);
        notes
    }

    fn changed_places(&self) -> Vec<PlaceNote> {
        let servers = self.state.backends.all();
        let mut told = lock(&self.told);
        let mut notes = Vec::new();
        for server in servers.iter() {
            let used = server.used();
            match told.binary_search_by_key(&server.key, |entry| entry.0) {
                Ok(index) if told[index].1 == used => continue,
                Ok(index) => told[index].1 = used,
                Err(_) if used.total() == 0 => continue,
                Err(index) => told.insert(index, (server.key, used)),
            }
            notes.push(place_note(server.key, used));
        }
        notes
    }

    fn job_notes(&self, now: Instant) -> Vec<JobNote> {
        let entries = self.state.jobs.all();
        let notes = entries.iter().map(|entry| {
            let waiting_tokens = entry.waiting_tokens();
            let progress = lock(&entry.progress);
            JobNote {
                id: entry.id.to_string(),
                age_ms: age_ms(entry.submitted, now),
                waiting_tokens,
                account: entry.account(),
                closed: progress.is_closed(),
                chunks: progress.chunks(),
            }
        });
        notes.collect()
    }

    fn known_members(&self) -> Vec<MemberNote> {
        let members = lock(&self.state.members);
        let notes = members.members().iter();
        notes.map(|member| member_note(&member.facts)).collect()
    }

    /// Drops what silent VMs reported, and notes those that have just fallen silent.
    fn note_silence(&self, now: Instant) {
        let (gone, silent) = {
            let mut members = lock(&self.state.members);
            let gone = members.forget_silent(now);
            let silent: Vec<MemberFacts> = members
                .members()
                .iter()
                .filter(|member| {
                    !member.is_heard(now)
                        && member.is_heard(now.checked_sub(BEAT_PERIOD).unwrap_or(now))
                })
                .map(|member| member.facts.clone())
                .collect();
            gauge!("members_heard").set(members.heard_size(now) as f64);
            gauge!("members").set(members.fleet_size() as f64);
            (gone, silent)
        };
        for facts in &silent {
            info!(vm = facts.vm.as_str(), domain = facts.domain.as_str(); "VM not heard any more");
        }
        if !silent.is_empty() {
            self.settle_allowances(now);
        }
        for vm in gone.iter().copied() {
            self.state
                .backends
                .update_places(|places| places.forget_vm(vm));
        }
    }

    fn settle_allowances(&self, now: Instant) {
        let share = self.state.fleet_share(now);
        lock(&self.state.allowances).settle(share, now);
    }

    async fn receive(&self, beat: Beat, from: SocketAddr) {
        let now = Instant::now();
        if beat.sender == self.state.vm_hash {
            return;
        }
        let joins = beat.joins;
        let silence = match &beat.member {
            Some(member) => {
                // Earnings up to now go by the part of the fleet that was heard.
                let verdict = {
                    let mut members = lock(&self.state.members);
                    members.note_beat(facts_of(member), beat.sequence, now)
                };
                if verdict == BeatVerdict::Stale && !joins {
                    return;
                }
                if matches!(verdict, BeatVerdict::Returned(_)) {
                    info!(vm = member.vm.as_str(), domain = member.domain.as_str(), incarnation = member.incarnation; "VM heard");
                    self.settle_allowances(now);
                }
                match verdict {
                    BeatVerdict::Returned(silence) => Some(silence),
                    BeatVerdict::Stale | BeatVerdict::Current => None,
                }
            }
            None => {
                let mut members = lock(&self.state.members);
                if !members.note_update(beat.sender, beat.incarnation, beat.sequence, now) {
                    return;
                }
                None
            }
        };
        self.learn_members(&beat, now);
        self.take_state(&beat, silence, now);
        self.fetch_newer(&beat, from);
        if joins {
            let answer = Beat {
                members: self.known_members(),
                ..self.whole_beat()
            };
            self.send_to(&answer.encode_to_vec(), from).await;
        }
    }

    fn learn_members(&self, beat: &Beat, now: Instant) {
        let mut members = lock(&self.state.members);
        for note in &beat.members {
            members.learn(facts_of(note), now);
        }
    }

    fn take_state(&self, beat: &Beat, silence: Option<Duration>, now: Instant) {
        let uses: Vec<(u32, PlaceUse)> = beat
            .places
            .iter()
            .map(|note| {
                let used = PlaceUse {
                    online: note.online,
                    batch: note.batch,
                };
                (note.server, used)
            })
            .collect();
        let demands = beat.demands.iter().map(|note| PlaceDemand {
            service: note.service,
            waiting: note.waiting,
            due_ms: note.due_ms,
        });
        self.state
            .backends
            .note_demands(beat.sender, demands.collect(), now);
        if beat.full || !uses.is_empty() {
            self.state.backends.update_places(|places| {
                if beat.full {
                    places.note_all(beat.sender, &uses, now);
                    return;
                }
                for &(server, used) in &uses {
                    places.note(beat.sender, server, used, now);
                }
            });
            self.state.jobs.work.notify_one();
        }
        let share = self.state.fleet_share(now);
        let mut allowances = lock(&self.state.allowances);
        for note in &beat.uses {
            let report = UseReport {
                vm: beat.sender,
                incarnation: beat.incarnation,
                workspace: note.workspace,
                used: note.used,
                silence,
            };
            allowances.note_use(report, share, now);
        }
        drop(allowances);
        for note in &beat.jobs {
            self.take_job(note, beat.sender, now);
        }
    }

    fn take_job(&self, note: &JobNote, vm: u64, now: Instant) {
        let age = Duration::from_millis(note.age_ms.into());
        let notice = JobNotice {
            id: note.id.as_str().into(),
            vm,
            submitted: now.checked_sub(age).unwrap_or(now),
            waiting_tokens: note.waiting_tokens,
            account: note.account,
            closed: note.closed,
            chunks: note.chunks,
            noted: now,
        };
        takeover::compare(&self.state, &notice);
        self.state.jobs.note(notice);
    }

    /// Fetches what the sender knows and this VM doesn't yet.
    fn fetch_newer(&self, beat: &Beat, from: SocketAddr) {
        let state = &self.state;
        let catalog = beat.catalog > state.catalog.version();
        let backends = beat.backends > state.backends.read(|table| table.through())
            || beat.ends > state.ends.through();
        if !catalog && !backends || self.fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let (state, address) = (state.clone(), from.to_string());
        let fetching = self.fetching.clone();
        tokio::spawn(async move {
            let fetched = async {
                if catalog {
                    peers::fetch_catalog(&state, &address).await?;
                }
                if backends {
                    peers::fetch_backends(&state, &address).await?;
                }
                Ok::<(), boragerill::error::ServeError>(())
            };
            let result = fetched.await;
            fetching.store(false, Ordering::Relaxed);
            if let Err(error) = result {
                info!(peer = address.as_str(), error = error.to_string().as_str(); "newer state not fetched");
            }
        });
    }
}

fn member_note(facts: &MemberFacts) -> MemberNote {
    MemberNote {
        vm: facts.vm.to_string(),
        address: facts.address.to_string(),
        domain: facts.domain.to_string(),
        incarnation: facts.incarnation,
        leaving: facts.leaving,
        follows: facts.follows,
    }
}

/// Reads what a VM says of itself or of another.
pub(crate) fn facts_of(note: &MemberNote) -> MemberFacts {
    MemberFacts {
        vm: note.vm.as_str().into(),
        address: note.address.as_str().into(),
        domain: note.domain.as_str().into(),
        incarnation: note.incarnation,
        leaving: note.leaving,
        follows: note.follows,
    }
}

fn place_note(key: u32, used: PlaceUse) -> PlaceNote {
    PlaceNote {
        server: key,
        online: used.online,
        batch: used.batch,
    }
}

fn use_note((workspace, used): (u64, u64)) -> UseNote {
    UseNote { workspace, used }
}

fn age_ms(since: Instant, now: Instant) -> u32 {
    u32::try_from(millis(now.saturating_duration_since(since))).unwrap_or(u32::MAX)
}
