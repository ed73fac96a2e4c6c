//! How long requests of each class take at an upstream.

use {
    super::Average,
    crate::tick::micros,
    papaya::HashMap,
    std::{sync::Arc, time::Duration},
};

/// Classes that are kept apart; a configuration with more of them shares what is known of all.
const MAX_CLASSES: usize = 1_024;

/// Averages of the time to the head of an answer, by class.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    classes: HashMap<u32, Arc<Average>>,
    all: Average,
}

impl ServiceTimes {
    /// Takes the time of one request.
    pub fn record(&self, class: u32, time: Duration) {
        let sample = micros(time).max(1) as f64;
        self.all.record(sample);
        let classes = self.classes.pin();
        if classes.len() < MAX_CLASSES || classes.contains_key(&class) {
            classes.get_or_insert_with(class, Arc::default).record(sample);
        }
    }

    /// Time expected of a request of a class; zero while nothing is known.
    pub fn expected(&self, class: u32) -> Duration {
        let classes = self.classes.pin();
        let known = classes.get(&class).map_or_else(|| self.all.get(), |average| average.get());
        Duration::from_micros(known as u64)
    }
}
