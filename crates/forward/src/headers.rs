//! End-to-end headers.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the end-to-end headers of `from`: without hop-by-hop headers and those listed in its
/// `Connection` header.
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let mut headers = from.clone();
    let named = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    for name in named.flat_map(|list| list.split(',')) {
        headers.remove(name.trim());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}
