//! Macros for common derives and for invariant checks.

/// Adds the common derives of small `Copy` types.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
            $item
        )*
    };
}

/// Adds the common derives of types that own data.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

/// Checks an invariant; counts and logs a violation, and panics in builds with debug assertions.
macro_rules! invariant {
    ($cond:expr, $name:literal) => {
        if !$cond {
            $crate::invariants::report_violation($name);
        }
    };
}
