//! A line on its way to the output, and what decides whether it may be left out.

value! {
    /// Which lines stay when not all can be written.
    pub enum RetentionClass {
        /// Of a request or an attempt that goes well so far.
        Ordinary,
        /// Of a request or an attempt that was refused, failed, or was cancelled.
        Failure,
        /// Of no request: what the process believes has changed.
        State,
    }
}

record! {
    /// A line of the log.
    pub struct LogEntry {
        /// The line with its end.
        pub text: Vec<u8>,
        /// Its message, by which lines left out are counted.
        pub kind: &'static str,
        /// Hash of the request or attempt that it belongs to; zero if none.
        pub subject_hash: u64,
        /// Which lines it stays before.
        pub class: RetentionClass,
    }
}
