//! Derive sets and the invariant check.

/// Derives the common set of a plain copyable value.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
            $item
        )*
    };
}

/// Derives the common set of an owned record.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

/// Checks an invariant: counts a violation, and panics in builds with debug assertions.
macro_rules! invariant {
    ($cond:expr, $name:literal) => {
        if !$cond {
            $crate::invariants::report_violation($name);
        }
    };
}
