//! Headers that go further than one connection.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

/// Headers that concern one connection only.
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

/// The headers of `from` that go further: those neither of one connection nor named by its
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
