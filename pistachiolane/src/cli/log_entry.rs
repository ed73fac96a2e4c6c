//! Encoded log line with the data that decides whether it may be dropped.

value! {
    /// Class of a log line. When the backlog is full, ordinary lines are dropped first, then the oldest of the others.
    pub enum RetentionClass {
        /// Line of a request or an attempt that has not failed so far.
        Ordinary,
        /// Line of a request or an attempt that was refused, failed or was cancelled.
        Failure,
        /// Line that belongs to no request or attempt, such as a change of the state of the node.
        State,
    }
}

record! {
    /// One log line.
    pub struct LogEntry {
        /// Encoded line, including the line break.
        pub text: Vec<u8>,
        /// Kind by which dropped lines are counted: the message, or `others` if it is formatted from arguments.
        pub kind: &'static str,
        /// Hash of the request or attempt that the line belongs to; zero if none.
        pub subject_hash: u64,
        /// Class of the line, which decides when it is dropped.
        pub class: RetentionClass,
    }
}
