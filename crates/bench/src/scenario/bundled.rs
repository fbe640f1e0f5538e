//! Scenarios that are compiled into the program.

macro_rules! bundled {
    ($($name:literal),* $(,)?) => {
        /// Names and texts of the bundled scenarios.
        pub const BUNDLED: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*];
    };
}

bundled!["kestrel", "benoni", "shift", "drift", "crash", "overload", "region"];
