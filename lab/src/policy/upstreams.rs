//! Upstreams as queues: servers shared with a noisy neighbour, a first-come queue before them.

use {
    pistachiolane::tick::Tick,
    rand::{RngExt, rngs::SmallRng},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Mean service time.
    pub mean_service_time: Duration,
    queue: VecDeque<u64>,
    running: HashMap<u64, u64>,
    starts: u64,
}

/// A job that began: the model must end it at this time, if its start is still the same.
#[derive(Clone, Copy, Debug)]
pub struct StartedJob {
    /// The job.
    pub job: u64,
    /// Names this start; a cancelled job's end is void.
    pub start_id: u64,
    /// When it ends.
    pub ends_at: Tick,
}

/// How the end of a job went.
#[derive(Clone, Copy, Debug)]
pub enum JobEnd {
    /// The job was cancelled before; there is nothing to end.
    Cancelled,
    /// It is done; the job that begins in its place, if any.
    Done(Option<StartedJob>),
}

impl Upstream {
    /// An idle upstream.
    pub fn new(slots: usize, mean_service_time: Duration) -> Self {
        Self {
            slots,
            mean_service_time,
            queue: VecDeque::new(),
            running: HashMap::new(),
            starts: 0,
        }
    }

    /// u64s that run or queue.
    pub fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Expected time until one more job would be done.
    pub fn expected_latency(&self) -> Duration {
        let before = (self.load() + 1).saturating_sub(self.slots);
        self.mean_service_time + self.mean_service_time.mul_f64(before as f64 / self.slots as f64)
    }

    /// Adds a job.
    pub fn submit(&mut self, now: Tick, rng: &mut SmallRng, job: u64) -> Option<StartedJob> {
        self.queue.push_back(job);
        self.start_next(now, rng)
    }

    /// Ends a job, if it was not cancelled before.
    pub fn end(&mut self, now: Tick, rng: &mut SmallRng, ended: StartedJob) -> JobEnd {
        if self.running.get(&ended.job) != Some(&ended.start_id) {
            return JobEnd::Cancelled;
        }
        self.running.remove(&ended.job);
        JobEnd::Done(self.start_next(now, rng))
    }

    /// Takes a job away; gives the job that begins in its place, if any.
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
