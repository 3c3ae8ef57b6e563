//! TCP proxy: one task per connection, which pumps both directions.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::timeout,
};

use super::{
    ConnectionControl,
    pump::{self, Throttle},
    rules::{Direction, Rules},
};

/// Time limit for a connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An accepted connection.
struct Connection {
    number: u64,
    socket: TcpStream,
    rules: watch::Receiver<Rules>,
    seed: u64,
}

/// Accepts connections; aborting this task closes them all.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    control: ConnectionControl,
    rules_for: F,
    seed: u64,
) where
    F: Fn(SocketAddr) -> watch::Receiver<Rules> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut number = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, peer)) = accepted {
                number += 1;
                control.last_number.send_replace(number);
                let connection = Connection {
                    number,
                    socket,
                    rules: rules_for(peer),
                    seed: seed.wrapping_add(number),
                };
                connections.spawn(serve(connection, control.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(mut connection: Connection, control: ConnectionControl) {
    let mut reset_up_to = control.reset_up_to.subscribe();
    let number = connection.number;
    let address = *control.upstream.borrow();
    let is_refused = connection.rules.borrow().refuse;
    let Some(address) = address.filter(|_| !is_refused) else {
        return reset(&connection.socket);
    };
    let Ok(Ok(mut upstream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return reset(&connection.socket);
    };
    let until_reset = async {
        // Cannot fail, as `control` holds the sender: completes only on a requested reset.
        let _ = reset_up_to.wait_for(|last| *last >= number).await;
    };
    let is_reset = tokio::select! {
        copied = copy_both(&mut connection, &mut upstream, &control) => copied.is_err(),
        () = until_reset => true,
    };
    if is_reset {
        reset(&connection.socket);
        reset(&upstream);
    }
}

async fn copy_both(
    connection: &mut Connection,
    upstream: &mut TcpStream,
    control: &ConnectionControl,
) -> io::Result<()> {
    // Nagle's algorithm would delay small messages beyond the rules.
    let _ = (
        connection.socket.set_nodelay(true),
        upstream.set_nodelay(true),
    );
    let throttle = |direction, salt| Throttle {
        direction,
        number: connection.number,
        rules: connection.rules.clone(),
        silenced_up_to: control.silenced_up_to.subscribe(),
        seed: connection.seed ^ salt,
    };
    let to_upstream = throttle(Direction::ToUpstream, 0);
    let from_upstream = throttle(Direction::FromUpstream, 1 << 32);
    let (client_rx, client_tx) = connection.socket.split();
    let (upstream_rx, upstream_tx) = upstream.split();
    tokio::try_join!(
        pump::run(client_rx, upstream_tx, to_upstream),
        pump::run(upstream_rx, client_tx, from_upstream)
    )?;
    Ok(())
}

/// Makes the following close of the socket send a reset.
fn reset(socket: &TcpStream) {
    // Errors are ignored: the socket may be closed already.
    let _ = socket.set_zero_linger();
}
