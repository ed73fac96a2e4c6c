//! Settings derived from the deployment environment.

record! {
    /// Settings that an adapter derives, by flag name.
    #[derive(Default)]
    pub struct DerivedSettings {
        /// Values by flag name.
        pub values: Vec<(&'static str, String)>,
        /// Values that were skipped because they are not usable, each with the reason.
        pub skipped: Vec<String>,
    }
}
