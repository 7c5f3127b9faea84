//! Crowds of clients that send without an end, or do not read what they get.
#![allow(clippy::expect_used, reason = "a client that cannot be started fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const KB: usize = 1 << 10;

/// Time without progress after which a client stops waiting until the process reads on.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the clients keep their connections open after the last write, so that the process has read all bytes that
/// it reads.
pub const HOLD: Duration = Duration::from_millis(700);

/// Pause of a slow client between two reads.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Returns chunks of a chunked body without the last one.
pub fn chunks(size_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(size_bytes / chunk_bytes)
}

/// Connects with a receive buffer that holds little of a response that is not read.
pub async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.set_recv_buffer_size(4_096).expect("the size of the buffer is set");
    socket.connect(address).await.expect("the process accepts connections")
}

/// Writes the bytes as far as the process reads them.
pub async fn write_as_far_as_read(stream: &mut TcpStream, bytes: &[u8]) {
    for piece in bytes.chunks(64 * KB) {
        // The process may close the connection or stop to read from it.
        if !matches!(actix_rt::time::timeout(WRITE_TIMEOUT, stream.write_all(piece)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Opens a connection for each client at the same time and writes what `parts` returns for the client, one part after all
/// clients have written the one before. Returns the connections, on which nothing was read.
pub async fn send_parts<P>(callers: SocketAddr, clients: usize, part_count: usize, parts: P) -> Vec<TcpStream>
where
    P: Fn(usize, usize) -> Vec<u8> + Clone + 'static,
{
    let mut streams = Vec::new();
    for _ in 0..clients {
        streams.push(connect(callers).await);
    }
    for part in 0..part_count {
        let writes: Vec<_> = streams
            .into_iter()
            .enumerate()
            .map(|(client, mut stream)| {
                let bytes = parts(client, part);
                actix_rt::spawn(async move {
                    write_as_far_as_read(&mut stream, &bytes).await;
                    stream
                })
            })
            .collect();
        streams = Vec::new();
        for write in writes {
            streams.push(write.await.expect("the task ends"));
        }
        actix_rt::time::sleep(HOLD).await;
    }
    streams
}

/// Reads at most the given number of bytes from each connection after each pause.
pub async fn read_slowly(streams: Vec<TcpStream>, piece_bytes: usize, reads: usize) -> Vec<TcpStream> {
    let readers: Vec<_> = streams
        .into_iter()
        .map(|mut stream| {
            actix_rt::spawn(async move {
                let mut piece = vec![0; piece_bytes];
                for _ in 0..reads {
                    actix_rt::time::sleep(SLOW_PAUSE).await;
                    // The process may close the connection or send nothing for a time.
                    if let Ok(Ok(0) | Err(_)) =
                        actix_rt::time::timeout(SLOW_PAUSE, stream.read(&mut piece)).await
                    {
                        break;
                    }
                }
                stream
            })
        })
        .collect();
    let mut streams = Vec::new();
    for reader in readers {
        streams.push(reader.await.expect("the task ends"));
    }
    streams
}

/// Reads what the process sends until it closes the connection or sends nothing more.
pub async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    // Without an end of the connection, what has arrived is the response.
    drop(actix_rt::time::timeout(WRITE_TIMEOUT, stream.read_to_end(&mut response)).await);
    String::from_utf8_lossy(&response).into_owned()
}
