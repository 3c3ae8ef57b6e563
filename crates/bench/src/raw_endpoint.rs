//! Endpoint that writes its responses byte for byte.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
    time::sleep,
};

/// Delay between the bytes of a response and what follows them, so that the peer reads both apart.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Time between a crash and the next start.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// Request as a raw endpoint received it.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Number of its connection.
    pub connection: usize,
    /// Index of the request on its connection.
    pub index: usize,
    /// Its path.
    pub path: String,
    /// Names and values of its headers.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: String,
}

impl RawRequest {
    /// Returns the value of the header `name`, or the empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// How a connection continues after a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Then {
    /// It stays open.
    KeepOpen,
    /// The endpoint writes these bytes a little later, and the connection stays open.
    Write(String),
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// The endpoint crashes: it closes its listener and all connections, and starts again later.
    Crash,
}

type Respond = dyn Fn(&RawRequest) -> (String, Then) + Send + Sync;

/// A listener that runs until the end of its runtime. Clones share the requests.
#[derive(Clone, Debug)]
pub struct RawEndpoint {
    /// Address that it listens on.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    /// Notified to make the endpoint crash.
    crash: Arc<Notify>,
}

impl RawEndpoint {
    /// Starts an endpoint that writes the bytes returned by `respond` and continues as it says.
    pub async fn start(
        respond: impl Fn(&RawRequest) -> (String, Then) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            address: listener.local_addr()?,
            requests: Arc::default(),
            crash: Arc::default(),
        };
        tokio::spawn(endpoint.clone().run(listener, Arc::new(respond)));
        Ok(endpoint)
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<RawRequest> {
        let requests = self.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Serves connections, and listens again after each crash.
    async fn run(self, mut listener: TcpListener, respond: Arc<Respond>) {
        let mut connection = 0;
        loop {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    () = self.crash.notified() => break,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let serving = self.clone().serve(stream, connection, Arc::clone(&respond));
                        connections.spawn(serving);
                        connection += 1;
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
            drop(listener);
            connections.shutdown().await;
            sleep(DOWN_TIME).await;
            let bound = TcpListener::bind(self.address).await;
            listener = bound.expect("the address is still free");
        }
    }

    /// Serves one connection. Errors end it: the peer may close it at any time.
    async fn serve(self, mut stream: TcpStream, connection: usize, respond: Arc<Respond>) {
        let mut buf = Vec::new();
        for index in 0.. {
            let Some(mut req) = read_request(&mut stream, &mut buf).await else {
                return;
            };
            (req.connection, req.index) = (connection, index);
            let (bytes, then) = respond(&req);
            self.requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(req);
            if stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
            sleep(WRITE_DELAY).await;
            match then {
                Then::KeepOpen => {}
                Then::Write(more) if stream.write_all(more.as_bytes()).await.is_ok() => {}
                Then::Write(_) | Then::Close => return,
                Then::Reset => return drop(stream.set_zero_linger()),
                Then::Crash => return self.crash.notify_one(),
            }
        }
    }
}

/// Reads one request, or returns `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        if let Some((req, length)) = parse_request(buf) {
            buf.drain(..length);
            return Some(req);
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// Parses a request with a `Content-Length` or without a body; returns it with its length.
fn parse_request(buf: &[u8]) -> Option<(RawRequest, usize)> {
    let head_length = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_length]).into_owned();
    let mut lines = head.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let mut req = RawRequest {
        connection: 0,
        index: 0,
        path,
        headers: headers.collect(),
        body: String::new(),
    };
    let length = head_length + req.header("content-length").parse().unwrap_or(0);
    req.body = String::from_utf8_lossy(buf.get(head_length..length)?).into_owned();
    Some((req, length))
}
