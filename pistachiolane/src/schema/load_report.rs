//! The load report, which rides on every answer and refusal.

use {
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{Error, SeqAccess, Visitor},
        ser::SerializeTuple,
    },
    std::fmt,
};

value! {
    /// Whether a gate wants new work.
    #[derive(Default)]
    pub enum GateState {
        /// Takes work.
        #[default]
        Ready,
        /// Takes work, at first only a little.
        Warming,
        /// Takes no new work and will leave.
        Draining,
        /// Its upstream fails or refuses most requests.
        Shedding,
    }

    /// Load of one gate at one moment.
    #[derive(Default)]
    pub struct LoadReport {
        /// Increases with each report of a gate; orders them.
        pub sequence: u64,
        /// Requests that the gate runs at once.
        pub slots: u16,
        /// Requests running.
        pub running: u16,
        /// Requests queued.
        pub queued: u16,
        /// Estimated service time in microseconds; zero while unknown.
        pub latency_us: u32,
        /// How long work takes at this moment relative to the upstream's average, in percent; zero while unknown.
        pub slowness_percent: u16,
        /// Whether new work is wanted.
        pub state: GateState,
    }
}

impl GateState {
    /// Number that stands for the state in messages and atomics.
    pub fn code(self) -> u8 {
        match self {
            Self::Ready => 0,
            Self::Warming => 1,
            Self::Draining => 2,
            Self::Shedding => 3,
        }
    }

    /// State of a number, if there is one.
    pub fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::Ready),
            1 => Some(Self::Warming),
            2 => Some(Self::Draining),
            3 => Some(Self::Shedding),
            _ => None,
        }
    }
}

const FIELDS: usize = 7;

impl Serialize for LoadReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.sequence)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.running)?;
        tuple.serialize_element(&self.queued)?;
        tuple.serialize_element(&self.latency_us)?;
        tuple.serialize_element(&self.slowness_percent)?;
        tuple.serialize_element(&self.state.code())?;
        tuple.end()
    }
}

struct LoadReportVisitor;

impl<'de> Visitor<'de> for LoadReportVisitor {
    type Value = LoadReport;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a load report of seven numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<LoadReport, A::Error> {
        let short = |n| A::Error::invalid_length(n, &"seven numbers");
        let report = LoadReport {
            sequence: seq.next_element()?.ok_or_else(|| short(0))?,
            slots: seq.next_element()?.ok_or_else(|| short(1))?,
            running: seq.next_element()?.ok_or_else(|| short(2))?,
            queued: seq.next_element()?.ok_or_else(|| short(3))?,
            latency_us: seq.next_element()?.ok_or_else(|| short(4))?,
            slowness_percent: seq.next_element()?.ok_or_else(|| short(5))?,
            state: GateState::Ready,
        };
        let code = seq.next_element()?.ok_or_else(|| short(6))?;
        let state = GateState::from_code(code)
            .ok_or_else(|| A::Error::custom(format_args!("unknown gate state {code}")))?;
        Ok(LoadReport { state, ..report })
    }
}

impl<'de> Deserialize<'de> for LoadReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, LoadReportVisitor)
    }
}
