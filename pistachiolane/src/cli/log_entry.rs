//! Encoded log line with the data that decides whether it may be dropped.

value! {
    /// Order in which lines are dropped when not all can be written.
    pub enum RetentionClass {
        /// Line of a request or an attempt that has not failed so far.
        Ordinary,
        /// Line of a request or an attempt that was refused, failed or was cancelled.
        Failure,
        /// Line that belongs to no request: a change of the state that this process keeps.
        State,
    }
}

record! {
    /// One log line.
    pub struct LogEntry {
        /// Encoded line, including the line break.
        pub text: Vec<u8>,
        /// Message of the line; dropped lines are counted by it.
        pub kind: &'static str,
        /// Hash of the request or attempt that the line belongs to; zero if none.
        pub subject_hash: u64,
        /// Class that decides which lines are dropped first.
        pub class: RetentionClass,
    }
}
