//! Observations of callers and upstreams, checked against the guarantees.

use {
    crate::{http::HttpError, report::Check, stand_in::PlatformUpstream},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Time for which requests that were in flight when draining was acknowledged may still reach the upstream.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(250);

/// Window over which the retry budget is checked.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Allowed repeated executions for each first execution in the window.
const BUDGET_RATIO: f64 = 0.2;

/// Repeated executions in a window that are allowed on top of the ratio.
const BUDGET_SLACK: f64 = 64.0;

/// A guarantee that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A refused request has not run and never runs.
    RefusedNotRun,
    /// A response with status 200 is complete and belongs to the caller's request.
    MatchingResponses,
    /// A request that a node has read gets a response, unless a disturbance from outside prevents it.
    NoLostResponses,
    /// Responses arrive within the deadline and its tolerance.
    WithinDeadline,
    /// A draining upstream gets no new requests.
    Draining,
    /// A configuration in force is never rolled back, and a missing configuration never causes status 404.
    NoRollback,
    /// A written configuration is in force within its time limit.
    ConfigurationInForce,
    /// Repeated executions stay within the retry budget of the fleet.
    RetryBudget,
    /// A planned stop ends within its grace period, without a failure.
    PlannedStop,
    /// Every host serves requests again after the last fault.
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
        Self::NoRollback,
        Self::ConfigurationInForce,
        Self::RetryBudget,
        Self::PlannedStop,
        Self::Recovery,
    ];
}

/// Record of an upstream that ran in a soak.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// The upstream.
    pub upstream: Arc<PlatformUpstream>,
    /// Time from the start of the soak to the start of the upstream.
    pub started: Duration,
    /// Age of the upstream when its draining was acknowledged, if that happened.
    pub drain_acknowledged: Option<Duration>,
}

/// Outcome of one request as its caller observed it.
#[derive(Debug)]
pub struct RequestRecord {
    /// Request id; starts with `o` if the request is not idempotent.
    pub id: String,
    /// Host whose node received it.
    pub host: String,
    /// Status of the response, or why there is none.
    pub status: Result<u16, HttpError>,
    /// Whether body and signature of the response belong to this request.
    pub matches_request: bool,
    /// Whether no fault disturbed the node or its caller link during the request.
    pub undisturbed: bool,
    /// Whether the response arrived after the deadline and its tolerance.
    pub past_deadline: bool,
}

#[derive(Debug, Default)]
struct Inner {
    violations: BTreeMap<Guarantee, Vec<String>>,
    refused: HashSet<String>,
    no_response: HashMap<String, String>,
    outcomes: BTreeMap<String, u64>,
}

/// Outcomes and violations recorded so far.
#[derive(Debug, Default)]
pub struct Checks {
    inner: Mutex<Inner>,
}

impl Checks {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, guarantee: Guarantee, description: String) {
        self.inner().violations.entry(guarantee).or_default().push(description);
    }

    /// Records the outcome of a request and checks what can be checked immediately.
    pub fn record_request(&self, request: RequestRecord) {
        let RequestRecord { id, host, status, matches_request, undisturbed, past_deadline } =
            request;
        let outcome = status.map_or_else(|e| e.to_string(), |s| s.to_string());
        *self.inner().outcomes.entry(outcome).or_default() += 1;
        match status {
            Ok(200) if !matches_request => {
                self.record_violation(Guarantee::MatchingResponses, format!("{id} at {host}"));
            }
            Ok(404) => self.record_violation(Guarantee::NoRollback, format!("{id} at {host}: 404")),
            Ok(408 | 421 | 429 | 503) => {
                self.inner().refused.insert(id.clone());
            }
            Err(HttpError::ResponseCutOff) if undisturbed => {
                self.record_violation(
                    Guarantee::NoLostResponses,
                    format!("{id} at {host}: response cut off"),
                );
            }
            Err(HttpError::NoResponse) if undisturbed => {
                self.inner().no_response.insert(id.clone(), host.clone());
            }
            _ => {}
        }
        if past_deadline && undisturbed {
            self.record_violation(Guarantee::WithinDeadline, format!("{id} at {host}"));
        }
    }

    /// Checks the executions at all upstreams; to be called once no request is running.
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
                    format!("{id} at {host}: ran, no response"),
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
        let count_in_window = |list: &[Duration], from: Duration| {
            let begin = list.partition_point(|t| *t < from);
            list.partition_point(|t| *t < from + BUDGET_WINDOW) - begin
        };
        let worst = repeats.iter().map(|from| {
            let allowed = count_in_window(&firsts, *from) as f64 * BUDGET_RATIO + BUDGET_SLACK;
            (count_in_window(&repeats, *from) as f64 - allowed, *from)
        });
        if let Some((excess, from)) = worst.max_by(|a, b| a.0.total_cmp(&b.0)).filter(|w| w.0 > 0.0)
        {
            self.record_violation(
                Guarantee::RetryBudget,
                format!("{excess:.0} repeats beyond the budget in the window from {from:?}"),
            );
        }
    }

    /// Returns the number of outcomes by status or error.
    pub fn outcome_counts(&self) -> Value {
        json!(self.inner().outcomes)
    }

    /// Returns a description of each violation.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.inner();
        let texts = |(guarantee, descriptions): (&Guarantee, &Vec<String>)| {
            descriptions.iter().map(|d| format!("{guarantee:?}: {d}")).collect::<Vec<_>>()
        };
        inner.violations.iter().flat_map(texts).collect()
    }

    /// Returns a check for each guarantee.
    pub fn report(&self) -> Vec<Check> {
        let inner = self.inner();
        let count = |guarantee| inner.violations.get(&guarantee).map_or(0, Vec::len) as f64;
        Guarantee::ALL
            .into_iter()
            .map(|guarantee| {
                Check::at_most(format!("violated: {guarantee:?}"), 0.0, count(guarantee))
            })
            .collect()
    }
}
