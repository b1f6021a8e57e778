//! Adds this VM to the roster, removes VMs that the platform no longer lists, and transfers rate units.

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
        surplus_units,
        AbsenceCounter, //
    },
    timer::TimerService, //
};
use log::{
    info,
    warn, //
};
use tokio::time::sleep;

use crate::hub::ControlHub;

/// Backoff after the first conflict; doubles with each further conflict.
const CONFLICT_BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// Maximum backoff after a conflict.
const CONFLICT_BACKOFF_LIMIT: Duration = Duration::from_millis(800);

/// Maximum number of attempts to write the roster within one listing period.
const MAX_WRITE_ATTEMPTS: u32 = 12;

fn is_listed(listed: &[ListedVm], vm: &str) -> bool {
    listed.iter().any(|entry| entry.name == vm)
}

/// Updates the roster after each listing of the VMs, as long as the process runs.
pub(crate) async fn maintain_roster(hub: Arc<ControlHub>, timer: &mut TimerService) {
    let mut ticks = timer.subscribe(Duration::from_millis(hub.settings.vm_list_period_ms));
    let mut absences = AbsenceCounter::default();
    while ticks.next().await.is_some() {
        // Until the platform has confirmed the configuration, the roster may be stale and isn't changed. A
        // replacement VM joins under its own name; the replaced VM is removed once it is absent for long enough.
        if hub.store.age().is_none() {
            continue;
        }
        if let Err(error) = update_with_retries(&hub, &mut absences).await {
            warn!("roster not updated: {error}");
        }
    }
}

/// Updates the roster, and retries after a random backoff on a conflict with another VM's write. Conflicts are
/// frequent when many VMs start at once.
async fn update_with_retries(
    hub: &ControlHub,
    absences: &mut AbsenceCounter,
) -> Result<(), ServeError> {
    let listed = hub.platform.list_vms().await?;
    absences.start_listing();
    let mut backoff = CONFLICT_BACKOFF_FIRST;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match update_once(hub, &listed, absences).await {
            Err(ServeError::Conflict(..)) => sleep(backoff.mul_f64(rand::random::<f64>())).await,
            result => return result,
        }
        backoff = (backoff * 2).min(CONFLICT_BACKOFF_LIMIT);
    }
    Ok(())
}

/// Writes at most one change of the roster: this VM's entry, the removal of absent VMs, or a transfer of units.
async fn update_once(
    hub: &ControlHub,
    listed: &[ListedVm],
    absences: &mut AbsenceCounter,
) -> Result<(), ServeError> {
    if !is_listed(listed, &hub.settings.vm) {
        info!("the platform doesn't list this VM yet");
        return Ok(());
    }
    let (version, roster) = current_roster(hub);
    if let Some(plan) = plan_join(&roster, &own_member(hub)) {
        return write_roster(hub, version, &plan).await;
    }
    let own_index = roster
        .members
        .iter()
        .position(|member| member.vm == hub.settings.vm);
    // VMs further down the roster wait for more absences, so that they don't all write at once.
    let absent = absences.record_listing(
        &roster,
        |vm| is_listed(listed, vm),
        u32::try_from(own_index.unwrap_or(0)).unwrap_or(0),
    );
    if let Some(plan) = plan_removal(&roster, |vm| !absent.iter().any(|name| name == vm)) {
        info!(
            "removing {} from the roster and redistributing the units",
            absent.join(", ")
        );
        return write_roster(hub, version, &plan).await;
    }
    let Some(surplus) = surplus_units(&roster, &hub.settings.vm) else {
        return Ok(());
    };
    let reserved = hub.lock_share().reserve_transfer(surplus, Instant::now());
    let plan = reserved.and_then(|units| plan_transfer(&roster, &hub.settings.vm, units));
    match plan {
        Some(plan) => write_roster(hub, version, &plan).await,
        None => Ok(()),
    }
}

/// Returns this VM's entry for the roster, without units; the plans of `roster` set the units.
fn own_member(hub: &ControlHub) -> MemberSpec {
    MemberSpec {
        vm: hub.settings.vm.clone(),
        domain: hub.settings.domain.clone(),
        control: format!("{}:{}", hub.settings.address, hub.settings.port),
        incarnation: hub.incarnation,
        units: 0,
    }
}

/// Returns the roster and its version; version 0 means that the roster doesn't exist.
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

/// Writes the roster, on condition that it still has the given version, and applies the new roster at once.
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
        .put_confirmed("roster", region, expected, "", &value)
        .await?;
    let object = ConfigObject {
        kind: "roster".to_owned(),
        name: region.to_owned(),
        version: receipt.version,
        spec: value.to_string().into_bytes(),
        ..Default::default()
    };
    // A `since` beyond all versions keeps the table's version: other objects up to the new version aren't known.
    hub.apply(ConfigDelta {
        objects: vec![object],
        since: Version::MAX,
        age_ms: AGE_UNKNOWN,
        ..Default::default()
    });
    Ok(())
}
