//! Memory and descriptors of a process.

use {
    super::process::SettingsReader,
    rustix::{
        process::{Resource, getrlimit},
        system::sysinfo,
    },
};

const BYTES_PER_MIB: u64 = 1 << 20;

/// Part of the process's memory that it holds for its peers at most, by default.
const BUFFER_DIVISOR: u64 = 4;

/// Part of the process's descriptors that callers' connections use at most, by default. The others are left for
/// the upstream, other nodes, the store, readiness and the admin address.
const CALLER_DIVISOR: u64 = 2;

/// Parts of the process's descriptors that other nodes' connections to the gate and for control calls use at most, and
/// those to each of the other listeners.
const GATE_DIVISOR: u64 = 4;
const CONTROL_DIVISOR: u64 = 16;
const SERVICE_DIVISOR: u64 = 32;

/// Memory in bytes for which the process may have one caller's connection, by default.
const BYTES_PER_CONNECTION: u64 = 128 << 10;

/// Descriptors that are assumed if the system states no limit.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

value! {
    /// Memory and descriptors of a process, and the shares of them that its peers may hold.
    pub struct Resources {
        /// Descriptors that the process may open.
        pub descriptors: u64,
        /// Bytes that the process holds for its peers at most: bodies of requests, and responses that are not taken yet.
        pub buffer_bytes: u64,
        /// Connections of callers that are open at the same time at most.
        pub caller_connections: u64,
    }
}

impl Resources {
    /// Returns the most connections of other nodes to the gate.
    pub fn gate_connections(&self) -> u64 {
        self.descriptors / GATE_DIVISOR
    }

    /// Returns the most connections of other nodes for control calls.
    pub fn control_connections(&self) -> u64 {
        self.descriptors / CONTROL_DIVISOR
    }

    /// Returns the most connections to each listener for the host's services and operators.
    pub fn service_connections(&self) -> u64 {
        self.descriptors / SERVICE_DIVISOR
    }

    pub(super) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let mib = "whole MiB, 1 or more";
        let count = "a whole number, 1 or more";
        let memory = reader
            .optional_count("memory", mib)
            .map_or_else(machine_memory, |mib| mib.saturating_mul(BYTES_PER_MIB));
        let buffer = reader.optional_count("buffer-memory", mib);
        let descriptors =
            reader.optional_count("descriptors", count).unwrap_or_else(allowed_descriptors);
        let connections = reader.optional_count("caller-connections", count);
        Self {
            descriptors,
            buffer_bytes: buffer
                .map_or(memory / BUFFER_DIVISOR, |mib| mib.saturating_mul(BYTES_PER_MIB)),
            caller_connections: connections
                .unwrap_or((descriptors / CALLER_DIVISOR).min(memory / BYTES_PER_CONNECTION))
                .max(1),
        }
    }
}

/// Returns the memory of the machine in bytes.
fn machine_memory() -> u64 {
    let info = sysinfo();
    // The type of the figure differs between architectures.
    #[allow(
        clippy::useless_conversion,
        reason = "the type of the figure differs between architectures"
    )]
    let total = u64::from(info.totalram);
    total.saturating_mul(u64::from(info.mem_unit))
}

/// Returns the descriptors that the system lets the process open.
fn allowed_descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(DEFAULT_DESCRIPTORS)
}
