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
const IN_FLIGHT_TIME: Duration = Duration::from_millis(250);

/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Arrivals beyond the first for each first one.
const BUDGET_RATIO: f64 = 0.2;

/// Arrivals beyond the first in a window on top.
const BUDGET_SLACK: f64 = 64.0;

/// The promises that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// Work that must not repeat ran at most once.
    AtMostOnce,
    /// Refused work has not run and never does.
    RefusedNotRun,
    /// An answer is whole and the caller's own.
    MatchingResponses,
    /// What a node has read gets an answer, unless something breaks from outside.
    NoLostResponses,
    /// Answers come in time.
    WithinDeadline,
    /// A leaving upstream gets no new work.
    Draining,
    /// A configuration in force never reverts, and none is no reason for 404.
    NoConfigurationRollback,
    /// A configuration is in force in time.
    ConfigurationInForce,
    /// Repeats stay within the fleet's budget.
    RetryBudget,
    /// A planned stop ends within its time, without a failure.
    PlannedStop,
    /// Everything serves again after the last fault.
    Recovery,
}

impl Guarantee {
    const ALL: [Self; 11] = [
        Self::AtMostOnce,
        Self::RefusedNotRun,
        Self::MatchingResponses,
        Self::NoLostResponses,
        Self::WithinDeadline,
        Self::Draining,
        Self::NoConfigurationRollback,
        Self::ConfigurationInForce,
        Self::RetryBudget,
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
    pub drain_acknowledged: Option<Duration>,
}

/// Outcome of one request as its caller saw it.
#[derive(Debug)]
pub struct RequestRecord {
    /// Identity of the request.
    pub id: String,
    /// Node that it was sent to.
    pub host: String,
    /// Status, or why there is none.
    pub status: Result<u16, HttpError>,
    /// Whether the body and the signature are this request's.
    pub matches_request: bool,
    /// Whether nothing outside disturbed the node or its link meanwhile.
    pub undisturbed: bool,
    /// Whether the answer came after the deadline and its slack.
    pub past_deadline: bool,
}

#[derive(Debug, Default)]
struct Inner {
    violations: BTreeMap<Guarantee, Vec<String>>,
    refused: HashSet<String>,
    no_response: HashMap<String, String>,
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
    pub fn record_violation(&self, guarantee: Guarantee, what: String) {
        self.inner().violations.entry(guarantee).or_default().push(what);
    }

    /// Takes the outcome of a request.
    pub fn record_request(&self, request: RequestRecord) {
        let RequestRecord { id, host, status, matches_request, undisturbed, past_deadline } =
            request;
        let name = status.map_or_else(|e| e.to_string(), |s| s.to_string());
        *self.inner().statuses.entry(name).or_default() += 1;
        match status {
            Ok(200) if !matches_request => {
                self.record_violation(Guarantee::MatchingResponses, format!("{id} at {host}"))
            }
            Ok(404) => self.record_violation(
                Guarantee::NoConfigurationRollback,
                format!("{id} at {host}: 404"),
            ),
            Ok(408 | 421 | 429 | 503) => {
                self.inner().refused.insert(id.clone());
            }
            Err(HttpError::Cut) if undisturbed => {
                self.record_violation(
                    Guarantee::NoLostResponses,
                    format!("{id} at {host}: cut in its answer"),
                );
            }
            Err(HttpError::NoAnswer) if undisturbed => {
                self.inner().no_response.insert(id.clone(), host.clone());
            }
            _ => {}
        }
        if past_deadline && undisturbed {
            self.record_violation(Guarantee::WithinDeadline, format!("{id} at {host}"));
        }
    }

    /// Judges what upstreams ran, once nothing runs any more.
    pub fn check_runs(&self, upstreams: &[UpstreamRecord]) {
        let mut runs: HashMap<String, Vec<Duration>> = HashMap::new();
        for record in upstreams {
            for req in record.upstream.executed() {
                let id = req
                    .headers
                    .get(crate::stand_in::PLATFORM_REQUEST_ID)
                    .cloned()
                    .unwrap_or_default();
                if record.drain_acknowledged.is_some_and(|age| req.at > age + IN_FLIGHT_TIME) {
                    let instance = &record.upstream.instance;
                    self.record_violation(Guarantee::Draining, format!("{id} at {instance}"));
                }
                runs.entry(id).or_default().push(record.started + req.at);
            }
        }
        let (refused, no_response) = {
            let inner = self.inner();
            (inner.refused.clone(), inner.no_response.clone())
        };
        for (id, times) in &runs {
            if id.starts_with('o') && times.len() > 1 {
                self.record_violation(
                    Guarantee::AtMostOnce,
                    format!("{id} ran {} times", times.len()),
                );
            }
            if refused.contains(id) {
                self.record_violation(Guarantee::RefusedNotRun, format!("{id} ran"));
            }
            if let Some(host) = no_response.get(id) {
                self.record_violation(
                    Guarantee::NoLostResponses,
                    format!("{id} at {host}: ran, no answer"),
                );
            }
        }
        self.check_retry_budget(runs.into_values());
    }

    fn check_retry_budget(&self, runs: impl Iterator<Item = Vec<Duration>>) {
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
            self.record_violation(
                Guarantee::RetryBudget,
                format!("{over:.0} beyond the budget from {from:?} on"),
            );
        }
    }

    /// Answers by status.
    pub fn statuses(&self) -> Value {
        json!(self.inner().statuses)
    }

    /// What was broken, in words.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.inner();
        let named = |(guarantee, what): (&Guarantee, &Vec<String>)| {
            what.iter().map(|w| format!("{guarantee:?}: {w}")).collect::<Vec<_>>()
        };
        inner.violations.iter().flat_map(named).collect()
    }

    /// A check for each promise.
    pub fn report(&self) -> Vec<Check> {
        let inner = self.inner();
        let count = |p: Guarantee| inner.violations.get(&p).map_or(0, Vec::len) as f64;
        Guarantee::ALL
            .into_iter()
            .map(|p| Check::at_most(format!("broken: {p:?}"), 0.0, count(p)))
            .collect()
    }
}
