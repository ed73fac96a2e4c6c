//! Upstreams as queues: slots that a noisy neighbour may occupy, behind a first-in, first-out queue.

use {
    pistachiolane::tick::Tick,
    rand::{RngExt, rngs::SmallRng},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// An upstream with slots and a queue.
#[derive(Debug)]
pub struct Upstream {
    /// Number of jobs that run concurrently.
    pub slots: usize,
    /// Mean service time.
    pub mean_service_time: Duration,
    queue: VecDeque<u64>,
    running: HashMap<u64, u64>,
    starts: u64,
}

/// A started job, which the model ends at `ends_at` unless it was cancelled.
#[derive(Clone, Copy, Debug)]
pub struct StartedJob {
    /// Job id.
    pub job: u64,
    /// Id of this start, by which the end of a cancelled job is recognised and ignored.
    pub start_id: u64,
    /// Time of its end.
    pub ends_at: Tick,
}

/// Result of ending a job.
#[derive(Clone, Copy, Debug)]
pub enum JobEnd {
    /// The job was cancelled earlier; nothing was ended.
    Cancelled,
    /// The job is done; contains the job that starts in its place, if any.
    Done(Option<StartedJob>),
}

impl Upstream {
    /// Creates an idle upstream.
    pub fn new(slots: usize, mean_service_time: Duration) -> Self {
        Self {
            slots,
            mean_service_time,
            queue: VecDeque::new(),
            running: HashMap::new(),
            starts: 0,
        }
    }

    /// Returns the number of running and queued jobs.
    pub fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the expected time until the end of a job that is added now.
    pub fn expected_latency(&self) -> Duration {
        let jobs_ahead = (self.load() + 1).saturating_sub(self.slots);
        self.mean_service_time
            + self.mean_service_time.mul_f64(jobs_ahead as f64 / self.slots as f64)
    }

    /// Adds a job; returns the job that starts because of it, if any.
    pub fn submit(&mut self, now: Tick, rng: &mut SmallRng, job: u64) -> Option<StartedJob> {
        self.queue.push_back(job);
        self.start_next(now, rng)
    }

    /// Ends a job unless it was cancelled.
    pub fn end(&mut self, now: Tick, rng: &mut SmallRng, ended: StartedJob) -> JobEnd {
        if self.running.get(&ended.job) != Some(&ended.start_id) {
            return JobEnd::Cancelled;
        }
        self.running.remove(&ended.job);
        JobEnd::Done(self.start_next(now, rng))
    }

    /// Removes a job; returns the job that starts in its place, if any.
    pub fn cancel(&mut self, now: Tick, rng: &mut SmallRng, job: u64) -> Option<StartedJob> {
        self.queue.retain(|j| *j != job);
        self.running.remove(&job)?;
        self.start_next(now, rng)
    }

    fn start_next(&mut self, now: Tick, rng: &mut SmallRng) -> Option<StartedJob> {
        if self.running.len() >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.starts += 1;
        self.running.insert(job, self.starts);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Some(StartedJob {
            job,
            start_id: self.starts,
            ends_at: now + self.mean_service_time.mul_f64(-uniform.ln()),
        })
    }
}
