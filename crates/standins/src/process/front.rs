//! The front of a stand-in: its listener, and the table of messages that wait for an answer.

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

/// Why a stand-in did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The port cannot be used.
    #[error("cannot listen on 127.0.0.1:{port}: {source}")]
    Listen {
        /// Port that was asked for.
        port: u16,
        /// Reason from the operating system.
        source: std::io::Error,
    },
    /// Standard output cannot be written.
    #[error("cannot write the address to standard output: {0}")]
    Output(#[from] std::io::Error),
}

/// What happens to the connection of a message.
enum Delivery<A> {
    Answer(A),
    Close,
}

/// Messages that wait, ordered by ticket.
struct Desk<A> {
    last: Ticket,
    waiting: Vec<(Ticket, oneshot::Sender<Delivery<A>>)>,
}

impl<A> Desk<A> {
    fn open(&mut self) -> (Ticket, oneshot::Receiver<Delivery<A>>) {
        let (sender, receiver) = oneshot::channel();
        self.last = Ticket(self.last.0 + 1);
        self.waiting.push((self.last, sender));
        (self.last, receiver)
    }

    fn take(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Delivery<A>>> {
        let index = self.waiting.binary_search_by_key(&ticket, |(ticket, _)| *ticket).ok()?;
        Some(self.waiting.remove(index).1)
    }

    fn deliver(&mut self, ticket: Ticket, delivery: Delivery<A>) {
        if let Some(sender) = self.take(ticket) {
            // The client may have gone; its answer is then lost, as on a real endpoint.
            let _ = sender.send(delivery);
        }
    }
}

/// Passes decoded requests to the policy and awaits what it decides.
struct Front<C: Codec> {
    codec: C,
    desk: Rc<RefCell<Desk<C::Answer>>>,
    mailbox: Mailbox<Arrival<C::Message>>,
}

impl<C: Codec> Clone for Front<C> {
    fn clone(&self) -> Self {
        Self { codec: self.codec.clone(), desk: Rc::clone(&self.desk), mailbox: self.mailbox.clone() }
    }
}

impl<C: Codec> Handler for Front<C> {
    async fn handle(&self, mut request: Request) -> Response {
        let message = match self.codec.decode(&mut request).await {
            Ok(message) => message,
            Err(error) => return refuse(&error),
        };
        let (ticket, delivery) = self.desk.borrow_mut().open();
        self.mailbox.put(Arrival { ticket, message });
        match delivery.await {
            Ok(Delivery::Answer(answer)) => self.codec.encode(&answer),
            Ok(Delivery::Close) => close_connection(),
            Err(_) => std::future::pending().await,
        }
    }
}

fn refuse(error: &DecodeError) -> Response {
    json(error.status(), &object!({ "error": error.to_string() }))
}

/// Ends the task of the connection, which closes its socket. A handler can only return responses, so it unwinds; the
/// runtime catches that at the task, and no panic message is printed.
fn close_connection() -> ! {
    std::panic::resume_unwind(Box::new("the connection is closed without an answer"))
}

/// Carries out the effects of a policy.
struct Replies<C: Codec> {
    clock: SystemClock,
    desk: Rc<RefCell<Desk<C::Answer>>>,
    mailbox: Mailbox<Arrival<C::Message>>,
    pacer: Rc<RefCell<Pacer>>,
}

impl<C: Codec> Ports for Replies<C> {
    type Event = Arrival<C::Message>;
    type Action = Effect<C::Answer>;

    fn receive(&mut self, events: &mut Vec<Self::Event>) {
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Self::Action) {
        match action {
            Effect::Send { ticket, answer, delay_us } => self.send(ticket, answer, delay_us),
            Effect::Close { ticket } => self.desk.borrow_mut().deliver(ticket, Delivery::Close),
            Effect::Silence { ticket } => drop(self.desk.borrow_mut().take(ticket)),
            Effect::Exit { code } => std::process::exit(code),
        }
    }

    fn flush(&mut self) {}
}

impl<C: Codec> Replies<C> {
    fn send(&self, ticket: Ticket, answer: C::Answer, delay_us: u64) {
        let planned_us = if delay_us == 0 { 0 } else { self.pacer.borrow_mut().plan(delay_us) };
        if planned_us == 0 {
            self.desk.borrow_mut().deliver(ticket, Delivery::Answer(answer));
            return;
        }
        let desk = Rc::clone(&self.desk);
        let pacer = Rc::clone(&self.pacer);
        let clock = self.clock;
        actix_rt::spawn(async move {
            let begin_us = clock.now_us();
            actix_rt::time::sleep(Duration::from_micros(planned_us)).await;
            pacer.borrow_mut().settle(planned_us, clock.now_us() - begin_us);
            desk.borrow_mut().deliver(ticket, Delivery::Answer(answer));
        });
    }
}

/// Listens on loopback, prints the line `listening <ip:port>` and runs the policy; returns only on failure.
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
    announce(&format!("listening {}", listener.local_addr()?))?;
    let clock = SystemClock::start();
    let bell = Doorbell::default();
    let mailbox = Mailbox::new(&bell);
    let desk = Rc::new(RefCell::new(Desk { last: Ticket(0), waiting: Vec::new() }));
    let front = Front { codec, desk: Rc::clone(&desk), mailbox: mailbox.clone() };
    actix_rt::spawn(serve(listener, ServerSettings::default(), front));
    let replies = Replies::<C> { clock, desk, mailbox, pacer: Rc::default() };
    run(clock, bell, policy, replies).await;
    Ok(())
}

fn announce(line: &str) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
