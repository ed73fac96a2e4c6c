//! Load report, which is attached to every response and refusal of a gate.

use {
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{Error, SeqAccess, Visitor},
        ser::SerializeTuple,
    },
    std::fmt,
};

value! {
    /// State of a gate that decides whether it accepts new attempts.
    #[derive(Default)]
    pub enum GateState {
        /// Accepts attempts.
        #[default]
        Ready,
        /// Accepts attempts, at first only a few.
        Warming,
        /// Accepts no new attempts, because the gate is draining or its upstream is absent.
        Draining,
        /// The upstream fails or refuses most requests.
        Shedding,
    }

    /// Load of one gate at one moment.
    #[derive(Default)]
    pub struct LoadReport {
        /// Sequence number that increases with each report of a gate and orders the reports.
        pub sequence: u64,
        /// Number of requests that the gate runs concurrently.
        pub slots: u16,
        /// Number of running requests.
        pub running: u16,
        /// Number of queued requests.
        pub queued: u16,
        /// Estimated service time in microseconds; zero if unknown.
        pub latency_us: u32,
        /// Current service time relative to the upstream's average, in percent; zero if unknown.
        pub slowness_percent: u16,
        /// State of the gate.
        pub state: GateState,
    }
}

impl GateState {
    /// Returns the number that encodes the state in messages and atomics.
    pub fn code(self) -> u8 {
        match self {
            Self::Ready => 0,
            Self::Warming => 1,
            Self::Draining => 2,
            Self::Shedding => 3,
        }
    }

    /// Returns the state that a number encodes, if it is valid.
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

const FIELD_COUNT: usize = 7;

impl Serialize for LoadReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
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
        let too_short = |n| A::Error::invalid_length(n, &"seven numbers");
        let report = LoadReport {
            sequence: seq.next_element()?.ok_or_else(|| too_short(0))?,
            slots: seq.next_element()?.ok_or_else(|| too_short(1))?,
            running: seq.next_element()?.ok_or_else(|| too_short(2))?,
            queued: seq.next_element()?.ok_or_else(|| too_short(3))?,
            latency_us: seq.next_element()?.ok_or_else(|| too_short(4))?,
            slowness_percent: seq.next_element()?.ok_or_else(|| too_short(5))?,
            state: GateState::Ready,
        };
        let code = seq.next_element()?.ok_or_else(|| too_short(6))?;
        let state = GateState::from_code(code)
            .ok_or_else(|| A::Error::custom(format_args!("unknown gate state {code}")))?;
        Ok(LoadReport { state, ..report })
    }
}

impl<'de> Deserialize<'de> for LoadReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, LoadReportVisitor)
    }
}
