//! Keeps this VM on the roster and hands on the units of VMs that are gone.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    config::Version,
    error::ServeError,
    feed::AGE_UNKNOWN,
    generated::messages::{
        ConfigDelta,
        ConfigObject, //
    },
    kinds::{
        MemberSpec,
        RosterSpec, //
    },
    platform::{
        Expected,
        ListedVm, //
    },
    roster::{
        plan_join,
        plan_removal,
        plan_transfer,
        surplus_units, //
    },
    timer::TimerService, //
};
use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use tokio::time::sleep;

use crate::hub::ControlHub;

/// Listings in a row that must lack a VM before its units are handed on.
const ABSENCES: u32 = 2;

/// First pause after a conflict; each further one doubles.
const CONFLICT_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a conflict.
const CONFLICT_PAUSE_LIMIT: Duration = Duration::from_millis(800);

/// Attempts within one period.
const CONFLICT_ATTEMPTS: u32 = 12;

/// Absences seen so far.
#[derive(Debug, Default)]
struct AbsenceCount {
    entries: Vec<(CompactString, u32)>, // Sorted by VM.
}

impl AbsenceCount {
    /// Notes a listing and returns the VMs that were absent for long enough.
    fn note(
        &mut self,
        roster: &RosterSpec,
        listed: &[ListedVm],
        patience: u32,
    ) -> Vec<CompactString> {
        let absent = roster
            .members
            .iter()
            .filter(|member| !is_listed(listed, &member.vm));
        let mut entries: Vec<(CompactString, u32)> = absent
            .map(|member| {
                let known = self.entries.iter().find(|entry| entry.0 == member.vm);
                (
                    member.vm.as_str().into(),
                    known.map_or(0, |entry| entry.1) + 1,
                )
            })
            .collect();
        entries.sort();
        self.entries = entries;
        let gone = self
            .entries
            .iter()
            .filter(|entry| entry.1 >= ABSENCES + patience);
        gone.map(|entry| entry.0.clone()).collect()
    }
}

fn is_listed(listed: &[ListedVm], vm: &str) -> bool {
    listed.iter().any(|entry| entry.name == vm)
}

/// Keeps the roster for as long as the process runs.
pub(crate) async fn keep_roster(hub: Arc<ControlHub>, timer: &mut TimerService) {
    let mut ticks = timer.subscribe(Duration::from_millis(hub.settings.vm_list_period_ms));
    let mut absences = AbsenceCount::default();
    while ticks.next().await.is_some() {
        // A VM that was replaced joins under its own name; nothing is done on a stale table.
        if hub.store.age().is_none() {
            continue;
        }
        if let Err(error) = keep_with_retries(&hub, &mut absences).await {
            warn!("roster not kept: {error}");
        }
    }
}

/// Keeps the roster, again after a while when another VM wrote it first: many start at once.
async fn keep_with_retries(
    hub: &ControlHub,
    absences: &mut AbsenceCount,
) -> Result<(), ServeError> {
    let listed = hub.platform.list_vms().await?;
    let mut pause = CONFLICT_PAUSE;
    for _ in 0..CONFLICT_ATTEMPTS {
        match keep_once(hub, &listed, absences).await {
            Err(ServeError::Conflict(..)) => sleep(pause.mul_f64(rand::random::<f64>())).await,
            kept => return kept,
        }
        pause = (pause * 2).min(CONFLICT_PAUSE_LIMIT);
    }
    Ok(())
}

async fn keep_once(
    hub: &ControlHub,
    listed: &[ListedVm],
    absences: &mut AbsenceCount,
) -> Result<(), ServeError> {
    if !is_listed(listed, &hub.settings.vm) {
        info!("the platform doesn't list this VM yet");
        return Ok(());
    }
    let (version, roster) = current_roster(hub);
    if let Some(plan) = plan_join(&roster, &own_member(hub)) {
        return write_roster(hub, version, &plan).await;
    }
    let own_place = roster
        .members
        .iter()
        .position(|member| member.vm == hub.settings.vm);
    let gone = absences.note(
        &roster,
        listed,
        u32::try_from(own_place.unwrap_or(0)).unwrap_or(0),
    );
    if let Some(plan) = plan_removal(&roster, |vm| !gone.iter().any(|name| name == vm)) {
        info!("handing on the units of {}", gone.join(", "));
        return write_roster(hub, version, &plan).await;
    }
    let Some(excess) = surplus_units(&roster, &hub.settings.vm) else {
        return Ok(());
    };
    let offered = hub.lock_share().reserve_transfer(excess, Instant::now());
    let plan = offered.and_then(|units| plan_transfer(&roster, &hub.settings.vm, units));
    match plan {
        Some(plan) => write_roster(hub, version, &plan).await,
        None => Ok(()),
    }
}

fn own_member(hub: &ControlHub) -> MemberSpec {
    MemberSpec {
        vm: hub.settings.vm.clone(),
        domain: hub.settings.domain.clone(),
        control: format!("{}:{}", hub.settings.address, hub.settings.port),
        incarnation: hub.incarnation,
        units: 0,
    }
}

fn current_roster(hub: &ControlHub) -> (Version, RosterSpec) {
    hub.store.with_table(|table| {
        let known = table
            .find("roster", &hub.settings.region)
            .filter(|object| !object.deleted);
        let parsed = known.and_then(|object| {
            let spec = serde_json::from_slice(&object.spec).ok()?;
            Some((object.version, spec))
        });
        parsed.unwrap_or((
            0,
            RosterSpec {
                members: Vec::new(),
            },
        ))
    })
}

/// Writes the roster if nobody else has.
async fn write_roster(
    hub: &ControlHub,
    version: Version,
    plan: &RosterSpec,
) -> Result<(), ServeError> {
    let expected = if version == 0 {
        Expected::Absent
    } else {
        Expected::At(version)
    };
    let value = serde_json::to_value(plan).unwrap_or_default();
    let region = hub.settings.region.as_str();
    let receipt = hub
        .platform
        .put_settled("roster", region, expected, "", &value)
        .await?;
    let object = ConfigObject {
        kind: "roster".to_owned(),
        name: region.to_owned(),
        version: receipt.version,
        spec: value.to_string().into_bytes(),
        ..Default::default()
    };
    // Only this object is known at the new version.
    hub.apply(ConfigDelta {
        objects: vec![object],
        since: Version::MAX,
        age_ms: AGE_UNKNOWN,
        ..Default::default()
    });
    Ok(())
}
