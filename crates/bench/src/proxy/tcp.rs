//! TCP: one task a connection, two pumps inside it.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::timeout,
};

use super::{
    Switch,
    pump::{self, Valve},
    rules::{Direction, Rules},
};

/// Longest wait for the upstream to accept.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// One accepted connection.
struct Connection {
    number: u64,
    socket: TcpStream,
    rules: watch::Receiver<Rules>,
    seed: u64,
}

/// Takes connections until aborted, which closes them all.
pub(crate) async fn accept<F>(listener: TcpListener, switch: Switch, rules_for: F, seed: u64)
where
    F: Fn(SocketAddr) -> watch::Receiver<Rules> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut number = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, peer)) = accepted {
                number += 1;
                switch.newest.send_replace(number);
                let connection = Connection {
                    number,
                    socket,
                    rules: rules_for(peer),
                    seed: seed.wrapping_add(number),
                };
                connections.spawn(serve(connection, switch.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(mut connection: Connection, switch: Switch) {
    let mut reset_to = switch.reset_to.subscribe();
    let number = connection.number;
    let upstream = *switch.upstream.borrow();
    let is_refused = connection.rules.borrow().refuse;
    let Some(upstream) = upstream.filter(|_| !is_refused) else {
        return reset(&connection.socket);
    };
    let Ok(Ok(mut far)) = timeout(CONNECT_LIMIT, TcpStream::connect(upstream)).await else {
        return reset(&connection.socket);
    };
    let is_reset = async {
        // The sender lives in `switch`, so that this ends by the order alone.
        let _ = reset_to.wait_for(|to| *to >= number).await;
    };
    let is_cut_off = tokio::select! {
        passed = pass(&mut connection, &mut far, &switch) => passed.is_err(),
        () = is_reset => true,
    };
    if is_cut_off {
        reset(&connection.socket);
        reset(&far);
    }
}

async fn pass(connection: &mut Connection, far: &mut TcpStream, switch: &Switch) -> io::Result<()> {
    // Small messages are to wait for the rules alone.
    let _ = (connection.socket.set_nodelay(true), far.set_nodelay(true));
    let valve = |direction, salt| Valve {
        direction,
        number: connection.number,
        rules: connection.rules.clone(),
        silent_to: switch.silent_to.subscribe(),
        seed: connection.seed ^ salt,
    };
    let there = valve(Direction::ToUpstream, 0);
    let back = valve(Direction::FromUpstream, 1 << 32);
    let (near_rx, near_tx) = connection.socket.split();
    let (far_rx, far_tx) = far.split();
    tokio::try_join!(
        pump::run(near_rx, far_tx, there),
        pump::run(far_rx, near_tx, back)
    )?;
    Ok(())
}

/// Makes the close that follows a reset.
fn reset(socket: &TcpStream) {
    // A socket that is closed already needs none.
    let _ = socket.set_zero_linger();
}
