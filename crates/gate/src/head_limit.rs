//! Limits the size of request heads, with a problem document as the response.

use salvo::{
    Depot, FlowCtrl, Request, Response, handler,
    http::{HeaderMap, header::HeaderValue},
};

use crate::refusal::{refusal, without_promise};

/// The HTTP library's limit is this much larger, so that oversized heads reach the check here. The
/// library answers still larger ones itself, without a problem document.
pub(crate) const LIBRARY_HEAD_FACTOR: usize = 2;
/// Bytes of a header line besides its name and value, and of the request line besides its target.
const SEPARATORS: usize = ": \r\n".len();
const REQUEST_LINE: usize = "OPTIONS  HTTP/1.1\r\n\r\n".len();

/// Refuses requests whose head exceeds this many bytes.
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
        let problem = refusal(431, "head-too-large", "Head too large", detail);
        without_promise(problem, req.headers()).render(res);
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert("connection", close);
        ctrl.skip_rest();
    }
}

/// Size of the head as received, except for optional whitespace.
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
