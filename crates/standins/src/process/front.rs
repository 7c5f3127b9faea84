//! HTTP server of a stand-in: its listener, and the table of messages that wait for an answer.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use banyannotch::clock::{Clock, SystemClock};
use banyannotch::duty::{Duty, Mailbox, Ports, run};
use banyannotch::http::{Handler, Request, Response, ServerSettings, json, serve};
use banyannotch::ring::Doorbell;
use serde_json::json as object;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::{Arrival, Codec, DecodeError, Effect, Pacer, Ticket};

/// Error that prevents a stand-in from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The port cannot be bound.
    #[error("cannot listen on 127.0.0.1:{port}: {source}")]
    Listen {
        /// Port on the loopback interface.
        port: u16,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Standard output cannot be written.
    #[error("cannot write the address to standard output: {0}")]
    Output(#[from] std::io::Error),
}

/// How a message ends: with an answer, or with the connection closed without one.
enum Delivery<A> {
    Answer(A),
    Close,
}

/// Messages that wait for an answer, sorted by ticket.
struct PendingMessages<A> {
    last_ticket: Ticket,
    waiting: Vec<(Ticket, oneshot::Sender<Delivery<A>>)>,
}

impl<A> PendingMessages<A> {
    fn insert(&mut self) -> (Ticket, oneshot::Receiver<Delivery<A>>) {
        let (sender, receiver) = oneshot::channel();
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        self.waiting.push((self.last_ticket, sender));
        (self.last_ticket, receiver)
    }

    fn take(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Delivery<A>>> {
        let index = self.waiting.binary_search_by_key(&ticket, |(ticket, _)| *ticket).ok()?;
        Some(self.waiting.remove(index).1)
    }

    fn deliver(&mut self, ticket: Ticket, delivery: Delivery<A>) {
        if let Some(sender) = self.take(ticket) {
            // The client may have disconnected; the answer is then dropped, as by a real endpoint.
            let _ = sender.send(delivery);
        }
    }
}

/// Passes decoded requests to the policy and awaits the delivery of their answers.
struct RequestHandler<C: Codec> {
    codec: C,
    pending: Rc<RefCell<PendingMessages<C::Answer>>>,
    mailbox: Mailbox<Arrival<C::Message>>,
}

impl<C: Codec> Clone for RequestHandler<C> {
    fn clone(&self) -> Self {
        Self { codec: self.codec.clone(), pending: Rc::clone(&self.pending), mailbox: self.mailbox.clone() }
    }
}

impl<C: Codec> Handler for RequestHandler<C> {
    async fn handle(&self, mut request: Request) -> Response {
        let message = match self.codec.decode(&mut request).await {
            Ok(message) => message,
            Err(error) => return error_response(&error),
        };
        let (ticket, delivery) = self.pending.borrow_mut().insert();
        self.mailbox.put(Arrival { ticket, message });
        match delivery.await {
            Ok(Delivery::Answer(answer)) => self.codec.encode(&answer),
            Ok(Delivery::Close) => close_connection(),
            // `Effect::Withhold` dropped the sender: the connection stays open without an answer.
            Err(_) => std::future::pending().await,
        }
    }
}

fn error_response(error: &DecodeError) -> Response {
    json(error.status(), &object!({ "error": error.to_string() }))
}

/// Closes the connection by ending its task. A handler can only return a response, so this unwinds instead.
/// The runtime catches the unwinding at the task, and `resume_unwind` prints no panic message.
fn close_connection() -> ! {
    std::panic::resume_unwind(Box::new("the connection is closed without an answer"))
}

/// Receives messages for a policy and carries out its effects.
struct EffectExecutor<C: Codec> {
    clock: SystemClock,
    pending: Rc<RefCell<PendingMessages<C::Answer>>>,
    mailbox: Mailbox<Arrival<C::Message>>,
    pacer: Rc<RefCell<Pacer>>,
}

impl<C: Codec> Ports for EffectExecutor<C> {
    type Event = Arrival<C::Message>;
    type Action = Effect<C::Answer>;

    fn receive(&mut self, events: &mut Vec<Self::Event>) {
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Self::Action) {
        match action {
            Effect::Send { ticket, answer, delay_us } => self.send(ticket, answer, delay_us),
            Effect::Close { ticket } => self.pending.borrow_mut().deliver(ticket, Delivery::Close),
            Effect::Withhold { ticket } => drop(self.pending.borrow_mut().take(ticket)),
            Effect::Exit { code } => std::process::exit(code),
        }
    }

    fn flush(&mut self) {}
}

impl<C: Codec> EffectExecutor<C> {
    fn send(&self, ticket: Ticket, answer: C::Answer, delay_us: u64) {
        let planned_us = if delay_us == 0 { 0 } else { self.pacer.borrow_mut().plan(delay_us) };
        if planned_us == 0 {
            self.pending.borrow_mut().deliver(ticket, Delivery::Answer(answer));
            return;
        }
        let pending = Rc::clone(&self.pending);
        let pacer = Rc::clone(&self.pacer);
        let clock = self.clock;
        actix_rt::spawn(async move {
            let begin_us = clock.now_us();
            actix_rt::time::sleep(Duration::from_micros(planned_us)).await;
            pacer.borrow_mut().record_elapsed(planned_us, clock.now_us() - begin_us);
            pending.borrow_mut().deliver(ticket, Delivery::Answer(answer));
        });
    }
}

/// Listens on the loopback interface, prints the line `listening <ip:port>` to standard output and runs the
/// policy. Returns only on failure.
///
/// # Errors
/// Returns [`StartError`] when the port or standard output cannot be used.
pub async fn start<C, D>(port: u16, codec: C, policy: D) -> Result<(), StartError>
where
    C: Codec,
    D: Duty<Event = Arrival<C::Message>, Action = Effect<C::Answer>>,
{
    let listener =
        TcpListener::bind(("127.0.0.1", port)).await.map_err(|source| StartError::Listen { port, source })?;
    print_line(&format!("listening {}", listener.local_addr()?))?;
    let clock = SystemClock::start();
    let doorbell = Doorbell::default();
    let mailbox = Mailbox::new(&doorbell);
    let pending = Rc::new(RefCell::new(PendingMessages { last_ticket: Ticket(0), waiting: Vec::new() }));
    let handler = RequestHandler { codec, pending: Rc::clone(&pending), mailbox: mailbox.clone() };
    actix_rt::spawn(serve(listener, ServerSettings::default(), handler));
    let executor = EffectExecutor::<C> { clock, pending, mailbox, pacer: Rc::default() };
    run(clock, doorbell, policy, executor).await;
    Ok(())
}

fn print_line(line: &str) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
