//! Bound on the head of a request, with an answer that says so.

use salvo::{
    Depot, FlowCtrl, Request, Response, handler,
    http::{HeaderMap, header::HeaderValue},
};

use crate::refusal::refusal;

/// How much larger a head the HTTP library takes, so that it reaches the check here; it answers a
/// larger one by itself, without a document.
pub(crate) const LIBRARY_HEAD_FACTOR: usize = 2;
/// Bytes of a header line beside its name and value, and of the request line beside its path.
const SEPARATORS: usize = ": \r\n".len();
const REQUEST_LINE: usize = "OPTIONS  HTTP/1.1\r\n\r\n".len();

/// Refuses requests whose head has more bytes.
#[derive(Debug)]
pub(crate) struct HeadLimit(pub(crate) usize);

#[handler]
impl HeadLimit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let max = self.0;
        if head_bytes(req) <= max {
            ctrl.call_next(req, depot, res).await;
            return;
        }
        let detail = format!("the request's head is larger than {max} bytes; send fewer headers");
        refusal(431, "head-too-large", "Head too large", detail).render(res);
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert("connection", close);
        ctrl.skip_rest();
    }
}

/// The size of the head as it came, but for optional blanks.
fn head_bytes(req: &Request) -> usize {
    let uri = req.uri();
    let target = uri.path().len() + uri.query().map_or(0, |query| query.len() + 1);
    REQUEST_LINE + target + header_bytes(req.headers())
}

fn header_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}
