//! A client's connection to a gateway, and the requests that are open on it.

use super::codec::{decode_answer, encode_cancellation};
use super::{EXTRA_ANSWER_WAIT, MAX_ANSWER_WAIT, POLL_INTERVAL};
use crate::history::{GatewayRun, Request, RequestEnd};
use crate::testbed::{Testbed, locked};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// One connection to a gateway. A task reads its answers and records them in the history.
pub(super) struct Connection {
    pub(super) to: GatewayRun,
    pub(super) writer: OwnedWriteHalf,
    open_requests: Arc<Mutex<OpenRequests>>,
    reader: tokio::task::JoinHandle<()>,
    /// The number of the next message.
    pub(super) next_message_number: u32,
}

/// The requests of a connection that have no answer yet.
#[derive(Default)]
struct OpenRequests {
    /// Indices of the requests in the history, by message number.
    request_indices: HashMap<u32, usize>,
    /// Whether the connection has ended.
    ended: bool,
}

impl Connection {
    pub(super) async fn open(testbed: &Arc<Testbed>, gateway: usize) -> std::io::Result<Connection> {
        let to = testbed.run_of(gateway);
        let stream = testbed.gateways[gateway].connect().await?;
        let (reader, writer) = TcpStream::into_split(stream);
        let open_requests: Arc<Mutex<OpenRequests>> = Arc::default();
        let reading = read_answers(testbed.clone(), reader, open_requests.clone());
        Ok(Connection { to, writer, open_requests, reader: tokio::spawn(reading), next_message_number: 1 })
    }

    /// Records a request whose last byte is about to be written. Returns its index in the history.
    pub(super) fn register(
        &self,
        testbed: &Testbed,
        message_number: u32,
        mut request: Request,
    ) -> std::io::Result<usize> {
        let mut open = locked(&self.open_requests);
        if open.ended {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        request.sent_at = testbed.history.now();
        let request_index = testbed.history.record_request(request);
        open.request_indices.insert(message_number, request_index);
        Ok(request_index)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.reader.is_finished()
    }

    /// Cancels a request. This is recorded first: the gateway may close the connection before the write returns here, and
    /// that must not count as the loss of the request.
    pub(super) async fn cancel(
        &mut self,
        testbed: &Testbed,
        message_number: u32,
        request_index: usize,
    ) -> std::io::Result<()> {
        testbed.history.record_request_end(request_index, RequestEnd::Abandoned);
        self.writer.write_all(&encode_cancellation(message_number)).await
    }

    /// Closes the connection with its requests open.
    pub(super) fn abandon(self, testbed: &Testbed) {
        self.reader.abort();
        for (_, request_index) in locked(&self.open_requests).request_indices.drain() {
            testbed.history.record_request_end(request_index, RequestEnd::Abandoned);
        }
    }

    /// Waits until all these requests have ended, a little longer than a client would.
    pub(super) async fn wait_for_answers(&self, requests: &[(u32, usize)]) {
        let all_ended = async {
            while requests.iter().any(|(message_number, _)| {
                locked(&self.open_requests).request_indices.contains_key(message_number)
            }) {
                if self.has_ended() {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL / 5).await;
            }
        };
        let _ = tokio::time::timeout(MAX_ANSWER_WAIT + EXTRA_ANSWER_WAIT, all_ended).await;
    }

    pub(super) async fn close(mut self) {
        let _ = self.writer.shutdown().await;
    }
}

/// Reads answers until the connection ends, and records them in the history. An answer to a request that has been
/// answered is recorded as well.
async fn read_answers(
    testbed: Arc<Testbed>,
    mut from: OwnedReadHalf,
    open_requests: Arc<Mutex<OpenRequests>>,
) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    // The indices of the requests that have been answered, by message number.
    let mut answered: HashMap<u32, usize> = HashMap::new();
    let reset = loop {
        match from.read(&mut buffer).await {
            Ok(0) => break false,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => break true,
        }
        while let Some((length, message_number, end)) = decode_answer(&bytes) {
            bytes.drain(..length);
            let request_index = locked(&open_requests)
                .request_indices
                .remove(&message_number)
                .or_else(|| answered.get(&message_number).copied());
            if let Some(request_index) = request_index {
                answered.insert(message_number, request_index);
                testbed.history.record_request_end(request_index, end);
            }
        }
    };
    let mut open = locked(&open_requests);
    open.ended = true;
    for (_, request_index) in open.request_indices.drain() {
        testbed.history.record_request_end(request_index, RequestEnd::Closed { reset });
    }
}
