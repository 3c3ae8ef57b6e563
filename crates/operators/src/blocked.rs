//! Bodies of the requests about blocked parts of prompts.

use derives::record;

/// `GET /v1/blocked-parts` of a keeper, confirmed by a quorum.
#[record]
pub struct BlockedList {
    /// Version of the list; increases with each change of `blocked`.
    pub version: u64,
    /// The blocked parts, ordered by part.
    pub blocked: Vec<BlockedEntry>,
    /// The parts that operators unblocked most recently, ordered by part.
    pub unblocked: Vec<UnblockedEntry>,
}

/// A blocked part.
#[record]
pub struct BlockedEntry {
    /// Hash of the part's id as 16 hexadecimal digits.
    pub part: String,
    /// Name of the service whose endpoints crashed.
    pub service: String,
    /// Number of crashes known at the decision.
    pub crashes: u32,
    /// Names of endpoints that crashed.
    pub endpoints: Vec<String>,
    /// Ids of requests under which they crashed.
    pub requests: Vec<String>,
    /// VM of the gate that decided.
    pub source: String,
    /// Time of the decision in UTC, RFC 3339.
    pub blocked_at: String,
    /// Time at which the block ends if no gate decides to block the part again, in UTC, RFC 3339.
    pub expires_at: String,
}

/// The last unblock of a part.
#[record]
pub struct UnblockedEntry {
    /// Hash of the part's id as 16 hexadecimal digits.
    pub part: String,
    /// Name of the operator.
    pub author: String,
    /// Why the block was taken back.
    pub reason: String,
    /// Time of the unblock in UTC, RFC 3339.
    pub unblocked_at: String,
}

/// The body of `POST /v1/blocked-parts/{part}/unblock`.
#[record]
#[serde(deny_unknown_fields)]
pub struct UnblockRequest {
    /// Author; the keeper replaces it by the token's name if operators have tokens.
    #[serde(default)]
    pub author: String,
    /// Why the block is taken back.
    pub reason: String,
}

/// The response to an unblock.
#[record]
pub struct Unblocked {
    /// False if the part was not blocked.
    pub existed: bool,
}

/// Formats the hash of a part's id as 16 hexadecimal digits.
pub fn format_part(part: u64) -> String {
    format!("{part:016x}")
}

/// Parses the 16 hexadecimal digits of a part.
pub fn parse_part(text: &str) -> Result<u64, String> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let part = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
    part.ok_or_else(|| format!("part `{text}`: write 16 hexadecimal digits, as in the list"))
}
