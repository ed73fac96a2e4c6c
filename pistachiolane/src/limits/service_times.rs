//! Average service times of an upstream by request class.

use {
    super::Average,
    crate::tick::micros,
    papaya::HashMap,
    std::{sync::Arc, time::Duration},
};

/// Maximum number of classes with their own average; further classes use the average of all requests.
const MAX_CLASSES: usize = 1_024;

/// Average time until the response head, by request class.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    classes: HashMap<u32, Arc<Average>>,
    all: Average,
}

impl ServiceTimes {
    /// Records the service time of one request.
    pub fn record(&self, class: u32, time: Duration) {
        let sample = micros(time).max(1) as f64;
        self.all.record(sample);
        let classes = self.classes.pin();
        if classes.len() < MAX_CLASSES || classes.contains_key(&class) {
            classes.get_or_insert_with(class, Arc::default).record(sample);
        }
    }

    /// Returns the expected service time of a class, or zero while there are no samples.
    pub fn expected(&self, class: u32) -> Duration {
        let classes = self.classes.pin();
        let average_us =
            classes.get(&class).map_or_else(|| self.all.get(), |average| average.get());
        Duration::from_micros(average_us as u64)
    }
}
