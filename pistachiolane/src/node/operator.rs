//! Changes of settings that operators ask for at this node.

use {
    super::{
        control_client,
        control_loop::ControlHandle,
        shared::Shared,
        store_task::{SETTINGS_KIND, parse_subtree},
    },
    crate::{
        config::{
            Change, ChangeAction, ChangeEvent, ChangeOutcome, Fault, ROOT, ReadResult,
            check_document, set_path, verify_token,
        },
        metrics::Metrics,
        schema::{Health, MemberRecord, RootDocument, StoredSubtree, Subtree, SubtreeVersion},
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

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Subtree concerned.
    pub subtree: Arc<str>,
    /// Path within it; empty for the whole document.
    pub path: String,
    /// New value; `None` removes it.
    pub value: Option<Value>,
    /// Version that the operator saw, if it must still hold.
    pub if_version: Option<u64>,
    /// Token of the team.
    pub token: Option<String>,
}

/// What an operator is told about a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReport {
    /// In force in every region.
    Accepted {
        /// Version written.
        version: u64,
    },
    /// Written; these regions have not acknowledged it yet.
    Pending {
        /// Version written.
        version: u64,
        /// Regions without an acknowledgement.
        regions: Vec<Arc<str>>,
    },
    /// Another change came first; nothing was written.
    Conflict {
        /// Version that stands.
        version: u64,
        /// Document that stands.
        current: Value,
        /// Document that was to replace it.
        wanted: Value,
    },
    /// The change does not pass the checks; nothing was written.
    Refused {
        /// Every fault.
        faults: Vec<Fault>,
    },
    /// The token is not the team's; nothing was written.
    Forbidden,
    /// The platform could not be asked; nothing was written.
    NotWritten,
    /// The platform's answer was lost; the change may hold. Ask again later.
    Unknown {
        /// Identity to look for in the subtree.
        change: String,
    },
}

/// Makes a change, and waits until every region has acknowledged it or time is up.
pub async fn change(shared: &Shared, control: &ControlHandle, req: ChangeRequest) -> ChangeReport {
    let report = match prepare(shared, &req).await {
        Ok((subtree, expected)) => drive(shared, control, subtree, expected).await,
        Err(report) => report,
    };
    Metrics::count(&shared.metrics.changes, report.name());
    report
}

impl ChangeReport {
    /// Short name in counters.
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

async fn prepare(shared: &Shared, req: &ChangeRequest) -> Result<(Subtree, u64), ChangeReport> {
    let read = shared.store.get(SETTINGS_KIND, &req.subtree).await;
    let present = read.map_err(|_e| ChangeReport::NotWritten)?.as_ref().and_then(parse_subtree);
    let expected = present.as_ref().map_or(0, |s| s.version);
    let current = present.as_ref().map_or(Value::Null, document);
    let wanted = set_path(&current, &req.path, req.value.clone())
        .map_err(|fault| ChangeReport::Refused { faults: vec![fault] })?;
    if req.if_version.is_some_and(|seen| seen != expected) {
        return Err(ChangeReport::Conflict { version: expected, current, wanted });
    }
    let root = root_in_force(shared).await?;
    let digest = root.teams.get(req.subtree.as_ref()).map_or("", |t| t.token_digest.as_str());
    if !verify_token(digest, req.token.as_deref()) {
        return Err(ChangeReport::Forbidden);
    }
    let text = wanted.to_string();
    check_document(&req.subtree, &text, &root)
        .map_err(|faults| ChangeReport::Refused { faults })?;
    let change = format!("{:032x}", rand::rng().random::<u128>());
    let name = Arc::clone(&req.subtree);
    Ok((Subtree { name, version: 0, change, document: text }, expected))
}

/// The root subtree as the platform holds it, so that a team declared a moment ago is known.
async fn root_in_force(shared: &Shared) -> Result<RootDocument, ChangeReport> {
    let read = shared.store.get(SETTINGS_KIND, ROOT).await;
    let root = read.map_err(|_e| ChangeReport::NotWritten)?;
    let document = root.as_ref().and_then(parse_subtree).map(|s| s.document);
    Ok(document.and_then(|d| serde_json::from_str(&d).ok()).unwrap_or_default())
}

/// The document of a subtree.
pub fn document(subtree: &Subtree) -> Value {
    serde_json::from_str(&subtree.document).unwrap_or(Value::Null)
}

async fn drive(
    shared: &Shared,
    control: &ControlHandle,
    subtree: Subtree,
    expected: u64,
) -> ChangeReport {
    let members = control.members().await;
    let living = |m: &&MemberRecord| m.health != Health::Dead;
    let regions: BTreeSet<Arc<str>> =
        members.iter().filter(living).map(|m| Arc::clone(&m.region)).collect();
    let (mut change, first) = Change::new(subtree.clone(), expected, regions);
    let mut pending = FuturesUnordered::new();
    let mut actions = VecDeque::from([first]);
    let mut wake = Tick(u64::MAX);
    let mut written = subtree.clone();
    loop {
        while let Some(action) = actions.pop_front() {
            match action {
                ChangeAction::WakeAt(at) => wake = at,
                ChangeAction::Finish(outcome) => {
                    return report(shared, &subtree, outcome).await;
                }
                ChangeAction::Apply(subtree) => {
                    written = subtree.clone();
                    control.apply(vec![subtree], "operator").await;
                }
                other => pending.push(perform(shared, control, &members, written.clone(), other)),
            }
        }
        let event = tokio::select! {
            Some(event) = pending.next() => event,
            () = sleep_until(shared.instant(wake)) => {
                wake = Tick(u64::MAX);
                Some(ChangeEvent::Timer)
            }
        };
        if let Some(event) = event {
            actions.extend(change.step(shared.now(), event));
        }
    }
}

async fn perform(
    shared: &Shared,
    control: &ControlHandle,
    members: &[MemberRecord],
    subtree: Subtree,
    action: ChangeAction,
) -> Option<ChangeEvent> {
    match action {
        ChangeAction::Write { expected } => {
            let stored = StoredSubtree {
                change: subtree.change.clone(),
                document: subtree.document.clone(),
            };
            let value = serde_json::to_value(stored).ok()?;
            let put = shared.store.put(SETTINGS_KIND, &subtree.name, expected, &value).await;
            Some(ChangeEvent::Written(put))
        }
        ChangeAction::ReadBack => {
            Some(ChangeEvent::ReadBack(read_back(shared, &subtree.name).await))
        }
        ChangeAction::Confirm(region) => confirm(shared, control, members, subtree, region).await,
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

/// Gives the subtree to a random member of a region and asks whether it is in force there.
async fn confirm(
    shared: &Shared,
    control: &ControlHandle,
    members: &[MemberRecord],
    subtree: Subtree,
    region: Arc<str>,
) -> Option<ChangeEvent> {
    let version = SubtreeVersion { name: Arc::clone(&subtree.name), version: subtree.version };
    let held = if region == shared.settings.region {
        control.subtree_version(Arc::clone(&version.name)).await >= version.version
    } else {
        let there: Vec<&MemberRecord> =
            members.iter().filter(|m| m.region == region && m.health == Health::Alive).collect();
        let member = there.choose(&mut rand::rng())?;
        let key = &shared.settings.fleet_key;
        control_client::push(key, member.control, vec![subtree]).await.ok()?;
        control_client::has_version(key, member.control, version).await.ok()?
    };
    held.then_some(ChangeEvent::Confirmed(region))
}

async fn report(shared: &Shared, wanted: &Subtree, outcome: ChangeOutcome) -> ChangeReport {
    match outcome {
        ChangeOutcome::Accepted(version) => ChangeReport::Accepted { version },
        ChangeOutcome::Pending { version, regions } => ChangeReport::Pending { version, regions },
        ChangeOutcome::NotWritten => ChangeReport::NotWritten,
        ChangeOutcome::Unknown => ChangeReport::Unknown { change: wanted.change.clone() },
        ChangeOutcome::Conflict => {
            let read = shared.store.get(SETTINGS_KIND, &wanted.name).await;
            let present = read.ok().flatten().as_ref().and_then(parse_subtree);
            ChangeReport::Conflict {
                version: present.as_ref().map_or(0, |s| s.version),
                current: present.as_ref().map_or(Value::Null, document),
                wanted: document(wanted),
            }
        }
    }
}
