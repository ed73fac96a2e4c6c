//! Settings derived from the deployment environment.

record! {
    /// Settings that an adapter derives, by flag name.
    #[derive(Default)]
    pub struct DerivedSettings {
        /// Values by flag name.
        pub values: Vec<(&'static str, String)>,
        /// One line for each invalid value that was skipped, with the reason.
        pub skipped: Vec<String>,
    }
}
