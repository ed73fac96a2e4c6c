//! Types of messages and settings: generated from `schema/`, except those on the hot path, which are written by hand.

mod attempt_name;
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated code")]
#[rustfmt::skip]
mod generated_messages;
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated code")]
#[rustfmt::skip]
mod generated_settings;
mod load_report;
mod wire;

pub use {
    generated_messages::{
        Acknowledgement, AttemptHeader, AttemptId, ExchangeReply, Health, LimitAnswer, LimitBatch,
        LimitReport, LimitTransfer, MemberRecord, PackedReply, PackedSubtree, Packet, PacketBody,
        PingRequest, Placement, SettleRequest, Settlement, StoreReads, Subtree, SubtreeVersion,
        SuspectUpdate,
    },
    generated_settings::{
        Announcement, CallerLimits, EvacuationsDocument, RegionSettings, RootDocument,
        RouteSettings, RouteTarget, RoutesDocument, Rule, ServiceSettings, StoredSubtree,
        TeamDocument, TeamEntry, WorkKind, WorkspaceSettings,
    },
    load_report::{GateState, LoadReport},
    wire::{FleetKey, MAX_PACKET_BYTES, WireError, decode_header, encode_header},
};
