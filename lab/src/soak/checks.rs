//! What callers and upstreams saw, and whether it keeps the promises.

use {
    crate::{http::HttpError, report::Check, stand_in::PlatformUpstream},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Time in which a request on its way when a draining was acknowledged may still be read by the upstream.
const ON_ITS_WAY: Duration = Duration::from_millis(250);

/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Arrivals beyond the first for each first one.
const BUDGET_RATIO: f64 = 0.2;

/// Arrivals beyond the first in a window on top.
const BUDGET_SLACK: f64 = 64.0;

/// The promises that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Work that must not repeat ran at most once.
    AtMostOnce,
    /// Refused work has not run and never does.
    TrueRefusals,
    /// An answer is whole and the caller's own.
    OwnAnswers,
    /// What a node has read gets an answer, unless something breaks from outside.
    NothingCut,
    /// Answers come in time.
    InTime,
    /// A leaving upstream gets no new work.
    Draining,
    /// A configuration in force never reverts, and none is no reason for 404.
    NeverBack,
    /// A configuration is in force in time.
    InForce,
    /// Repeats stay within the fleet's budget.
    Budget,
    /// A planned stop ends within its time, without a failure.
    PlannedStop,
    /// Everything serves again after the last fault.
    Recovery,
}

impl Promise {
    const ALL: [Self; 11] = [
        Self::AtMostOnce,
        Self::TrueRefusals,
        Self::OwnAnswers,
        Self::NothingCut,
        Self::InTime,
        Self::Draining,
        Self::NeverBack,
        Self::InForce,
        Self::Budget,
        Self::PlannedStop,
        Self::Recovery,
    ];
}

/// An upstream that ran in a soak.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// The upstream.
    pub upstream: Arc<PlatformUpstream>,
    /// When it started, in time since the start of the soak.
    pub started: Duration,
    /// Its age when its draining was acknowledged.
    pub drained: Option<Duration>,
}

/// Outcome of one request as its caller saw it.
#[derive(Debug)]
pub struct Seen {
    /// Identity of the request.
    pub id: String,
    /// Node that it was sent to.
    pub host: String,
    /// Status, or why there is none.
    pub status: Result<u16, HttpError>,
    /// Whether the body and the signature are this request's.
    pub own: bool,
    /// Whether nothing outside disturbed the node or its link meanwhile.
    pub undisturbed: bool,
    /// Whether the answer came after the deadline and its slack.
    pub late: bool,
}

#[derive(Debug, Default)]
struct Inner {
    violations: BTreeMap<Promise, Vec<String>>,
    refused: HashSet<String>,
    unanswered: HashMap<String, String>,
    statuses: BTreeMap<String, u64>,
}

/// What was seen so far.
#[derive(Debug, Default)]
pub struct Checks {
    inner: Mutex<Inner>,
}

impl Checks {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn broken(&self, promise: Promise, what: String) {
        self.inner().violations.entry(promise).or_default().push(what);
    }

    /// Takes the outcome of a request.
    pub fn seen(&self, seen: Seen) {
        let Seen { id, host, status, own, undisturbed, late } = seen;
        let name = status.map_or_else(|e| e.to_string(), |s| s.to_string());
        *self.inner().statuses.entry(name).or_default() += 1;
        match status {
            Ok(200) if !own => self.broken(Promise::OwnAnswers, format!("{id} at {host}")),
            Ok(404) => self.broken(Promise::NeverBack, format!("{id} at {host}: 404")),
            Ok(408 | 421 | 429 | 503) => {
                self.inner().refused.insert(id.clone());
            }
            Err(HttpError::Cut) if undisturbed => {
                self.broken(Promise::NothingCut, format!("{id} at {host}: cut in its answer"));
            }
            Err(HttpError::NoAnswer) if undisturbed => {
                self.inner().unanswered.insert(id.clone(), host.clone());
            }
            _ => {}
        }
        if late && undisturbed {
            self.broken(Promise::InTime, format!("{id} at {host}"));
        }
    }

    /// Judges what upstreams ran, once nothing runs any more.
    pub fn judge_runs(&self, upstreams: &[UpstreamRecord]) {
        let mut runs: HashMap<String, Vec<Duration>> = HashMap::new();
        for record in upstreams {
            for req in record.upstream.executed() {
                let id = req
                    .headers
                    .get(crate::stand_in::PLATFORM_REQUEST_ID)
                    .cloned()
                    .unwrap_or_default();
                if record.drained.is_some_and(|drained| req.at > drained + ON_ITS_WAY) {
                    let instance = &record.upstream.instance;
                    self.broken(Promise::Draining, format!("{id} at {instance}"));
                }
                runs.entry(id).or_default().push(record.started + req.at);
            }
        }
        let (refused, unanswered) = {
            let inner = self.inner();
            (inner.refused.clone(), inner.unanswered.clone())
        };
        for (id, times) in &runs {
            if id.starts_with('o') && times.len() > 1 {
                self.broken(Promise::AtMostOnce, format!("{id} ran {} times", times.len()));
            }
            if refused.contains(id) {
                self.broken(Promise::TrueRefusals, format!("{id} ran"));
            }
            if let Some(host) = unanswered.get(id) {
                self.broken(Promise::NothingCut, format!("{id} at {host}: ran, no answer"));
            }
        }
        self.judge_budget(runs.into_values());
    }

    fn judge_budget(&self, runs: impl Iterator<Item = Vec<Duration>>) {
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        for mut times in runs {
            times.sort_unstable();
            firsts.push(times[0]);
            repeats.extend_from_slice(&times[1..]);
        }
        for list in [&mut firsts, &mut repeats] {
            list.sort_unstable();
        }
        let within = |list: &[Duration], from: Duration| {
            let begin = list.partition_point(|t| *t < from);
            list.partition_point(|t| *t < from + BUDGET_WINDOW) - begin
        };
        let worst = repeats.iter().map(|from| {
            let allowed = within(&firsts, *from) as f64 * BUDGET_RATIO + BUDGET_SLACK;
            (within(&repeats, *from) as f64 - allowed, *from)
        });
        if let Some((over, from)) = worst.max_by(|a, b| a.0.total_cmp(&b.0)).filter(|w| w.0 > 0.0) {
            self.broken(Promise::Budget, format!("{over:.0} beyond the budget from {from:?} on"));
        }
    }

    /// Answers by status.
    pub fn statuses(&self) -> Value {
        json!(self.inner().statuses)
    }

    /// What was broken, in words.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.inner();
        let named = |(promise, what): (&Promise, &Vec<String>)| {
            what.iter().map(|w| format!("{promise:?}: {w}")).collect::<Vec<_>>()
        };
        inner.violations.iter().flat_map(named).collect()
    }

    /// A check for each promise.
    pub fn report(&self) -> Vec<Check> {
        let inner = self.inner();
        let count = |p: Promise| inner.violations.get(&p).map_or(0, Vec::len) as f64;
        Promise::ALL
            .into_iter()
            .map(|p| Check::at_most(format!("broken: {p:?}"), 0.0, count(p)))
            .collect()
    }
}
