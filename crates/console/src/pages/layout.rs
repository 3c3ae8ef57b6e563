//! Layout and elements shared by all pages.

use maud::{DOCTYPE, Markup, html};
use salvo::{
    Response,
    http::{StatusCode, header::HeaderValue},
};

const STYLE: &str = "\
body{font:16px/1.5 system-ui,sans-serif;margin:0;color:#1c2733;background:#f5f7f9}\
header{background:#12324a;color:#fff;padding:.7rem 1.5rem;display:flex;gap:1.5rem;align-items:baseline}\
header a{color:#d5e6f2}header strong{font-size:1.1rem}\
main{padding:1.2rem 1.5rem;max-width:82rem}section+section{margin-top:1.2rem}.columns section{margin-top:0}\
.columns{display:grid;grid-template-columns:repeat(auto-fit,minmax(20rem,1fr));gap:1.2rem;align-items:start}\
section,form.card{background:#fff;border:1px solid #d5dce2;border-radius:6px;padding:1rem 1.2rem}\
pre{background:#eef2f5;padding:.7rem;overflow:auto;font-size:.86rem;margin:.4rem 0}\
label{display:block;margin-top:.8rem;font-weight:600}\
input,select,textarea{font:inherit;width:100%;box-sizing:border-box;padding:.35rem .5rem;border:1px solid #9aa8b4;border-radius:4px}\
input[type=checkbox]{width:auto}\
.hint{color:#5b6b79;font-size:.88rem;font-weight:400}\
.fault{color:#9c1c1c;font-weight:600;font-size:.92rem;margin:.2rem 0}\
input.faulty,select.faulty{border-color:#9c1c1c;background:#fdf1f1}\
button{font:inherit;margin-top:1rem;padding:.45rem 1.1rem;border-radius:4px;border:1px solid #12324a;background:#12324a;color:#fff}\
button.plain{background:#fff;color:#12324a}\
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:.35rem .6rem;border-bottom:1px solid #d5dce2;vertical-align:top}\
.add{color:#14622b}.del{color:#9c1c1c}";

/// Writes a page with its security headers into `res`.
pub(crate) fn page(res: &mut Response, status: StatusCode, title: &str, content: &Markup) {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " · jujubeferry" }
                style { (maud::PreEscaped(STYLE)) }
            }
            body {
                header {
                    strong { "jujubeferry" }
                    a href="/" { "Declaration" }
                    a href="/audit" { "Audit trail" }
                    a href="/status" { "In force where" }
                }
                main { h1 { (title) } (content) }
            }
        }
    };
    res.status_code(status);
    let headers = res.headers_mut();
    let set = [
        ("content-type", "text/html; charset=utf-8"),
        ("cache-control", "no-store"),
        ("x-frame-options", "DENY"),
        (
            "content-security-policy",
            "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'",
        ),
    ];
    for (name, value) in set {
        headers.insert(name, HeaderValue::from_static(value));
    }
    // Writing text into a response without a body cannot fail.
    let _ = res.write_body(page.into_string());
}

/// Writes a page with one paragraph and a link to the overview.
pub(crate) fn message(res: &mut Response, status: StatusCode, title: &str, text: &str) {
    page(
        res,
        status,
        title,
        &html! { section { p { (text) } p { a href="/" { "Back to the declaration" } } } },
    );
}

/// Returns a difference with its added and deleted lines marked.
pub(crate) fn difference(text: &str) -> Markup {
    html! {
        pre {
            @for line in text.lines() {
                @let class = match line.as_bytes().first() {
                    Some(b'+') => "add",
                    Some(b'-') => "del",
                    _ => "",
                };
                span class=(class) { (line) "\n" }
            }
        }
    }
}
