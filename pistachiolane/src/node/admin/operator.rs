//! Changes of settings that operators request at this node.

use {
    crate::node::{
        control::{
            control_client,
            control_loop::ControlHandle,
            store_task::{SETTINGS_KIND, parse_subtree, stored_value},
        },
        shared::Shared,
    },
    crate::{
        config::{
            Change, ChangeAction, ChangeEvent, ChangeOutcome, ROOT, ReadResult, ValidationError,
            WriteResult, check_document, set_path, verify_token,
        },
        metrics::Metrics,
        schema::{Health, MemberRecord, RootDocument, Subtree, SubtreeVersion},
        tick::Tick,
    },
    futures::{StreamExt, stream::FuturesUnordered},
    rand::{RngExt, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
    tokio::time::sleep_until,
};

/// Change of a settings subtree that an operator requests.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Name of the subtree.
    pub subtree: Arc<str>,
    /// Path within the subtree; empty for the whole document.
    pub path: String,
    /// New value, or `None` to remove the value.
    pub value: Option<Value>,
    /// Version that the subtree must still have, if the operator requires one.
    pub if_version: Option<u64>,
    /// Token of the team that owns the subtree.
    pub token: Option<String>,
}

/// Outcome of a change, as reported to the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReport {
    /// The change is in force in every region.
    Accepted {
        /// Version written.
        version: u64,
    },
    /// The change was written, but these regions have not acknowledged it yet.
    Pending {
        /// Version written.
        version: u64,
        /// Regions that have not acknowledged the change.
        regions: Vec<Arc<str>>,
    },
    /// Another change was written first; nothing of this one was written.
    Conflict {
        /// Current version.
        version: u64,
        /// Current document.
        current: Value,
        /// Document that the change would have written.
        wanted: Value,
    },
    /// The changed document is invalid; nothing was written.
    Refused {
        /// All faults that the validation found.
        faults: Vec<ValidationError>,
    },
    /// The token is not valid for the team; nothing was written.
    Forbidden,
    /// Nothing was written: the store could not be reached or did not accept the write.
    NotWritten,
    /// The store's response was lost, and the change may have been written. The operator must check
    /// later whether it was.
    Unknown {
        /// Identity of the change, which the stored subtree contains if the change was written.
        change: String,
    },
}

/// Makes a change, and waits until every region has acknowledged it or the time limit has passed.
pub async fn change(shared: &Shared, control: &ControlHandle, req: ChangeRequest) -> ChangeReport {
    let change_report = match prepare_change(shared, control, &req).await {
        Ok(prepared) => run_change(shared, control, prepared).await,
        Err(report) => report,
    };
    Metrics::count(&shared.metrics.changes, change_report.name());
    change_report
}

impl ChangeReport {
    /// Returns the label of the outcome in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Pending { .. } => "pending",
            Self::Conflict { .. } => "conflict",
            Self::Refused { .. } => "refused",
            Self::Forbidden => "forbidden",
            Self::NotWritten => "not-written",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// Change that has passed the checks.
struct PreparedChange {
    /// Subtree to write, with its new version.
    subtree: Subtree,
    /// Version that the change is based on.
    base_version: u64,
    /// Revision that the object in the store must still have; zero if it must not exist.
    expected_revision: u64,
}

async fn prepare_change(
    shared: &Shared,
    control: &ControlHandle,
    req: &ChangeRequest,
) -> Result<PreparedChange, ChangeReport> {
    let read = shared.store.get(SETTINGS_KIND, &req.subtree).await;
    let object = read.map_err(|_e| ChangeReport::NotWritten)?;
    let expected_revision = object.as_ref().map_or(0, |o| o.revision);
    let stored = object.as_ref().and_then(parse_subtree);
    // A store that came back from an older copy may have lost the version in force.
    let in_force = control.subtrees(vec![Arc::clone(&req.subtree)]).await;
    let base = stored.into_iter().chain(in_force).max_by_key(|s| s.version);
    let expected = base.as_ref().map_or(0, |s| s.version);
    let current = base.as_ref().map_or(Value::Null, document);
    let wanted = set_path(&current, &req.path, req.value.clone())
        .map_err(|fault| ChangeReport::Refused { faults: vec![fault] })?;
    if req.if_version.is_some_and(|version| version != expected) {
        return Err(ChangeReport::Conflict { version: expected, current, wanted });
    }
    let root = read_stored_root(shared).await?;
    let digest = root.teams.get(req.subtree.as_ref()).map_or("", |t| t.token_digest.as_str());
    if !verify_token(digest, req.token.as_deref()) {
        return Err(ChangeReport::Forbidden);
    }
    let text = wanted.to_string();
    check_document(&req.subtree, &text, &root)
        .map_err(|faults| ChangeReport::Refused { faults })?;
    let change = format!("{:032x}", rand::rng().random::<u128>());
    let name = Arc::clone(&req.subtree);
    let version = expected.max(expected_revision) + 1;
    let subtree = Subtree { name, version, change, document: text };
    Ok(PreparedChange { subtree, base_version: expected, expected_revision })
}

/// Reads the root subtree from the store rather than from the settings in force, so that a team
/// that was declared a moment ago is found.
async fn read_stored_root(shared: &Shared) -> Result<RootDocument, ChangeReport> {
    let read = shared.store.get(SETTINGS_KIND, ROOT).await;
    let root = read.map_err(|_e| ChangeReport::NotWritten)?;
    let document = root.as_ref().and_then(parse_subtree).map(|s| s.document);
    Ok(document.and_then(|d| serde_json::from_str(&d).ok()).unwrap_or_default())
}

/// Returns the document of a subtree as JSON, or null if it cannot be parsed.
pub fn document(subtree: &Subtree) -> Value {
    serde_json::from_str(&subtree.document).unwrap_or(Value::Null)
}

async fn run_change(
    shared: &Shared,
    control: &ControlHandle,
    prepared: PreparedChange,
) -> ChangeReport {
    let PreparedChange { subtree, base_version, expected_revision } = prepared;
    let members = control.members().await;
    let is_not_dead = |m: &&MemberRecord| m.health != Health::Dead;
    let regions: BTreeSet<Arc<str>> =
        members.iter().filter(is_not_dead).map(|m| Arc::clone(&m.region)).collect();
    let (mut change, first) = Change::new(subtree.clone(), base_version, regions);
    let mut running = FuturesUnordered::new();
    let mut actions = VecDeque::from([first]);
    let mut wake_at = Tick(u64::MAX);
    let mut written = subtree.clone();
    loop {
        while let Some(action) = actions.pop_front() {
            match action {
                ChangeAction::WakeAt(at) => wake_at = at,
                ChangeAction::Finish(outcome) => {
                    return change_report(shared, &subtree, outcome).await;
                }
                ChangeAction::Apply(subtree) => {
                    written = subtree.clone();
                    control.apply(vec![subtree], "operator").await;
                }
                other => running.push(execute(
                    shared,
                    control,
                    &members,
                    written.clone(),
                    expected_revision,
                    other,
                )),
            }
        }
        let event = tokio::select! {
            Some(event) = running.next() => event,
            () = sleep_until(shared.instant(wake_at)) => {
                wake_at = Tick(u64::MAX);
                Some(ChangeEvent::Timer)
            }
        };
        if let Some(event) = event {
            actions.extend(change.step(shared.now(), event));
        }
    }
}

async fn execute(
    shared: &Shared,
    control: &ControlHandle,
    members: &[MemberRecord],
    subtree: Subtree,
    expected_revision: u64,
    action: ChangeAction,
) -> Option<ChangeEvent> {
    match action {
        ChangeAction::Write { .. } => {
            let value = stored_value(&subtree);
            let put =
                shared.store.put(SETTINGS_KIND, &subtree.name, expected_revision, &value).await;
            Some(ChangeEvent::Written(match put {
                // The version is in the object; its revision may fall with an older copy of the store.
                WriteResult::Written(_) => WriteResult::Written(subtree.version),
                other => other,
            }))
        }
        ChangeAction::ReadBack => {
            Some(ChangeEvent::ReadBack(read_back(shared, &subtree.name).await))
        }
        ChangeAction::Confirm(region) => {
            confirm_region(shared, control, members, subtree, region).await
        }
        ChangeAction::Apply(_) | ChangeAction::WakeAt(_) | ChangeAction::Finish(_) => None,
    }
}

async fn read_back(shared: &Shared, name: &str) -> ReadResult {
    match shared.store.get(SETTINGS_KIND, name).await {
        Err(_) => ReadResult::Unavailable,
        Ok(object) => {
            object.as_ref().and_then(parse_subtree).map_or(ReadResult::Missing, ReadResult::Found)
        }
    }
}

/// Checks that the subtree is in force in a region: at this node if the region is the local one,
/// and otherwise at a random alive member, to which it is sent first.
async fn confirm_region(
    shared: &Shared,
    control: &ControlHandle,
    members: &[MemberRecord],
    subtree: Subtree,
    region: Arc<str>,
) -> Option<ChangeEvent> {
    let version = SubtreeVersion { name: Arc::clone(&subtree.name), version: subtree.version };
    let is_in_force = if region == shared.settings.region {
        control.subtree_version(Arc::clone(&version.name)).await >= version.version
    } else {
        let candidates: Vec<&MemberRecord> =
            members.iter().filter(|m| m.region == region && m.health == Health::Alive).collect();
        let member = candidates.choose(&mut rand::rng())?;
        let key = &shared.settings.fleet_key;
        control_client::push(key, member.control, vec![subtree]).await.ok()?;
        control_client::has_version(key, member.control, version).await.ok()?
    };
    is_in_force.then_some(ChangeEvent::Confirmed(region))
}

async fn change_report(shared: &Shared, wanted: &Subtree, outcome: ChangeOutcome) -> ChangeReport {
    match outcome {
        ChangeOutcome::Accepted(version) => ChangeReport::Accepted { version },
        ChangeOutcome::Pending { version, regions } => ChangeReport::Pending { version, regions },
        ChangeOutcome::NotWritten => ChangeReport::NotWritten,
        ChangeOutcome::Unknown => ChangeReport::Unknown { change: wanted.change.clone() },
        ChangeOutcome::Conflict => {
            let read = shared.store.get(SETTINGS_KIND, &wanted.name).await;
            let stored_subtree = read.ok().flatten().as_ref().and_then(parse_subtree);
            ChangeReport::Conflict {
                version: stored_subtree.as_ref().map_or(0, |s| s.version),
                current: stored_subtree.as_ref().map_or(Value::Null, document),
                wanted: document(wanted),
            }
        }
    }
}
