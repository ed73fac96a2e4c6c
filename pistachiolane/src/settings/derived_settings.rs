//! Settings that follow from what the surroundings say.

record! {
    /// Settings that an adapter derives, by flag name.
    #[derive(Default)]
    pub struct DerivedSettings {
        /// Values by flag name.
        pub values: Vec<(&'static str, String)>,
        /// What was given and could not be used, and why.
        pub skipped: Vec<String>,
    }
}
